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

// hungGate is a gate whose backend server hangs.
type hungGate struct {
	gate     *gate.Gate
	backend  *blockingBackend
	replies  chan *wire.Reply
	hungRuns chan *wire.HungRun
}

// newHungGate returns a gate with count runs at a backend server that hangs. It applies change to
// each dispatch before the run.
func newHungGate(t *testing.T, count int, change func(d *wire.Dispatch)) *hungGate {
	t.Helper()
	h := &hungGate{replies: make(chan *wire.Reply, count), hungRuns: make(chan *wire.HungRun, 64)}
	h.gate, h.backend = newGateFromConfig(t, gate.Config{
		Service:  table.Service{Name: "conferme", Caution: table.ShortEpisodes},
		Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: count},
		OnHung:   func(_ uint64, run *wire.HungRun) { h.hungRuns <- run },
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

// A backend server hangs. The entries of repeatable requests must be notified while there is time
// for another upstream. The gate must not end the runs itself, since they may still finish.
func TestEntriesAreNotifiedOfHungRuns(t *testing.T) {
	h := newHungGate(t, 3, func(*wire.Dispatch) {})
	notified := map[uint64]bool{}
	for len(notified) < 3 {
		notified[(<-h.hungRuns).ID.Seq] = true
	}
	if got := len(h.replies); got != 0 {
		t.Errorf("got %d runs ended by the gate, want none", got)
	}
	for seq := range uint64(3) {
		h.gate.Cancel(wire.RequestID{Entry: 1, Seq: seq + 1}, 1)
		if got := <-h.replies; got.Outcome != wire.Broken {
			t.Errorf("got outcome %v for a cancelled run, want it broken", got.Outcome)
		}
	}
}

// A hung run is not reported if the request can't be retried: it isn't repeatable, or there is no
// time left for another run.
func TestHungRunsThatCannotBeRetriedAreNotReported(t *testing.T) {
	for name, change := range map[string]func(d *wire.Dispatch){
		"runs once": func(d *wire.Dispatch) { d.Repeatable = false },
		"no time":   func(d *wire.Dispatch) { d.MedianTime, d.Budget = 200, 190 },
	} {
		h := newHungGate(t, 3, change)
		for h.gate.Status().Severity < 0.9 {
			<-time.After(5 * time.Millisecond)
		}
		if got := len(h.hungRuns); got != 0 {
			t.Errorf("%s: got %d notifications of a hung run, want none", name, got)
		}
		close(h.backend.end)
	}
}

// A run that ends because its caller disconnects is no evidence against the upstream.
func TestCancelledRunIsNotCountedAsHung(t *testing.T) {
	h := newHungGate(t, 1, func(d *wire.Dispatch) { d.MedianTime = clock.Hour })
	h.gate.Cancel(wire.RequestID{Entry: 1, Seq: 1}, 1)
	if got := <-h.replies; got.Reason != wire.ReasonCallerLeft {
		t.Errorf("got reason %q, want that the caller has disconnected", got.Reason)
	}
	if got := h.gate.Status().Severity; got >= episode.EjectThreshold {
		t.Errorf("got severity %.2f after a caller disconnected, want the upstream in use", got)
	}
}
