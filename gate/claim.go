package gate

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// ClaimSlot is ProbeCapacity for a request that waits at its entry for a slot of the whole
// service. The confirm function is called if the claim waits, possibly after respond. The
// claim leaves the queue when ReleaseReservation withdraws it, when DropClaims is called for
// its entry, or when its wait budget has passed.
func (g *Gate) ClaimSlot(c *wire.SlotClaim, respond func(*wire.Reservation), confirm func(*wire.ClaimQueued)) {
	g.admitWaiter(&waiter{key: c.Probe.ID.Key(c.Probe.Attempt), probe: &c.Probe, claim: c, respond: respond, confirm: confirm})
}

// addClaim adds to a request for a slot what a claim states.
func (w *waiter) addClaim(now clock.Millis, request *limit.Request) {
	if w.claim == nil {
		return
	}
	request.Account, request.Weight = w.claim.Account, w.claim.Weight
	if request.Weight <= 0 {
		request.Weight = table.DefaultAccountWeight
	}
	// A request that can't meet its target any more has a StartBy in the past. It must not be
	// 0, which stands for a request without a target.
	request.StartBy = max(now+w.claim.StartBy, 1)
}

// acquire asks for a slot.
func (w *waiter) acquire(now clock.Millis, slots *limit.Slots, request limit.Request) limit.Decision {
	if w.claim != nil {
		return slots.AcquireClaim(now, request)
	}
	return slots.Acquire(now, request)
}

// confirmation returns the call that confirms a claim that waits. It is called with the gate's
// lock held; the call is made after the lock is released.
func (g *Gate) confirmation(now clock.Millis, w *waiter) func() {
	if w.confirm == nil {
		return func() {}
	}
	m := &wire.ClaimQueued{
		ID: w.probe.ID, Attempt: w.probe.Attempt, Upstream: w.probe.Upstream, Wait: g.slots.WaitEstimate(now, w.ticket),
	}
	return func() { w.confirm(m) }
}

// DropClaims removes the claims that an entry made until the given time and that wait, since
// the entry is gone. Its reservations end after reservationTTL.
func (g *Gate) DropClaims(entry uint64, until clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for ticket, w := range g.waiters {
		if w.claim != nil && w.probe.ID.Entry == entry && w.arrivedAt <= until {
			w.timer.Stop()
			delete(g.waiters, ticket)
			g.slots.Cancel(ticket)
		}
	}
}
