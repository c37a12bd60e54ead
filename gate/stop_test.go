package gate_test

import (
	"runtime"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Guards against a gate that begins requests which its node cuts when it stops: those that may run only
// once and whose deadline is later. All others run.
func TestOnlyRequestsThatEndBeforeTheNodeStopsBegin(t *testing.T) {
	const span = 10 * clock.Second
	tests := []struct {
		name       string
		budget     clock.Millis
		repeatable bool
		isRefused  bool
	}{
		{"once, longer", 2 * span, false, true},
		{"once, shorter", span / 2, false, false},
		{"repeatable, longer", 2 * span, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g, h, _, _ := newGate(t)
			g.Depart(departure.Stop{At: span})
			d := dispatch(1, "first")
			d.Budget, d.Repeatable = test.budget, test.repeatable
			replies := make(chan *wire.Reply, 1)
			g.Handle(d, func(r *wire.Reply) { replies <- r })
			if !test.isRefused {
				<-h.begun
				close(h.end)
			}
			got := <-replies
			if isRefused := got.Outcome == wire.NotRun && got.Reason == wire.ReasonLeaving; isRefused != test.isRefused {
				t.Errorf("got outcome %v, reason %q; want refused %v", got.Outcome, got.Reason, test.isRefused)
			}
		})
	}
}

// Guards against a gate that begins a request which its node cuts when it stops, although the latency of its
// route says so: one that may be repeated, or one whose entry, which stops as well, has shortened its deadline.
func TestRequestsThatRunTooLongForTheNodeDoNotBegin(t *testing.T) {
	const span = 10 * clock.Second
	for _, test := range []struct {
		name           string
		median, budget clock.Millis
		repeatable     bool
		isRefused      bool
	}{
		{"repeatable, short", span / 10, clock.Minute, true, false},
		{"repeatable, long", span / 2, clock.Minute, true, true},
		{"once, short", span / 10, span - clock.Second, false, false},
		{"once, long", span / 2, span - clock.Second, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, h, _, _ := newGate(t)
			g.Depart(departure.Stop{At: span})
			d := dispatch(1, "first")
			d.Budget, d.Repeatable, d.MedianTime, d.LogStdDev = test.budget, test.repeatable, test.median, 0.5
			replies := make(chan *wire.Reply, 1)
			g.Handle(d, func(r *wire.Reply) { replies <- r })
			select {
			case <-h.begun:
				close(h.end)
				if test.isRefused {
					t.Error("got it begun, want it refused")
				}
			case got := <-replies:
				if !test.isRefused || got.Outcome != wire.NotRun || got.Reason != wire.ReasonLeaving {
					t.Errorf("got outcome %v, reason %q; want refused as leaving %v", got.Outcome, got.Reason, test.isRefused)
				}
			}
		})
	}
}

// Guards against a gate that takes a repeatable run by an estimate late in its node's departure, when a wrong one
// has no excuse.
func TestLateRunsBeginOnlyIfTheirDeadlineIsBeforeTheNodeStops(t *testing.T) {
	for name, test := range map[string]struct {
		passed, budget clock.Millis
		isRefused      bool
	}{
		"early":                 {2 * clock.Second, clock.Minute, false},
		"late":                  {3 * clock.Second, clock.Minute, true},
		"late, a near deadline": {3 * clock.Second, clock.Second, false},
	} {
		g, h, _, _ := newGate(t)
		const left = 10 * clock.Second
		g.Depart(departure.Stop{Begins: -test.passed, At: left})
		d := dispatch(1, "first")
		d.Budget, d.Repeatable, d.MedianTime, d.LogStdDev = test.budget, true, 20, 0.5
		replies := make(chan *wire.Reply, 1)
		g.Handle(d, func(r *wire.Reply) { replies <- r })
		if !test.isRefused {
			<-h.begun
			close(h.end)
		}
		if got := <-replies; (got.Outcome == wire.NotRun && got.Reason == wire.ReasonLeaving) != test.isRefused {
			t.Errorf("%s: got outcome %v, reason %q; want refused %v", name, got.Outcome, got.Reason, test.isRefused)
		}
	}
}

