package gate

import (
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/wire"
)

// reservationTTL is how long a slot is kept for a dispatch that was announced: some ten
// round trips between failure domains (2 ms), and room for a large body.
const reservationTTL = 40 * clock.Millis(1)

// waiter is an enquiry that waits for its turn.
type waiter struct {
	key     lease.Key
	probe   *wire.CapacityProbe
	respond func(*wire.Reservation)
	timer   *time.Timer
}

// ProbeCapacity keeps a slot for a request that is sent when the answer says so, at once
// or when its turn has come. A request can thus wait at several gates, and its body
// crosses to another failure domain once. The answer function is called once, or
// never for an enquiry that was waived.
func (g *Gate) ProbeCapacity(e *wire.CapacityProbe, answer func(*wire.Reservation)) {
	now := g.config.Now()
	p := &waiter{key: e.ID.Key(e.Attempt), probe: e, respond: answer}
	g.mu.Lock()
	g.recordSender(e.ID.Entry, e.Repeatable)
	reason, after := g.refusalReason(now, lease.Fresh, admissionOf(e))
	if reason == "" {
		var isWaiting bool
		reason, after, isWaiting = g.requestSlot(now, p)
		if isWaiting {
			late := g.refuseExpired(now) // whose place it may have taken
			g.mu.Unlock()
			callAll(late)
			return
		}
	}
	h := g.newReservation(now, p, reason)
	h.RetryAfter = after
	g.mu.Unlock()
	answer(h)
}

// requestSlot asks the slots for one. It returns the reason of a refusal, and whether the
// enquiry waits. The gate's lock is held.
func (g *Gate) requestSlot(now clock.Millis, p *waiter) (reason wire.Reason, after clock.Millis, isWaiting bool) {
	g.lastTicket++
	ask := limit.Request{
		Ticket: g.lastTicket, Deadline: now + p.probe.Budget, Until: now + p.probe.WaitBudget, Priority: p.probe.Priority,
	}
	switch offer := g.slots.Acquire(now, ask); offer.Result {
	case limit.Run:
		g.reserve(p.key)
		return "", 0, false
	case limit.Wait:
		g.waiters[ask.Ticket] = p
		p.timer = time.AfterFunc((p.probe.WaitBudget + 1).Duration(), g.expireWaiters)
		return "", 0, true
	case limit.Late:
		return wire.ReasonDeadlineTooShort, offer.RetryAfter, false
	default:
		return wire.ReasonFull, offer.RetryAfter, false
	}
}

// newReservation is the answer to an enquiry: a slot, unless there is a reason against it.
// The gate's lock is held.
func (g *Gate) newReservation(now clock.Millis, p *waiter, reason wire.Reason) *wire.Reservation {
	return &wire.Reservation{
		ID: p.probe.ID, Attempt: p.probe.Attempt,
		Reserved: reason == "", Reason: reason, Time: now, Upstream: g.status(now),
	}
}

// ReleaseReservation lets go of a slot that was kept or asked for: the request has found one
// elsewhere, or was given up.
func (g *Gate) ReleaseReservation(w *wire.ReleaseReservation) {
	key := w.ID.Key(w.Attempt)
	g.mu.Lock()
	for ticket, p := range g.waiters {
		if p.key == key {
			p.timer.Stop()
			delete(g.waiters, ticket)
			g.slots.Cancel(ticket)
		}
	}
	var calls []func()
	if g.takeReservation(key) {
		calls = g.releaseSlot(g.config.Now())
	}
	g.mu.Unlock()
	callAll(calls)
}

// reserve keeps a slot that was given until its dispatch comes or the time is over.
// The gate's lock is held.
func (g *Gate) reserve(key lease.Key) {
	g.reservations[key] = time.AfterFunc(reservationTTL.Duration(), func() {
		g.mu.Lock()
		var calls []func()
		if g.takeReservation(key) {
			calls = g.releaseSlot(g.config.Now())
		}
		g.mu.Unlock()
		callAll(calls)
	})
}

// takeReservation reports whether a slot was kept for a dispatch, which has it now. The
// gate's lock is held.
func (g *Gate) takeReservation(key lease.Key) bool {
	timer, ok := g.reservations[key]
	if ok {
		timer.Stop()
		delete(g.reservations, key)
	}
	return ok
}
