package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/table"
)

// minNodeAge is how much older nodes are than the first key of a test. A node confirms
// that a key is new only if the key is younger than the node, with a margin for callers
// with slow clocks.
const minNodeAge = 100 * time.Millisecond

// operation is a request that a caller wants to run once, under one idempotency key.
type operation struct {
	key         string
	body        string
	createdAt   time.Time
	resendCount int
}

func newOperation(key string) *operation {
	return &operation{key: key, body: "palermo-7", createdAt: time.Now()}
}

// sendResult is the answer to one send of an operation.
type sendResult struct {
	answer
	replay     string
	retryAfter string
}

func (o sendResult) String() string {
	return fmt.Sprintf("%d %s %s", o.status, o.outcome, o.reason)
}

// send posts the operation without a resend header.
func (o *operation) send(t *testing.T, address string) sendResult {
	return o.post(t, address, "")
}

// resend posts the operation again, with a resend header that states its true age.
func (o *operation) resend(t *testing.T, address string) sendResult {
	o.resendCount++
	age := time.Since(o.createdAt).Milliseconds() + 1
	return o.post(t, address, fmt.Sprintf("%d; age=%d.%03d", o.resendCount, age/1000, age%1000))
}

// resendUntilServed resends the operation until it is served, or fails the test after
// waitTimeout.
func (o *operation) resendUntilServed(t *testing.T, address string) (got sendResult) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if got = o.resend(t, address); got.outcome == "served" {
			return got
		}
	}
	t.Errorf("resending %s: got %v for %s, want served", o.key, got, waitTimeout)
	return got
}

func (o *operation) post(t *testing.T, address, resendHeader string) sendResult {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/conferme/turno")
	request.Header.Set(entry.HeaderCaller, "squadra-palermo")
	request.Header.Set(entry.HeaderKey, o.key)
	if resendHeader != "" {
		request.Header.Set(entry.HeaderResend, resendHeader)
	}
	request.SetBodyString(o.body)
	if err := sharedClient.DoTimeout(request, response, waitTimeout); err != nil {
		t.Errorf("sending %s: got error %v", o.key, err)
	}
	return sendResult{
		answer: answer{
			status:  response.StatusCode(),
			outcome: string(response.Header.Peek(entry.HeaderOutcome)),
			reason:  string(response.Header.Peek(entry.HeaderReason)),
			backend: string(response.Header.Peek("Backend")),
			id:      string(response.Header.Peek(entry.HeaderRequest)),
			body:    string(response.Body()),
		},
		replay:     string(response.Header.Peek(entry.HeaderReplay)),
		retryAfter: string(response.Header.Peek(fasthttp.HeaderRetryAfter)),
	}
}

// startKeyed starts one node per upstream and an entry node without an upstream. It
// returns when all nodes are older by minNodeAge than any key of the test.
func startKeyed(t *testing.T, upstreams int) (f *fleet.Fleet, entryNode *fleet.Member) {
	t.Helper()
	return startKeyedTable(t, newTable(upstreams))
}

func startKeyedTable(t *testing.T, c *table.Table) (f *fleet.Fleet, entryNode *fleet.Member) {
	t.Helper()
	f = startFleet(t, fleet.Config{Table: c, ServiceTime: 5, LinkRelays: true, KeyMargin: 1})
	entryNode, err := f.AddMember(t.Context(), "far", "catania")
	if err != nil {
		t.Fatal(err)
	}
	<-entryNode.Node.InForce()
	began := time.Now()
	waitUntil(t, "node age", func() bool { return time.Since(began) > minNodeAge })
	return f, entryNode
}

// runsOf returns the number of runs at all backend servers, and the name of one that ran
// any; with several, which one is random.
func runsOf(f *fleet.Fleet) (runs int, backend string) {
	for name, b := range f.Backends {
		if n := len(b.Ledger()); n > 0 {
			runs += n
			backend = name
		}
	}
	return runs, backend
}

func wantRuns(t *testing.T, f *fleet.Fleet, want int) {
	t.Helper()
	if got, _ := runsOf(f); got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// memberOf returns the node of an upstream.
func memberOf(t *testing.T, f *fleet.Fleet, upstream string) *fleet.Member {
	t.Helper()
	for _, m := range f.Members {
		if m.Name == upstream {
			return m
		}
	}
	t.Fatalf("got no node of upstream %s", upstream)
	return nil
}
