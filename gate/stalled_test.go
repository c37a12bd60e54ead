package gate_test

import (
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// hanging is a backend server that hangs, behind its gate.
type hanging struct {
	gate    *gate.Gate
	backend *held
	replies chan *wire.Reply
	stalled chan *wire.HungRun
}

// hung begins runs at a backend server that hangs.
func hung(t *testing.T, count int, change func(d *wire.Dispatch)) *hanging {
	t.Helper()
	h := &hanging{replies: make(chan *wire.Reply, count), stalled: make(chan *wire.HungRun, 64)}
	h.gate, h.backend = gateOf(t, gate.Config{
		Service:  table.Service{Name: "conferme", Caution: table.ShortEpisodes},
		Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: count},
		OnHung:   func(_ uint64, s *wire.HungRun) { h.stalled <- s },
	})
	for seq := range uint64(count) {
		d := dispatch(seq+1, "hangs")
		d.Repeatable, d.MedianTime, d.Hanging = true, 10, 101
		change(d)
		h.gate.Handle(d, func(r *wire.Reply) { h.replies <- r })
		<-h.backend.begun
	}
	return h
}

// A backend server hangs. The entries of what may run again must hear of it while there is time
// for another upstream; until they give a run up it goes on, for it may come to an end.
func TestEntriesHearOfRunsThatHang(t *testing.T) {
	h := hung(t, 3, func(*wire.Dispatch) {})
	told := map[uint64]bool{}
	for len(told) < 3 {
		told[(<-h.stalled).ID.Seq] = true
	}
	if got := len(h.replies); got != 0 {
		t.Errorf("got %d runs ended by the gate, want none", got)
	}
	for seq := range uint64(3) {
		h.gate.Cancel(wire.RequestID{Entry: 1, Seq: seq + 1}, 1)
		if got := <-h.replies; got.Outcome != wire.Broken {
			t.Errorf("got %v for a run that was given up, want it broken off", got.Outcome)
		}
	}
}

// These have no second chance: one that runs once only, and one without time for another run.
func TestRunsWithoutAnotherChanceAreNotTold(t *testing.T) {
	for name, change := range map[string]func(d *wire.Dispatch){
		"runs once": func(d *wire.Dispatch) { d.Repeatable = false },
		"no time":   func(d *wire.Dispatch) { d.MedianTime, d.Budget = 200, 190 },
	} {
		h := hung(t, 3, change)
		for h.gate.Status().Severity < 0.9 {
			<-time.After(5 * time.Millisecond)
		}
		if got := len(h.stalled); got != 0 {
			t.Errorf("%s: got %d words of a stall, want none", name, got)
		}
		close(h.backend.end)
	}
}

// A caller that leaves says nothing of the upstream.
func TestLeavingIsNoStall(t *testing.T) {
	h := hung(t, 1, func(d *wire.Dispatch) { d.MedianTime = clock.Hour })
	h.gate.Cancel(wire.RequestID{Entry: 1, Seq: 1}, 1)
	if got := <-h.replies; got.Reason != wire.ReasonCallerLeft {
		t.Errorf("got %q, want it told that the caller has left", got.Reason)
	}
	if got := h.gate.Status().Severity; got >= episode.EjectThreshold {
		t.Errorf("got severity %.2f after a caller left, want the upstream in use", got)
	}
}
