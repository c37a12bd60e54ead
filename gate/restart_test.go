package gate_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/wire"
)

// An upstream hangs, is ended and is back under its name, quicker than anybody could
// see it go. The run that it took along holds its only slot: the new process would idle
// until the deadline of a request that it never saw.
func TestRunsOfTheProcessBeforeHoldNoSlot(t *testing.T) {
	g, h, s, u := guarded(t)
	replies := make(chan *wire.Reply, 2)
	g.Handle(dispatch(1, "first"), func(r *wire.Reply) { replies <- r })
	<-h.begun
	g.Handle(dispatch(2, "second"), func(r *wire.Reply) { replies <- r })
	u.Started = 1_767_225_600_900
	g.Update(s, u)
	if got := <-h.begun; got != "second" {
		t.Fatalf("got %s begun, want second", got)
	}
	third := dispatch(3, "third")
	third.NoQueue = true
	refused := make(chan *wire.Reply, 1)
	g.Handle(third, func(r *wire.Reply) { refused <- r })
	if got := <-refused; got.Reason != wire.ReasonFull {
		t.Errorf("got %s for a third request, want it full: one slot, one run", got.Reason)
	}
	close(h.end)
	<-replies
	<-replies
	if got := g.MetricsState().Running; got != 0 {
		t.Errorf("got %d runs after all ended, want 0", got)
	}
}

// An upstream failed until its process was replaced. The verdict on it must not keep
// work from the one that is new.
func TestVerdictEndsWithItsProcess(t *testing.T) {
	worse := make(chan struct{}, 8)
	g, h, s, u := guardedWith(t, func() { worse <- struct{}{} })
	d := dispatch(1, "hangs")
	d.MedianTime = 1
	g.Handle(d, func(*wire.Reply) {})
	<-h.begun
	<-worse // the run is long overdue
	if got := g.Status().Severity; got < 0.15 {
		t.Fatalf("got severity %v of an upstream that hangs, want it doubtful at least", got)
	}
	u.Started = 1_767_225_600_900
	g.Update(s, u)
	if got := g.Status().Severity; got >= 0.15 {
		t.Errorf("got severity %v of a new process, want that of one unknown", got)
	}
	close(h.end)
}

// A confirmation runs at an upstream whose registration lapses, and which then comes
// back under its name. Asked what became of the confirmation, the new gate would call
// it not run; its caller would send it again, and a second crew would go out.
func TestAGateKnowsWhatTheOneBeforeBegan(t *testing.T) {
	old, h, s, u := guarded(t)
	first, second := dispatch(1, "first"), dispatch(2, "second")
	old.Handle(first, func(*wire.Reply) {})
	<-h.begun
	settle := func(g *gate.Gate, d *wire.Dispatch) *wire.Resolution {
		got, _ := g.Resolve(&wire.Resolve{ID: d.ID, Attempt: 1, Incarnation: incarnation, Upstream: "c1", Lease: d.Lease})
		return got
	}
	if got := settle(old, second); got == nil || !got.Revoked {
		t.Fatalf("got %+v for one that never came, want it voided", got)
	}
	old.Leave()
	next, fresh := gateAfter(t, old, s, u)
	if got := settle(next, first); got == nil || got.Revoked {
		t.Errorf("got %+v for one that runs, want it not called not run", got)
	}
	replies := make(chan *wire.Reply, 1)
	next.Handle(second, func(r *wire.Reply) { replies <- r })
	if got := <-replies; got.Outcome != wire.NotRun {
		t.Errorf("got %v for one that was voided before, want it not run", got.Outcome)
	}
	next.Handle(dispatch(3, "third"), func(*wire.Reply) {})
	if got := <-fresh.begun; got != "third" {
		t.Errorf("got %s begun, want third", got)
	}
	close(h.end)
	close(fresh.end)
}

// A backend server's process is ended while it works, without a word on its
// connections. Its caller would wait to the deadline for an answer that can't come.
func TestRenewedBackendGivesUpWhatItWaitsFor(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // its connections end with the test
	read := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(conn).ReadString('\n') // then it is silent
		close(read)
	}()
	h := gate.NewHTTP(gate.HTTPConfig{Address: listener.Addr().String(), MaxConnections: 4, MaxBody: 1 << 10})
	done := make(chan error, 1)
	go func() {
		_, err := h.Do(t.Context(), &gate.Call{ID: "x", Method: "POST", URI: "/", Deadline: clock.Minute})
		done <- err
	}()
	<-read
	h.ResetConnections()
	if got := <-done; !errors.Is(got, gate.ErrTruncated) {
		t.Errorf("got %v, want the answer torn", got)
	}
}
