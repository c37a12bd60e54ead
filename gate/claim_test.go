package gate_test

import (
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/wire"
)

// claimSlot makes a claim of an entry. Its answers and confirmations arrive on the channels.
func claimSlot(g *gate.Gate, entry uint64) (answers chan *wire.Reservation, confirmed chan *wire.ClaimQueued) {
	answers, confirmed = make(chan *wire.Reservation, 1), make(chan *wire.ClaimQueued, 1)
	g.ClaimSlot(&wire.SlotClaim{Probe: wire.CapacityProbe{
		ID: wire.RequestID{Entry: entry, Seq: 1}, Attempt: 1, Upstream: "c1", Budget: clock.Hour, WaitBudget: clock.Hour,
	}}, func(r *wire.Reservation) { answers <- r }, func(m *wire.ClaimQueued) { confirmed <- m })
	return answers, confirmed
}

// Guards against a queue that is blocked by claims that nobody waits for any more: their
// requests have started elsewhere, or their entry is gone, with a grant that it never uses.
func TestClaimsThatNobodyWaitsForFreeTheQueue(t *testing.T) {
	g, h, _, _ := newGate(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	unused, confirmed := claimSlot(g, 2)
	if got := <-confirmed; got.Wait <= 0 || got.Upstream != "c1" {
		t.Errorf("got %+v, want the claim confirmed with the time that it waits", got)
	}
	withdrawn, _ := claimSlot(g, 3)
	dropped, _ := claimSlot(g, 4)
	waiting, _ := claimSlot(g, 5)
	g.ReleaseReservation(&wire.ReleaseReservation{ID: wire.RequestID{Entry: 3, Seq: 1}, Attempt: 1, Upstream: "c1"})
	g.DropClaims(4, clock.NewSystem().Now()+clock.Hour)
	g.DropClaims(5, -clock.Hour) // its link ended before the claim came over a newer one
	if got := g.MetricsState().Waiting; got != 2 {
		t.Errorf("got %d claims waiting, want 2", got)
	}
	close(h.end)
	if got := <-unused; !got.Reserved {
		t.Errorf("got the first claim refused (%s), want it granted", got.Reason)
	}
	if got := <-waiting; !got.Reserved {
		t.Errorf("got the last claim refused (%s), want it granted after the TTL of the unused grant", got.Reason)
	}
	if len(withdrawn)+len(dropped) > 0 {
		t.Error("got an answer to a claim that was withdrawn or dropped, want none")
	}
}

// A claim states the size of a body that its entry never sends. Guards against a slot that stays
// reserved for longer than the request may take, and against one that is lost while the body of an
// upload is on a slow link.
func TestReservationLastsForTheTransfer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		bytes  int
		budget clock.Millis
		least  clock.Millis // until the slot is free again
	}{
		{"an upload on a link of 10 Mbit/s", 60_000, clock.Hour, 48},
		{"a size beyond the deadline", 1 << 40, 60, 60},
	} {
		g, _, s, u := newGate(t)
		u.Slots = 1
		g.Update(s, u)
		probe := wire.CapacityProbe{ID: wire.RequestID{Entry: 2, Seq: 1}, Attempt: 1, Upstream: "c1", Budget: tt.budget}
		unused := make(chan *wire.Reservation, 1)
		began := time.Now()
		g.ClaimSlot(&wire.SlotClaim{Probe: probe, Bytes: tt.bytes}, func(r *wire.Reservation) { unused <- r }, nil)
		if got := <-unused; !got.Reserved {
			t.Fatalf("%s: got the claim refused (%s), want it granted", tt.name, got.Reason)
		}
		next, _ := claimSlot(g, 3)
		if got := <-next; !got.Reserved {
			t.Errorf("%s: got the next claim refused (%s), want it granted", tt.name, got.Reason)
		}
		if got := clock.FromDuration(time.Since(began)); got < tt.least {
			t.Errorf("%s: got the slot free after %v, want it reserved for %v at least", tt.name, got, tt.least)
		}
	}
}

// Guards against refusals without the time after which the queue has room: the claim is
// displaced by one of a higher priority.
func TestDisplacedClaimGetsARetryAfter(t *testing.T) {
	g, h, s, u := newGate(t)
	s.Queue, s.Caution = 1, ""
	g.Update(s, u)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	defer close(h.end)
	answers := make(chan *wire.Reservation, 1)
	probe := wire.CapacityProbe{ID: wire.RequestID{Entry: 3, Seq: 1}, Attempt: 1, Upstream: "c1", Budget: clock.Hour, WaitBudget: clock.Hour, Priority: 3}
	g.ClaimSlot(&wire.SlotClaim{Probe: probe}, func(r *wire.Reservation) { answers <- r }, func(*wire.ClaimQueued) {})
	claimSlot(g, 4)
	if got := <-answers; got.Reserved || got.RetryAfter <= 0 {
		t.Errorf("got reserved %v, Retry-After %v; want the claim refused with a Retry-After", got.Reserved, got.RetryAfter)
	}
}
