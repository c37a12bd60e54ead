package gate_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/wire"
)

// An upstream begins to fail while confirmations wait for its slots. It fails fast, so its
// slots were free first, and one waiter after the other was sent into it.
func TestWaitersAreNotSentToAnUpstreamThatWasSetAside(t *testing.T) {
	worse := make(chan struct{}, 8)
	g, h, _, _ := guardedWith(t, func() { worse <- struct{}{} })
	h.isFailing = true
	d := dispatch(1, "hangs")
	d.MedianTime = 50
	g.Handle(d, func(*wire.Reply) {})
	<-h.begun
	holds := make(chan *wire.Reservation, 1)
	g.ProbeCapacity(&wire.CapacityProbe{ID: wire.RequestID{Entry: 1, Seq: 2}, Attempt: 1, Upstream: "c1", Budget: clock.Minute, WaitBudget: clock.Minute}, func(hold *wire.Reservation) { holds <- hold })
	for g.Status().Severity < episode.EjectThreshold {
		<-worse // until the run has lasted so long that the upstream is set aside
	}
	close(h.end)
	if got := <-holds; got.Reserved || got.Reason != wire.ReasonEjected {
		t.Errorf("got a slot: %v, %q; want it refused, as the upstream is set aside", got.Reserved, got.Reason)
	}
	if got := g.MetricsState().Running; got != 0 {
		t.Errorf("got %d slots taken, want none", got)
	}
}
