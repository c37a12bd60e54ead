package entry_test

import (
	"net"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// stalls tells that a run hangs, and answers it once the test says so.
func stalls(answer <-chan struct{}) func(d *desk, m *wire.Dispatch, w link.DispatchObserver) {
	return func(d *desk, m *wire.Dispatch, w link.DispatchObserver) {
		w.Hung()
		go func() {
			<-answer
			w.Replied(d.serves(m))
		}()
	}
}

// A list runs at an upstream that hangs. It must go on at one that has a place for it, and the
// first run be given up.
func TestStalledRunMovesToAPlaceElsewhere(t *testing.T) {
	never := make(chan struct{})
	first := &desk{name: "first", take: stalls(never)}
	second := &desk{name: "second", hold: refuses("second", wire.ReasonFull)}
	third := &desk{name: "third", hold: holds("third", 0.1)}
	e := beforeRepeatable(t, first, second, third)
	e.UpdateUpstream(wire.Upstream{Name: "second", Share: 1, InFlight: 5})
	e.UpdateUpstream(wire.Upstream{Name: "third", Share: 1, InFlight: 5})
	status, by := post(e)
	if status != 200 || by != "third" {
		t.Errorf("got %d from %q, want 200 from the third", status, by)
	}
	if first.abandoned != 1 {
		t.Errorf("got the first run given up %d times, want once", first.abandoned)
	}
}

// No other upstream has a place, or the retry budget none. Given up, the run would be lost,
// and it may yet come to an end.
func TestStalledRunWithoutAPlaceElsewhereGoesOn(t *testing.T) {
	for _, reason := range []wire.Reason{wire.ReasonFull, wire.ReasonRetryBudget} {
		answer := make(chan struct{})
		close(answer)
		first := &desk{name: "first", take: stalls(answer)}
		second := &desk{name: "second", hold: refuses("second", reason)}
		e := beforeRepeatable(t, first, second)
		e.UpdateUpstream(wire.Upstream{Name: "second", Share: 1, InFlight: 5})
		status, by := post(e)
		if status != 200 || by != "first" || first.abandoned != 0 {
			t.Errorf("%s: got %d from %q, given up %d times; want the first one's answer", reason, status, by, first.abandoned)
		}
	}
}

// The answer comes while the request looks for another place: it is the caller's, and the place
// must be let go.
func TestAnswerThatComesMeanwhileIsDelivered(t *testing.T) {
	answer, came := make(chan struct{}), make(chan struct{})
	first := &desk{name: "first", take: func(d *desk, m *wire.Dispatch, w link.DispatchObserver) {
		w.Hung()
		go func() {
			<-answer
			w.Replied(d.serves(m))
			close(came)
		}()
	}}
	second := &desk{name: "second", hold: func(e *wire.CapacityProbe, told func(*wire.Reservation)) {
		close(answer)
		<-came
		holds("second", 0.1)(e, told)
	}}
	e := beforeRepeatable(t, first, second)
	e.UpdateUpstream(wire.Upstream{Name: "second", Share: 1, InFlight: 5})
	status, by := post(e)
	if status != 200 || by != "first" {
		t.Errorf("got %d from %q, want 200 from the first", status, by)
	}
	if len(second.waived) != 1 || second.dispatched != 0 {
		t.Errorf("got %v waived and %d sent at the second, want its place let go", second.waived, second.dispatched)
	}
}

// The service's retry budget has nothing left. Given up for a place elsewhere and then denied the
// retry, the run would be lost with its answer.
func TestStalledRunStaysWhereItsRetryIsDenied(t *testing.T) {
	fails := func(d *desk, m *wire.Dispatch, w link.DispatchObserver) {
		reply := d.serves(m)
		reply.Status = 500
		w.Replied(reply)
	}
	answer := make(chan struct{})
	close(answer)
	first := &desk{name: "first", take: fails}
	second := &desk{name: "second", take: fails}
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Floor: 0.3, Deadline: clock.Minute}
	e := beforeService(t, s, []string{table.AnyMethod}, first, second)
	for range retry.MinBurst {
		post(e)
	}
	first.take, second.take = stalls(answer), stalls(answer)
	status, _ := post(e)
	if status != 200 || first.abandoned+second.abandoned != 0 {
		t.Errorf("got %d, %d runs given up; want the answer of the run that went on", status, first.abandoned+second.abandoned)
	}
}

// conn is a caller's connection that the test closes.
type conn struct {
	net.Conn
	mu   sync.Mutex
	gone func()
}

func (c *conn) Watch(gone func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = gone
	return func() {}
}

func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone != nil {
		c.gone()
		c.gone = nil
	}
}

func (*conn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 9)} }
func (*conn) LocalAddr() net.Addr  { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1)} }

// The caller leaves as its request gets a place at another upstream. A place that nobody lets go
// counts as a request there for good, and the upstream gets less and less work from this entry.
func TestPlaceIsLetGoWhenTheCallerLeaves(t *testing.T) {
	const callers = 40
	for range callers {
		c := &conn{}
		first := &desk{name: "first", take: stalls(make(chan struct{}))}
		second := &desk{name: "second", hold: func(e *wire.CapacityProbe, told func(*wire.Reservation)) {
			holds("second", 0)(e, told)
			c.leave()
		}}
		e := beforeRepeatable(t, first, second)
		e.UpdateUpstream(wire.Upstream{Name: "second", Share: 1, InFlight: 5})
		var ctx fasthttp.RequestCtx
		ctx.Init2(c, nil, false)
		sendOn(&ctx, e)
		if second.dispatched != 0 || len(second.waived) != second.enquired {
			t.Fatalf("got %d sent and %d of %d places let go, want none sent and all let go", second.dispatched, len(second.waived), second.enquired)
		}
	}
}
