package gate_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// An upstream hangs and is restarted under its name before anything detects that it is gone. If
// the run of the previous process kept the only slot, the new process would be idle until the
// deadline of a request that it never received.
func TestRunsOfThePreviousProcessHoldNoSlot(t *testing.T) {
	g, h, s, u := newGate(t)
	replies := make(chan *wire.Reply, 2)
	g.Handle(dispatch(1, "first"), func(r *wire.Reply) { replies <- r })
	<-h.begun
	g.Handle(dispatch(2, "second"), func(r *wire.Reply) { replies <- r })
	u.Started = 1_767_225_600_900
	g.Update(s, u)
	if got := <-h.begun; got != "second" {
		t.Fatalf("%s began, want second", got)
	}
	third := dispatch(3, "third")
	third.NoQueue = true
	refused := make(chan *wire.Reply, 1)
	g.Handle(third, func(r *wire.Reply) { refused <- r })
	if got := <-refused; got.Reason != wire.ReasonFull {
		t.Errorf("got reason %s for a third request, want it refused as full: one slot, one run", got.Reason)
	}
	close(h.end)
	<-replies
	<-replies
	if got := g.MetricsState().Running; got != 0 {
		t.Errorf("got %d runs after all have ended, want 0", got)
	}
}

// An upstream failed until its process was replaced. The verdict on the old process must not
// keep requests from the new one.
func TestVerdictIsResetWhenTheProcessIsReplaced(t *testing.T) {
	changed := make(chan struct{}, 8)
	g, h, s, u := newGateOnChange(t, func() { changed <- struct{}{} })
	d := dispatch(1, "hangs")
	d.MedianTime = 1
	g.Handle(d, func(*wire.Reply) {})
	<-h.begun
	<-changed // the run is long overdue
	if got := g.Status().Severity; got < 0.15 {
		t.Fatalf("got severity %v of an upstream that hangs, want at least 0.15", got)
	}
	u.Started = 1_767_225_600_900
	g.Update(s, u)
	if got := g.Status().Severity; got >= 0.15 {
		t.Errorf("got severity %v of a new process, want below 0.15", got)
	}
	close(h.end)
}

// A request that must run only once runs at an upstream whose registration expires and which then
// registers again under its name. If the new gate resolved the dispatch as not run, the caller
// would send the request again, and it would run twice.
func TestGateResolvesDispatchesOfThePreviousGate(t *testing.T) {
	old, h, s, u := newGate(t)
	first, second := dispatch(1, "first"), dispatch(2, "second")
	old.Handle(first, func(*wire.Reply) {})
	<-h.begun
	resolve := func(g *gate.Gate, d *wire.Dispatch) *wire.Resolution {
		got, _ := g.Resolve(&wire.Resolve{ID: d.ID, Attempt: 1, Incarnation: incarnation, Upstream: "c1", Lease: d.Lease})
		return got
	}
	if got := resolve(old, second); got == nil || !got.Revoked {
		t.Fatalf("got %+v for a dispatch that never arrived, want it revoked", got)
	}
	old.Leave()
	next, nextBackend := newGateWithPrevious(t, old, s, u)
	if got := resolve(next, first); got == nil || got.Revoked {
		t.Errorf("got %+v for a running dispatch, want it not reported as not run", got)
	}
	replies := make(chan *wire.Reply, 1)
	next.Handle(second, func(r *wire.Reply) { replies <- r })
	if got := <-replies; got.Outcome != wire.NotRun {
		t.Errorf("got outcome %v for a dispatch that was revoked before, want it not run", got.Outcome)
	}
	next.Handle(dispatch(3, "third"), func(*wire.Reply) {})
	if got := <-nextBackend.begun; got != "third" {
		t.Errorf("%s began, want third", got)
	}
	close(h.end)
	close(nextBackend.end)
}

// A backend server's process ends during a run without closing its connections. Unless the
// connections are reset, the caller waits until the deadline for a response that can't arrive.
func TestResetConnectionsEndsPendingCalls(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // its connections are closed when the test ends
	read := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(conn).ReadString('\n') // no response follows
		close(read)
	}()
	h := gate.NewHTTP(gate.HTTPConfig{Address: listener.Addr().String(), MaxConnections: 4, MaxBody: 1 << 10})
	done := make(chan error, 1)
	go func() {
		_, err := h.Do(t.Context(), &gate.Call{ID: "x", Method: "POST", URI: "/", Deadline: clock.Minute})
		done <- err
	}()
	<-read
	h.ResetConnections(time.Now())
	if got := <-done; !errors.Is(got, gate.ErrTruncated) {
		t.Errorf("got error %v, want a truncated response", got)
	}
}

