package gate_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/wire"
)

// An upstream begins to fail while requests wait for its slots. Since it fails fast, its slots
// become free first, and without a new admission check every waiter would be sent to it.
func TestWaitersAreNotSentToAnEjectedUpstream(t *testing.T) {
	changed := make(chan struct{}, 8)
	g, h, _, _ := newGateOnChange(t, func() { changed <- struct{}{} })
	h.isFailing = true
	d := dispatch(1, "hangs")
	d.MedianTime = 50
	g.Handle(d, func(*wire.Reply) {})
	<-h.begun
	reservations := make(chan *wire.Reservation, 1)
	g.ProbeCapacity(&wire.CapacityProbe{ID: wire.RequestID{Entry: 1, Seq: 2}, Attempt: 1, Upstream: "c1", Budget: clock.Minute, WaitBudget: clock.Minute}, func(r *wire.Reservation) { reservations <- r })
	for g.Status().Severity < episode.EjectThreshold {
		<-changed // until the run has lasted so long that the upstream is ejected
	}
	close(h.end)
	if got := <-reservations; got.Reserved || got.Reason != wire.ReasonEjected {
		t.Errorf("got reserved %v, reason %q; want the probe refused, since the upstream is ejected", got.Reserved, got.Reason)
	}
	if got := g.MetricsState().Running; got != 0 {
		t.Errorf("got %d slots in use, want none", got)
	}
}
