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

// hang returns a handler that reports a run as hung, and replies once the answer channel
// delivers.
func hang(answer <-chan struct{}) func(d *fakeGate, m *wire.Dispatch, w link.DispatchObserver) {
	return func(d *fakeGate, m *wire.Dispatch, w link.DispatchObserver) {
		w.Hung()
		go func() {
			<-answer
			w.Replied(d.served(m))
		}()
	}
}

// A request's run hangs. The entry must retry the request at an upstream that reserves a
// slot for it, and abandon the first run.
func TestHungRunMovesToReservedSlot(t *testing.T) {
	never := make(chan struct{})
	first := &fakeGate{name: "first", handle: hang(never)}
	second := &fakeGate{name: "second", onProbe: refuseSlot("second", wire.ReasonFull)}
	third := &fakeGate{name: "third", onProbe: grantSlot("third", 0.1)}
	e := newRepeatableEntry(t, first, second, third)
	e.UpdateUpstream(wire.Upstream{Name: "second", Share: 1, InFlight: 5})
	e.UpdateUpstream(wire.Upstream{Name: "third", Share: 1, InFlight: 5})
	status, by := post(e)
	if status != 200 || by != "third" {
		t.Errorf("got %d from %q, want 200 from third", status, by)
	}
	if first.abandoned != 1 {
		t.Errorf("got the first run abandoned %d times, want 1", first.abandoned)
	}
}

// No other upstream has a free slot, or the retry budget denies the retry. The entry must
// keep the run, which may still finish; abandoned, the request would be lost.
func TestHungRunWithoutSlotElsewhereContinues(t *testing.T) {
	for _, reason := range []wire.Reason{wire.ReasonFull, wire.ReasonRetryBudget} {
		answer := make(chan struct{})
		close(answer)
		first := &fakeGate{name: "first", handle: hang(answer)}
		second := &fakeGate{name: "second", onProbe: refuseSlot("second", reason)}
		e := newRepeatableEntry(t, first, second)
		e.UpdateUpstream(wire.Upstream{Name: "second", Share: 1, InFlight: 5})
		status, by := post(e)
		if status != 200 || by != "first" || first.abandoned != 0 {
			t.Errorf("%s: got %d from %q, abandoned %d times; want 200 from first, never abandoned", reason, status, by, first.abandoned)
		}
	}
}

// The reply arrives while the entry reserves a slot elsewhere. The caller must get it,
// and the slot must be released.
func TestReplyDuringReservationIsDelivered(t *testing.T) {
	answer, delivered := make(chan struct{}), make(chan struct{})
	first := &fakeGate{name: "first", handle: func(d *fakeGate, m *wire.Dispatch, w link.DispatchObserver) {
		w.Hung()
		go func() {
			<-answer
			w.Replied(d.served(m))
			close(delivered)
		}()
	}}
	second := &fakeGate{name: "second", onProbe: func(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) {
		close(answer)
		<-delivered
		grantSlot("second", 0.1)(probe, onReply)
	}}
	e := newRepeatableEntry(t, first, second)
	e.UpdateUpstream(wire.Upstream{Name: "second", Share: 1, InFlight: 5})
	status, by := post(e)
	if status != 200 || by != "first" {
		t.Errorf("got %d from %q, want 200 from first", status, by)
	}
	if len(second.released) != 1 || second.dispatched != 0 {
		t.Errorf("got %v released and %d dispatched at second, want one slot released and none dispatched", second.released, second.dispatched)
	}
}

// The service's retry budget is exhausted. If the entry abandoned the run for a slot
// elsewhere and then denied the retry, the request would be lost with its reply.
func TestHungRunContinuesIfRetryIsDenied(t *testing.T) {
	fails := func(d *fakeGate, m *wire.Dispatch, w link.DispatchObserver) {
		reply := d.served(m)
		reply.Status = 500
		w.Replied(reply)
	}
	answer := make(chan struct{})
	close(answer)
	first := &fakeGate{name: "first", handle: fails}
	second := &fakeGate{name: "second", handle: fails}
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Floor: 0.3, Deadline: clock.Minute}
	e := newServiceEntry(t, s, []string{table.AnyMethod}, first, second)
	for range retry.MinBurst {
		post(e)
	}
	first.handle, second.handle = hang(answer), hang(answer)
	status, _ := post(e)
	if status != 200 || first.abandoned+second.abandoned != 0 {
		t.Errorf("got %d, %d runs abandoned; want 200 and none abandoned", status, first.abandoned+second.abandoned)
	}
}

// callerConn is a caller's connection that the test can close.
type callerConn struct {
	net.Conn
	mu   sync.Mutex
	gone func()
}

func (c *callerConn) Watch(gone func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = gone
	return func() {}
}

func (c *callerConn) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone != nil {
		c.gone()
		c.gone = nil
	}
}

func (*callerConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 9)} }
func (*callerConn) LocalAddr() net.Addr  { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1)} }

// The caller closes the connection while its request gets a slot at another upstream. A
// slot that is never released counts as a request in flight forever, and the upstream
// gets less and less load from this entry.
func TestReservationIsReleasedWhenCallerLeaves(t *testing.T) {
	const callers = 40
	for range callers {
		c := &callerConn{}
		first := &fakeGate{name: "first", handle: hang(make(chan struct{}))}
		second := &fakeGate{name: "second", onProbe: func(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) {
			grantSlot("second", 0)(probe, onReply)
			c.disconnect()
		}}
		e := newRepeatableEntry(t, first, second)
		e.UpdateUpstream(wire.Upstream{Name: "second", Share: 1, InFlight: 5})
		var ctx fasthttp.RequestCtx
		ctx.Init2(c, nil, false)
		sendOn(&ctx, e)
		if second.dispatched != 0 || len(second.released) != second.probes {
			t.Fatalf("got %d dispatched and %d of %d slots released, want none dispatched and all released", second.dispatched, len(second.released), second.probes)
		}
	}
}
