package cmd_test

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/standin"
)

const (
	// readTime is the time within which a live process reads a request on an open connection.
	readTime = time.Second
	// signalTime is the time within which a process notices a signal.
	signalTime = 500 * time.Millisecond
	// answerTime is the time that an answer needs from the backend server to the caller. It
	// covers the part of a grace period that is reserved for the exit of the process.
	answerTime = time.Second
)

// nodeRun is a run in the ledger of the backend server beside a node.
type nodeRun struct {
	standin.Entry

	node string
}

// shutdownCheck compares what callers were answered with what the backend servers ran, for nodes
// that end by SIGTERM alone.
type shutdownCheck struct {
	session *session
	grace   time.Duration
	nodes   map[string]string // by the address for callers
	runs    map[string][]nodeRun
	faults  []string
	// lateRuns counts the runs, of requests that may run once, that began after their node's SIGTERM.
	lateRuns int
}

// checkShutdowns implements "shutdowns GRACE NODE BACKEND [NODE BACKEND]...": it fails if the
// shutdown of a node has cost a request its answer. Each backend server is beside the node named
// before it. The nodes of the session have got no signals but SIGTERM, once, and SIGHUP.
func checkShutdowns(ts *testscript.TestScript, _ bool, args []string) {
	grace, err := time.ParseDuration(args[0])
	ts.Check(err)
	c := &shutdownCheck{session: sessionOf(ts), grace: grace, nodes: map[string]string{}, runs: map[string][]nodeRun{}}
	for i := 1; i < len(args); i += 2 {
		node := args[i]
		c.nodes[ts.Getenv("C_"+node)] = node
		for _, e := range fetchLedger(ts, args[i+1]) {
			c.runs[e.Path] = append(c.runs[e.Path], nodeRun{e, node})
		}
	}
	recorder := &c.session.recorder
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for _, result := range recorder.results {
		c.checkAnswered(&result)
		if result.method == fasthttp.MethodGet || result.work == 0 {
			continue
		}
		for i := range c.runs[result.path] {
			run := &c.runs[result.path][i]
			if c.isLate(run) {
				c.lateRuns++
			}
			c.checkUnknown(&result, run)
			c.checkDelivered(&result, run)
		}
	}
	fmt.Fprintf(ts.Stdout(), "runs-after-sigterm=%d\n", c.lateRuns)
	for _, fault := range c.faults {
		ts.Logf("%s", fault)
	}
	if len(c.faults) > 0 {
		ts.Fatalf("got %d requests that lost their answer by a shutdown, want none; the first: %s", len(c.faults), c.faults[0])
	}
}

// processAt returns the process of a node that ran at an instant.
func (c *shutdownCheck) processAt(node string, at time.Time) *process {
	all := c.session.history[node]
	for i := len(all) - 1; i > 0; i-- {
		if !all[i].started.After(at) {
			return all[i]
		}
	}
	return all[0]
}

// checkAnswered guards against a process that ends with requests which it has read and not
// answered. A request has been read whole if it has run, or if its connection was closed in an
// orderly way some time after it was sent: the kernel resets a connection with unread bytes.
func (c *shutdownCheck) checkAnswered(r *callerResult) {
	if r.outcome != connectionCut {
		return
	}
	took := r.answered.Sub(r.sent)
	if len(c.runs[r.path]) > 0 || (r.isClosed && took >= readTime) || took >= waitTimeout {
		c.add("no answer", "an answer, as the process had read the request", r)
	}
}

// checkUnknown guards against a leaving gate that takes a request which it can't finish in its
// grace period: the caller gets an unknown outcome though the run could have ended in time
// elsewhere. A run that began before its gate's SIGTERM may outlast the gate's grace period, and
// any run that of the entry.
func (c *shutdownCheck) checkUnknown(r *callerResult, run *nodeRun) {
	if r.outcome != access.Unknown {
		return
	}
	end, want := c.entryEnd(r), "the answer, as its run could end in time"
	if c.isLate(run) {
		want = "the answer or no run, as the gate took it after its node's SIGTERM"
	} else {
		end = earlier(end, c.gateEnd(run))
	}
	needed := max(r.work, (run.Ended - run.Started).Duration()) // a busy stand-in may take longer than asked for
	if !run.Arrived.Add(needed + answerTime).After(end) {
		c.add("an unknown outcome", want, r)
	}
}

// checkDelivered guards against an answer that was ready in time and was lost on the way to its
// caller.
func (c *shutdownCheck) checkDelivered(r *callerResult, run *nodeRun) {
	if run.Outcome != standin.Served || r.outcome == access.Served || r.outcome == connectionCut {
		return
	}
	end := earlier(c.entryEnd(r), c.gateEnd(run))
	if !run.Arrived.Add((run.Ended - run.Started).Duration() + answerTime).After(end) {
		c.add("outcome "+string(r.outcome), "the answer, as the backend server had it ready in time", r)
	}
}

// isLate reports whether a run began after its node had got SIGTERM.
func (c *shutdownCheck) isLate(run *nodeRun) bool {
	t := c.processAt(run.node, run.Arrived).terminated
	return !t.IsZero() && run.Arrived.After(t.Add(signalTime))
}

// entryEnd returns until when the entry of a request can answer it: to the end of its time limit
// or of the entry's grace period.
func (c *shutdownCheck) entryEnd(r *callerResult) time.Time {
	end := r.sent.Add(r.limit)
	if t := c.processAt(c.nodes[r.host], r.sent).terminated; !t.IsZero() {
		end = earlier(end, t.Add(c.grace))
	}
	return end
}

// gateEnd returns the end of the grace period of the gate that had a run, a distant time if its
// node got no SIGTERM.
func (c *shutdownCheck) gateEnd(run *nodeRun) time.Time {
	t := c.processAt(run.node, run.Arrived).terminated
	if t.IsZero() {
		return run.Arrived.Add(time.Hour)
	}
	return t.Add(c.grace)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// add records a fault with the story of its request, in times since it was sent.
func (c *shutdownCheck) add(got, want string, r *callerResult) {
	since := func(at time.Time) time.Duration { return at.Sub(r.sent).Round(time.Millisecond) }
	story := func(p *process) string {
		text := "no SIGTERM"
		if !p.terminated.IsZero() {
			text = fmt.Sprintf("SIGTERM at %v", since(p.terminated))
		}
		if p.hasEnded() {
			text += fmt.Sprintf(", ended at %v", since(p.ended))
		}
		return text
	}
	entry := c.nodes[r.host]
	text := fmt.Sprintf("%s request %s %s, sent at %s to %s (%s), work %v, limit %v: got %s %s after %v, want %s",
		r.method, r.path, r.id, r.sent.UTC().Format(time.TimeOnly+".000"), entry, story(c.processAt(entry, r.sent)),
		r.work, r.limit, got, r.reason, since(r.answered), want)
	for _, run := range c.runs[r.path] {
		text += fmt.Sprintf("; run beside %s (%s) from %s at %v for %v: %s", run.node, story(c.processAt(run.node, run.Arrived)),
			run.Gate, since(run.Arrived), run.Ended-run.Started, run.Outcome)
	}
	c.faults = append(c.faults, text)
}
