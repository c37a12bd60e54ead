package cmd_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/standin"
)

// connectionCut is the outcome of a request whose connection broke without an answer.
const connectionCut access.Outcome = "cut"

// callerResult is what a caller learned about one request.
type callerResult struct {
	path    string
	id      string
	method  string
	outcome access.Outcome
	status  int
	reason  string
	// host is the address that the request was sent to.
	host           string
	sent, answered time.Time
	// work is how long the request runs, limit its time limit; 0 if the request names none.
	work, limit time.Duration
	// isClosed means that the other side has closed the connection in an orderly way, without
	// an answer.
	isClosed bool
	backend  string // the backend server that answered, if the answer names it
}

// outcomeRecorder records the results of all requests by path. Each request has a unique
// path, by which it is found in the ledgers even if its id never reached the caller.
type outcomeRecorder struct {
	mu      sync.Mutex
	results map[string]callerResult
}

// load is a set of requests that a script sends, with their results.
type load struct {
	group   sync.WaitGroup
	stop    chan struct{}
	mu      sync.Mutex
	results []callerResult
}

func (l *load) add(result callerResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// print writes a summary such as "served=3 not-run=1 unknown=0 cut=0 reasons=full" to the
// script's standard output. It adds to the script's log which backend servers have answered, since
// nodes don't log requests that are served in time.
func (l *load) print(ts *testscript.TestScript) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, answers := map[access.Outcome]int{}, map[string]int{}
	var reasons []string
	for _, result := range l.results {
		counts[result.outcome]++
		if result.backend != "" {
			answers[result.backend]++
		}
		if result.reason != "" && !strings.Contains(strings.Join(reasons, ","), result.reason) {
			reasons = append(reasons, result.reason)
		}
	}
	ts.Logf("answers by backend server: %v", answers)
	fmt.Fprintf(ts.Stdout(), "served=%d not-run=%d unknown=%d cut=%d reasons=%s\n",
		counts[access.Served], counts[access.NotRun], counts[access.Unknown], counts[connectionCut], strings.Join(reasons, ","))
}

// sendLoad implements "load N METHOD URL...": it sends N requests one after another, to
// the URLs in turn, and prints a summary of their outcomes.
func sendLoad(ts *testscript.TestScript, _ bool, args []string) {
	s, l := sessionOf(ts), &load{}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	client := &fasthttp.Client{}
	for i := range n {
		l.add(s.send(client, args[1], args[2+i%(len(args)-2)]))
	}
	l.print(ts)
}

// beginLoad implements "begin NAME N METHOD URL...": it sends N concurrent requests, in the
// background.
func beginLoad(ts *testscript.TestScript, _ bool, args []string) {
	s, l := sessionOf(ts), &load{}
	s.loads[args[0]] = l
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	for i := range n {
		l.group.Go(func() { l.add(s.send(&fasthttp.Client{}, args[2], args[3+i%(len(args)-3)])) })
	}
}

// steadyLoad implements "steady NAME CALLERS METHOD URL...": each caller sends one
// request after another, each on a new connection, until the script joins the load. A
// caller skips a closed port, like a client that knows the other nodes.
func steadyLoad(ts *testscript.TestScript, _ bool, args []string) {
	startCallers(ts, args, func(client *fasthttp.Client) *fasthttp.Client {
		client.CloseIdleConnections()
		return &fasthttp.Client{}
	})
}

// keepAliveLoad implements "keep NAME CALLERS METHOD URL...": like steady, but callers
// reuse their connections as long as these stay open.
func keepAliveLoad(ts *testscript.TestScript, _ bool, args []string) {
	startCallers(ts, args, func(client *fasthttp.Client) *fasthttp.Client { return client })
}

// startCallers starts callers that send one request after another. After each request,
// next receives its client and returns the client for the following one.
func startCallers(ts *testscript.TestScript, args []string, next func(*fasthttp.Client) *fasthttp.Client) {
	s, l := sessionOf(ts), &load{stop: make(chan struct{})}
	s.loads[args[0]] = l
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	for i := range n {
		l.group.Go(func() {
			client := &fasthttp.Client{}
			for turn := i; !l.isStopped(); turn++ {
				l.add(s.send(client, args[2], args[3+turn%(len(args)-3)]))
				client = next(client)
			}
			client.CloseIdleConnections()
		})
	}
}

