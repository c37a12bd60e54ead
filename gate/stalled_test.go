package gate_test

import (
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/grade"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// hung begins runs at a backend server that hangs, and returns their replies.
func hung(t *testing.T, count int, change func(d *wire.Dispatch)) (*gate.Gate, *held, <-chan *wire.Reply) {
	t.Helper()
	g, h := gateOf(t, gate.Config{
		Service:  table.Service{Name: "conferme", Caution: table.Brief},
		Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: count},
	})
	replies := make(chan *wire.Reply, count)
	for seq := range uint64(count) {
		d := dispatch(seq+1, "hangs")
		d.Repeatable, d.Movable, d.Usual, d.Hanging = true, true, 10, 101
		change(d)
		g.Handle(d, func(r *wire.Reply) { replies <- r })
		<-h.begun
	}
	return g, h, replies
}

// A backend server hangs. What may run again must be given up while there is time for it
// elsewhere: at its time limit its caller has gone.
func TestRunsThatHangAreGivenUp(t *testing.T) {
	_, _, replies := hung(t, 3, func(*wire.Dispatch) {})
	for range 3 {
		got := <-replies
		if got.Outcome != wire.Broken || got.Reason != wire.ReasonStalled {
			t.Errorf("got %v, %q; want it broken off as stalled", got.Outcome, got.Reason)
		}
	}
}

// Given up, these would have no second chance: one that runs once only, one that may reach no
// other upstream, one without time for another run.
func TestRunsWithoutAnotherChanceGoOn(t *testing.T) {
	for name, change := range map[string]func(d *wire.Dispatch){
		"runs once":       func(d *wire.Dispatch) { d.Repeatable = false },
		"no other chance": func(d *wire.Dispatch) { d.Movable = false },
		"no time":         func(d *wire.Dispatch) { d.Usual, d.Budget = 200, 190 },
	} {
		g, h, replies := hung(t, 3, change)
		for g.Status().Severity < 0.9 {
			<-time.After(5 * time.Millisecond)
		}
		close(h.end)
		for range 3 {
			if got := <-replies; got.Outcome != wire.Answered {
				t.Errorf("%s: got %v, %q; want its answer", name, got.Outcome, got.Reason)
			}
		}
	}
}

// A caller that leaves is told apart from a run that was given up: it is sent nowhere again.
func TestLeavingIsNoStall(t *testing.T) {
	g, _, replies := hung(t, 1, func(d *wire.Dispatch) { d.Usual = clock.Hour })
	g.Abandon(wire.RequestID{Entry: 1, Seq: 1}, 1)
	if got := <-replies; got.Reason != wire.ReasonLeft {
		t.Errorf("got %q, want it told that the caller has left", got.Reason)
	}
	if got := g.Status().Severity; got >= grade.Aside {
		t.Errorf("got severity %.2f after a caller left, want the upstream in use", got)
	}
}
