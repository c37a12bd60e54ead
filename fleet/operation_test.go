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

// lead is by how much a fleet is older than the first key: nodes vouch for keys
// only that are younger than they, with a margin for slow clocks of callers.
const lead = 100 * time.Millisecond

// operation is what a caller wants to happen once, under one key.
type operation struct {
	key    string
	body   string
	began  time.Time
	number int
}

func newOperation(key string) *operation {
	return &operation{key: key, body: "palermo-7", began: time.Now()}
}

// outcome is what one send of an operation came to.
type outcome struct {
	answer
	replay string
	after  string
}

func (o outcome) String() string {
	return fmt.Sprintf("%d %s %s", o.status, o.outcome, o.reason)
}

// send posts the operation without a mark.
func (o *operation) send(t *testing.T, address string) outcome {
	return o.post(t, address, "")
}

// resend posts it again with a truthful mark.
func (o *operation) resend(t *testing.T, address string) outcome {
	o.number++
	age := time.Since(o.began).Milliseconds() + 1
	return o.post(t, address, fmt.Sprintf("%d; age=%d.%03d", o.number, age/1000, age%1000))
}

// settle resends until the operation is served.
func (o *operation) settle(t *testing.T, address string) (got outcome) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if got = o.resend(t, address); got.outcome == "served" {
			return got
		}
	}
	t.Errorf("resending %s: got %v for %s, want served", o.key, got, patience)
	return got
}

func (o *operation) post(t *testing.T, address, mark string) outcome {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/conferme/turno")
	request.Header.Set(entry.HeaderCaller, "squadra-palermo")
	request.Header.Set(entry.HeaderKey, o.key)
	if mark != "" {
		request.Header.Set(entry.HeaderResend, mark)
	}
	request.SetBodyString(o.body)
	if err := fasthttp.DoTimeout(request, response, patience); err != nil {
		t.Errorf("sending %s: got error %v", o.key, err)
	}
	return outcome{
		answer: answer{
			status:  response.StatusCode(),
			outcome: string(response.Header.Peek(entry.HeaderOutcome)),
			reason:  string(response.Header.Peek(entry.HeaderReason)),
			backend: string(response.Header.Peek("Backend")),
			id:      string(response.Header.Peek(entry.HeaderRequest)),
			body:    string(response.Body()),
		},
		replay: string(response.Header.Peek(entry.HeaderReplay)),
		after:  string(response.Header.Peek(fasthttp.HeaderRetryAfter)),
	}
}

// keyed starts nodes with an upstream beside each, and one without, that have
// links to each other and are older than any key of the test.
func keyed(t *testing.T, upstreams int) (f *fleet.Fleet, far *fleet.Member) {
	t.Helper()
	return keyedTable(t, deployment(upstreams))
}

func keyedTable(t *testing.T, c *table.Table) (f *fleet.Fleet, far *fleet.Member) {
	t.Helper()
	f = start(t, fleet.Config{Table: c, ServiceTime: 5, LinkRelays: true, KeyMargin: 1})
	far, err := f.AddMember(t.Context(), "far", "catania")
	if err != nil {
		t.Fatal(err)
	}
	<-far.Node.InForce()
	began := time.Now()
	until(t, "age", func() bool { return time.Since(began) > lead })
	return f, far
}

// runsOf counts the runs of the caller's operations at all backend servers, and
// names the last one that ran any.
func runsOf(f *fleet.Fleet) (runs int, last string) {
	for name, b := range f.Backends {
		if n := len(b.Ledger()); n > 0 {
			runs += n
			last = name
		}
	}
	return runs, last
}

func wantRuns(t *testing.T, f *fleet.Fleet, want int) {
	t.Helper()
	if got, _ := runsOf(f); got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

func memberOf(t *testing.T, f *fleet.Fleet, upstream string) *fleet.Member {
	t.Helper()
	for _, m := range f.Members {
		if m.Name == upstream {
			return m
		}
	}
	t.Fatalf("got no node beside %s", upstream)
	return nil
}