// An upstream returns twice under its name while a dispatch to its first gate runs, or after it ran
// and its entry has lost its link. Guards against a gate that forgets the first one and resolves the
// dispatch as not run: the entry would send the request again.
func TestGatesAreKeptAsLongAsTheirDispatches(t *testing.T) {
	for _, isFinished := range []bool{false, true} {
		first, h, s, u := newGate(t)
		d := dispatch(1, "first")
		replies := make(chan *wire.Reply, 1)
		first.Handle(d, func(r *wire.Reply) { replies <- r })
		<-h.begun
		if isFinished {
			close(h.end)
			<-replies
		}
		first.Leave()
		second, _ := newGateWithPrevious(t, first, s, u)
		second.Leave()
		third, _ := newGateWithPrevious(t, second, s, u)
		if got := third.Pending(); !isFinished && got != 1 {
			t.Errorf("got %d pending dispatches, want 1", got)
		}
		third.ForgetPrevious(clock.Hour)
		resolution, reply := third.Resolve(&wire.Resolve{ID: d.ID, Attempt: 1, Incarnation: incarnation, Upstream: "c1", Lease: d.Lease})
		if reply == nil && (resolution.Revoked || isFinished) {
			t.Errorf("finished %v: got %+v for a dispatch that ran, want its outcome", isFinished, resolution)
		}
		if !isFinished {
			close(h.end)
		}
	}
}

// A backend server's process ends and the next one runs a request before the table names it. Guards
// against a gate that takes this run for one of the previous process and cuts it.
func TestRunsOfTheNextProcessOutliveItsRegistration(t *testing.T) {
	first, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := first.Addr().String()
	_ = first.Close() // the previous process has ended
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4}
	u := table.Upstream{Name: "c1", Address: address, Weight: 100, Slots: 1}
	now := clock.NewSystem().Now
	g := gate.New(gate.Config{
		Service: s, Upstream: u, Incarnation: incarnation, Now: now, Pool: newPool(t), Recorder: discardRecorder{},
		Keys: gate.NewKeyStore(now), Log: logging.Silent(),
		Backend: gate.NewHTTP(gate.HTTPConfig{Address: address, MaxConnections: 4, MaxBody: 1 << 10}),
	})
	replies := make(chan *wire.Reply, 1)
	g.Handle(dispatch(1, "first"), func(r *wire.Reply) { replies <- r })
	if got := <-replies; got.Reason != wire.ReasonConnectionRefused {
		t.Fatalf("got reason %s from a process that has ended, want the connection refused", got.Reason)
	}
	awaitDown(t, g, true)
	second, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	begun, end := make(chan struct{}), make(chan struct{})
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {
		close(begun)
		<-end
	}}
	go func() { _ = server.Serve(second) }() // an error shows below: the request isn't answered
	defer func() { _ = second.Close() }()
	awaitDown(t, g, false)
	d := dispatch(2, "second")
	d.Forced = true // the verdict on the previous process still holds
	g.Handle(d, func(r *wire.Reply) { replies <- r })
	select {
	case <-begun:
	case got := <-replies:
		t.Fatalf("got reason %s, want the next process to run the request", got.Reason)
	}
	u.Started = 1_767_225_600_900
	g.Update(s, u)
	if got := g.MetricsState().Running; got != 1 {
		t.Errorf("got %d slots in use, want 1: the next process runs the request", got)
	}
	select {
	case got := <-replies:
		t.Errorf("got reason %s while the next process runs the request, want no reply", got.Reason)
		close(end)
	case <-time.After(time.Second):
		close(end)
		if got := <-replies; got.Outcome != wire.Answered {
			t.Errorf("got outcome %v (%s), want it answered", got.Outcome, got.Reason)
		}
	}
	if got := g.MetricsState().Running; got != 0 {
		t.Errorf("got %d slots in use after all runs have ended, want 0", got)
	}
}

// awaitDown waits until the gate knows whether its backend server's process has ended.
func awaitDown(t *testing.T, g *gate.Gate, want bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); g.Status().Down != want; <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got no gate with down %v within 10s", want)
		}
	}
}

// An upstream is restarted twice while a run of the first process hangs. Guards against a slot that
// is freed twice, and given to another request while it is reserved.
func TestSecondRestartFreesNoReservedSlot(t *testing.T) {
	g, h, s, u := newGate(t)
	g.Handle(dispatch(1, "hangs"), func(*wire.Reply) {})
	<-h.begun
	u.Started = 1_767_225_600_900
	g.Update(s, u)
	answers := make(chan *wire.Reservation, 1)
	upload := &wire.SlotClaim{Probe: *newCapacityProbe(2), Bytes: 1 << 30} // the slot stays reserved for its transfer
	g.ClaimSlot(upload, func(r *wire.Reservation) { answers <- r }, func(*wire.ClaimQueued) {})
	if got := <-answers; !got.Reserved {
		t.Fatalf("got no slot (%s), want it reserved", got.Reason)
	}
	u.Started++
	g.Update(s, u)
	if got := g.MetricsState().Running; got != 1 {
		t.Errorf("got %d slots in use, want the reserved one", got)
	}
	close(h.end)
}
