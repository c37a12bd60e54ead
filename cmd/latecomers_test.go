package cmd_test

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/standin"
)

// startNewcomers implements "newcomers NAME CALLERS SEED LONGEST LIMIT URL...": like clients, but each request
// comes on a connection of its own.
func startNewcomers(ts *testscript.TestScript, _ bool, args []string) {
	s, l := sessionOf(ts), &load{stop: make(chan struct{})}
	s.loads[args[0]] = l
	callers, err := strconv.Atoi(args[1])
	ts.Check(err)
	urls := args[5:]
	for i := range callers {
		w := newWorkload(ts, args[2:5], i)
		l.group.Go(func() {
			for !l.isStopped() {
				client := &fasthttp.Client{}
				result := w.send(s, client, urls[i%len(urls)])
				client.CloseIdleConnections()
				l.add(result)
				if result.outcome != access.Served {
					<-time.After(refusedPause)
				}
			}
		})
	}
}

// checkLatecomers implements "latecomers GRACE NODE BACKEND [NODE BACKEND]...": it fails if a request that a node
// took after its SIGTERM, from a caller or for the backend server beside it, ended otherwise than by the backend server's
// answer or a refusal as not run. It prints the number of requests that came late and of those that were served.
func checkLatecomers(ts *testscript.TestScript, _ bool, args []string) {
	grace, err := time.ParseDuration(args[0])
	ts.Check(err)
	c := &shutdownCheck{session: sessionOf(ts), grace: grace, nodes: map[string]string{}, runs: map[string][]nodeRun{}}
	for i := 1; i < len(args); i += 2 {
		c.nodes[ts.Getenv("C_"+args[i])] = args[i]
		for _, e := range fetchLedger(ts, args[i+1]) {
			c.runs[e.Path] = append(c.runs[e.Path], nodeRun{e, args[i]})
		}
	}
	recorder := &c.session.recorder
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	late, served := 0, 0
	for _, r := range recorder.results {
		runs := c.runs[r.path]
		for i := range runs {
			if c.isLate(&runs[i]) && runs[i].Outcome != standin.Served {
				c.add("a late run that is "+string(runs[i].Outcome), "its end, or no run", &r)
			}
		}
		t := c.processAt(c.nodes[r.host], r.sent).terminated
		if t.IsZero() || r.sent.Before(t.Add(signalTime)) || r.outcome == connectionRefused {
			continue
		}
		late++
		switch {
		case r.outcome == access.Served:
			served++
		case r.outcome == access.NotRun, r.outcome == connectionCut && len(runs) == 0:
		default:
			c.add("late "+string(r.outcome), "the answer, or a refusal as not run", &r)
		}
	}
	fmt.Fprintf(ts.Stdout(), "late=%d served=%d faults=%d\n", late, served, len(c.faults))
	for _, fault := range c.faults {
		ts.Logf("%s", fault)
	}
	if len(c.faults) > 0 {
		ts.Fatalf("got %d requests that came late in a grace period and didn't end in it, want none; the first: %s", len(c.faults), c.faults[0])
	}
}