func (l *load) isStopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// joinLoad implements "join NAME": it waits for the end of a load and prints a summary of
// its outcomes.
func joinLoad(ts *testscript.TestScript, _ bool, args []string) {
	l, ok := sessionOf(ts).loads[args[0]]
	if !ok {
		ts.Fatalf("no load is named %s", args[0])
	}
	if l.stop != nil {
		close(l.stop)
	}
	l.group.Wait()
	l.print(ts)
}

// connectionRefused is the outcome of a request whose connection was refused: nothing was
// sent.
const connectionRefused access.Outcome = "refused-port"

// callerCount is the number of caller names that share the load. Failures that only one
// caller meets don't eject an upstream.
const callerCount = 20

// send sends one request and records its result.
func (s *session) send(client *fasthttp.Client, method, url string) callerResult {
	return s.sendWork(client, method, url, 0, 0)
}

// sendWork is send for a request that runs for a given time and has a time limit, unless they
// are 0.
func (s *session) sendWork(client *fasthttp.Client, method, url string, work, limit time.Duration) callerResult {
	number := s.sent.Add(1)
	path := "/" + strconv.FormatInt(number, 10)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(url + path)
	request.Header.Set(entry.HeaderCaller, "hotel-"+strconv.FormatInt(number%callerCount, 10))
	if work > 0 {
		request.URI().QueryArgs().Set(standin.WorkArgument, work.String())
		request.Header.Set(entry.HeaderDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	}
	client.MaxIdemponentCallAttempts = 1
	client.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	result := callerResult{
		path: string(request.URI().Path()), method: method, outcome: connectionCut,
		host: string(request.URI().Host()), work: work, limit: limit, sent: time.Now(),
	}
	err := client.DoTimeout(request, response, waitTimeout)
	result.answered, result.isClosed = time.Now(), errors.Is(err, fasthttp.ErrConnectionClosed)
	if err == nil {
		result.id = string(response.Header.Peek(entry.HeaderRequest))
		result.outcome = access.Outcome(response.Header.Peek(entry.HeaderOutcome))
		result.status = response.StatusCode()
		result.reason = string(response.Header.Peek(entry.HeaderReason))
		result.backend = string(response.Header.Peek(standin.BackendHeader))
	} else if strings.Contains(err.Error(), "connection refused") {
		result.outcome = connectionRefused
	}
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	s.recorder.results[result.path] = result
	return result
}

// checkLedgers implements "judge BACKEND...": it compares all results with the ledgers of
// the backend servers. A request that must not be repeated may run only once, a request
// refused as not run must not have run, and a served request must have run. It prints the
// number of each outcome, and how many of the unknown and cut requests had run.
func checkLedgers(ts *testscript.TestScript, _ bool, args []string) {
	runs, ids := map[string]int{}, map[string]int{}
	for _, backend := range args {
		for _, e := range fetchLedger(ts, backend) {
			runs[e.Path]++
			if e.Method != fasthttp.MethodGet {
				ids[e.ID]++
			}
		}
	}
	for id, n := range ids {
		if n > 1 {
			ts.Fatalf("request %s: got %d runs, want at most 1", id, n)
		}
	}
	recorder := &sessionOf(ts).recorder
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	counts, ran := map[access.Outcome]int{}, 0
	for path, result := range recorder.results {
		n := runs[path]
		counts[result.outcome]++
		if want := result.expectedRuns(n); want != "" {
			ts.Fatalf("request %s %s: got %d runs with outcome %s, want %s", path, result.id, n, result.outcome, want)
		}
		if (result.outcome == access.Unknown || result.outcome == connectionCut) && n > 0 {
			ran++
		}
	}
	fmt.Fprintf(ts.Stdout(), "served=%d not-run=%d unknown=%d cut=%d of-these-ran=%d\n",
		counts[access.Served], counts[access.NotRun], counts[access.Unknown], counts[connectionCut], ran)
}

// expectedRuns returns the number of runs that the ledgers should have, or "" if the
// actual number is consistent with the result.
func (r *callerResult) expectedRuns(runs int) string {
	isRepeatable := r.method == fasthttp.MethodGet
	switch r.outcome {
	case access.Served:
		if runs == 0 || (runs > 1 && !isRepeatable) {
			return "1"
		}
	case access.NotRun, connectionRefused:
		if runs != 0 {
			return "0"
		}
	case access.Unknown, connectionCut:
		if runs > 1 && !isRepeatable {
			return "at most 1"
		}
	default:
		return "a known outcome"
	}
	return ""
}
