package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// waitTimeout is how long a test waits for an event before it fails.
const waitTimeout = 30 * time.Second

// newTable returns a table with one service that has the given number of upstreams.
func newTable(upstreams int) *table.Table {
	s := table.Service{
		Name:       "conferme",
		Caution:    table.Fast,
		Floor:      0.5,
		Deadline:   2 * clock.Second,
		Drain:      3 * clock.Second,
		Queue:      6,
		RetryRatio: 0.2,
		Objective: table.Objective{
			Availability: 0.999, Latency: 500, LatencyRatio: 0.99,
		},
	}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, table.Upstream{
			Name:   fmt.Sprintf("conferme-%d", i+1),
			Node:   fmt.Sprintf("127.0.0.1:%d", i+1),
			Domain: "palermo", Weight: 100, Slots: 3, Connections: 100,
		})
	}
	return &table.Table{
		Format: table.Format, Version: 1,
		Services: []table.Service{s},
		Routes:   []table.Route{{Prefix: "/conferme/", Service: "conferme"}},
	}
}

// startFleet starts a deployment that is closed when the test ends. If the test fails, it prints
// the nodes' logs and what the backend servers did with the requests that were not served.
func startFleet(t *testing.T, c fleet.Config) *fleet.Fleet {
	t.Helper()
	var log logBuffer
	if c.Log == nil {
		c.Log = &log
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	f, err := fleet.Start(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		sharedClient.CloseIdleConnections()
		if t.Failed() {
			t.Logf("logs of the nodes:\n%s", log.String())
			logRunsOfUnserved(t, f, log.String())
		}
	})
	return f
}

// logRunsOfUnserved prints the runs, at any backend server, of the requests that the log names as
// not served.
func logRunsOfUnserved(t *testing.T, f *fleet.Fleet, log string) {
	t.Helper()
	unserved := map[string]bool{}
	for line := range strings.Lines(log) {
		var parsed logLine
		if err := json.Unmarshal([]byte(line), &parsed); err == nil && parsed.Message == "request not served" {
			unserved[parsed.Request] = true
		}
	}
	for name, b := range f.Backends {
		for _, e := range b.Ledger() {
			if unserved[e.ID] {
				t.Logf("%s ran %s %s: started %v, ended %v, %s", name, e.Method, e.ID, e.Started, e.Ended, e.Outcome)
			}
		}
	}
}

// answer is what a caller receives.
type answer struct {
	status  int
	outcome string
	reason  string
	backend string
	id      string
	body    string
}

// sharedClient keeps its connections open. startFleet drops those that lead to a fleet once it is closed: the next
// one may listen at the same ports, and a request that must not be repeated fails on a connection to an earlier
// process.
var sharedClient fasthttp.Client

func send(t *testing.T, method, address, path, body string) answer {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBodyString(body)
	if err := sharedClient.DoTimeout(request, response, waitTimeout); err != nil {
		t.Fatalf("%s %s: got error %v", method, path, err)
	}
	return newAnswer(response)
}

func newAnswer(response *fasthttp.Response) answer {
	return answer{
		status:  response.StatusCode(),
		outcome: string(response.Header.Peek(entry.HeaderOutcome)),
		reason:  string(response.Header.Peek(entry.HeaderReason)),
		backend: string(response.Header.Peek("Backend")),
		id:      string(response.Header.Peek(entry.HeaderRequest)),
		body:    string(response.Body()),
	}
}

func TestServesThroughEveryNode(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(3)})
	for _, m := range f.Members {
		for _, method := range []string{"GET", "POST"} {
			got := send(t, method, m.Caller, "/conferme/turno?size=200000", "x")
			if got.status != 200 || got.outcome != "served" {
				t.Errorf("%s through %s: got %d %q %q, want 200 served", method, m.Name, got.status, got.outcome, got.reason)
			}
			if want := string(standin.AnswerBody(got.id, 200000)); got.body != want {
				t.Errorf("%s through %s: got %d bytes that aren't the answer to its request", method, m.Name, len(got.body))
			}
		}
	}
}

// An upstream accepts a write and never answers, so that nobody can know whether the
// write ran. The caller must receive the outcome "unknown" by its deadline, and no other
// upstream may get the request.
func TestHangEndsAsUnknown(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(3)})
	for _, b := range f.Backends {
		b.SetFault(standin.Fault{Kind: standin.Hangs, Share: 1})
	}
	got := send(t, "POST", f.Members[0].Caller, "/conferme/turno", "x")
	if got.outcome != "unknown" || got.status != 504 {
		t.Errorf("got %d %q %q, want 504 unknown", got.status, got.outcome, got.reason)
	}
	runs := 0
	for _, b := range f.Backends {
		runs += len(b.Ledger())
	}
	if runs != 1 {
		t.Errorf("got %d runs, want 1", runs)
	}
}

// One backend server refuses connections, so that nothing runs there. Writes must be
// retried at other upstreams, and all must be served.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(3)})
	f.Backends["conferme-2"].Close()
	for i := range 30 {
		got := send(t, "POST", f.Members[i%3].Caller, "/conferme/turno", "x")
		if got.outcome != "served" {
			t.Errorf("request %d: got %q %q, want served", i, got.outcome, got.reason)
		}
	}
}

// waitUntil polls until the condition holds, and fails the test after waitTimeout.
func waitUntil(t *testing.T, what string, isReached func() bool) {
	t.Helper()
	deadline := time.NewTimer(waitTimeout)
	defer deadline.Stop()
	for !isReached() {
		select {
		case <-deadline.C:
			t.Fatalf("got no %s within %s", what, waitTimeout)
		case <-time.After(5 * time.Millisecond):
		}
	}
}