// Guards against requests that wait at a gate for a slot that they can't use any more, as the node stops
// before their deadline: their entries have time for other upstreams.
func TestWaitersAreRefusedWhenTheNodeStopsBeforeTheirDeadline(t *testing.T) {
	g, h, _, _ := newGate(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	replies, reservations := make(chan *wire.Reply, 1), make(chan *wire.Reservation, 2)
	g.Handle(dispatch(2, "second"), func(r *wire.Reply) { replies <- r })
	g.ProbeCapacity(newCapacityProbe(3), func(r *wire.Reservation) { reservations <- r })
	repeatable := newCapacityProbe(4)
	repeatable.Repeatable = true
	g.ProbeCapacity(repeatable, func(r *wire.Reservation) { reservations <- r })
	g.Depart(departure.Stop{At: clock.Second})
	if got := <-replies; got.Outcome != wire.NotRun || got.Reason != wire.ReasonLeaving {
		t.Errorf("got outcome %v, reason %q; want the waiting dispatch refused as leaving", got.Outcome, got.Reason)
	}
	if got := <-reservations; got.ID.Seq != 3 || got.Reserved || got.Reason != wire.ReasonLeaving {
		t.Errorf("got reserved %v, reason %q for probe %d; want probe 3 refused as leaving", got.Reserved, got.Reason, got.ID.Seq)
	}
	close(h.end)
	if got := <-reservations; got.ID.Seq != 4 || !got.Reserved {
		t.Errorf("got reserved %v for probe %d, want the slot for the repeatable request", got.Reserved, got.ID.Seq)
	}
}

// Guards against a slot reserved before the node began to stop: a request that may outlast the node must
// not use it.
func TestReservedSlotIsRefusedWhenTheNodeStopsBeforeTheDeadline(t *testing.T) {
	g, h, _, _ := newGate(t)
	d := dispatch(1, "first")
	if got := probeCapacity(g, &wire.CapacityProbe{ID: d.ID, Attempt: 1, Upstream: "c1", Budget: clock.Minute}); !got.Reserved {
		t.Fatalf("got no slot (%s), want it reserved", got.Reason)
	}
	g.Depart(departure.Stop{At: clock.Second})
	replies := make(chan *wire.Reply, 1)
	g.Handle(d, func(r *wire.Reply) { replies <- r })
	if got := <-replies; got.Outcome != wire.NotRun || got.Reason != wire.ReasonLeaving {
		t.Errorf("got outcome %v, reason %q; want it refused as leaving", got.Outcome, got.Reason)
	}
	close(h.end)
}

// Guards against a run that a stopping node cuts without a word to its entry, and against a second reply
// once the run ends after all.
func TestCutRunsAreReportedOnce(t *testing.T) {
	g, h, _, _ := newGate(t)
	d := dispatch(1, "first")
	replies := make(chan *wire.Reply, 2)
	g.Handle(d, func(r *wire.Reply) { replies <- r })
	<-h.begun
	if got := g.Cut(); got != 1 {
		t.Errorf("got %d runs cut, want 1", got)
	}
	if got := <-replies; got.Outcome != wire.Broken || got.Reason != wire.ReasonNodeStopped {
		t.Errorf("got outcome %v, reason %q; want broken, as the node has stopped", got.Outcome, got.Reason)
	}
	_, resolved := g.Resolve(&wire.Resolve{ID: d.ID, Attempt: d.Attempt, Incarnation: incarnation, Lease: d.Lease})
	if resolved == nil || resolved.Reason != wire.ReasonNodeStopped {
		t.Errorf("got %+v for an entry that asks again, want the same reply", resolved)
	}
	close(h.end)
	for g.Pending() > 0 {
		runtime.Gosched()
	}
	if len(replies) > 0 {
		t.Errorf("got a second reply %+v, want one", <-replies)
	}
}
