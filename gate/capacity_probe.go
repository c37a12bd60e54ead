package gate

import (
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// reservationTTL is how long a slot stays reserved for a dispatch: about ten round trips
	// between failure domains (2 ms each).
	reservationTTL = 40 * clock.Millis(1)
	// transferRate, in bytes per millisecond, is the rate at which a body arrives at least: half
	// of a link of 10 Mbit/s. A slot whose reservation ends while the body is on the way is lost
	// for the request, and the transfer is wasted.
	transferRate = 625
)

// reservationTTL returns how long a slot stays reserved for the request. A capacity probe doesn't
// state the size of the body. A slot isn't reserved for longer than the request may take in all.
func (w *waiter) reservationTTL() clock.Millis {
	if w.claim == nil {
		return reservationTTL
	}
	transfer := min(clock.Millis(max(w.claim.Bytes, 0)/transferRate), max(w.probe.Budget, 0))
	return reservationTTL + transfer
}

// waiter is a capacity probe or a claim that waits for a slot.
type waiter struct {
	key    lease.Key
	ticket uint64
	// arrivedAt is when the probe or claim arrived.
	arrivedAt clock.Millis
	probe     *wire.CapacityProbe
	claim     *wire.SlotClaim // nil for a capacity probe
	respond   func(*wire.Reservation)
	// confirm is called when a claim waits; nil for a capacity probe.
	confirm func(*wire.ClaimQueued)
	timer   *time.Timer
}

// ProbeCapacity reserves a slot for a request that the entry sends after the reservation
// arrives, immediately or once a slot is free. A request can thus wait at several gates
// while its body crosses to another failure domain only once. The respond function is
// called once, or never if the reservation is released while the probe waits.
func (g *Gate) ProbeCapacity(probe *wire.CapacityProbe, respond func(*wire.Reservation)) {
	g.admitWaiter(&waiter{key: probe.ID.Key(probe.Attempt), probe: probe, respond: respond})
}

// admitWaiter answers a capacity probe or a claim, or queues it.
func (g *Gate) admitWaiter(w *waiter) {
	now := g.config.Now()
	probe := w.probe
	g.mu.Lock()
	g.recordSender(probe.ID.Entry, probe.Repeatable)
	reason, retryAfter := g.refusalReason(now, lease.Fresh, newAdmission(now, probe))
	if reason == "" {
		var isWaiting bool
		reason, retryAfter, isWaiting = g.requestSlot(now, w)
		if isWaiting {
			expired := g.refuseExpired(now) // the probe may have taken the queue position of an expired waiter
			g.schedulePaced(now)
			confirm := g.confirmation(now, w)
			g.mu.Unlock()
			confirm()
			callAll(expired)
			return
		}
	}
	reservation := g.newReservation(now, w, reason)
	reservation.RetryAfter = retryAfter
	profile := g.retryProfile(now, w.probe)
	g.mu.Unlock()
	if profile != nil && reservation.Reserved {
		g.config.SendProfile(w.probe.ID.Entry, profile)
	}
	w.respond(reservation)
}

// requestSlot acquires a slot or queues the probe. It returns the reason and the retry delay
// of a refusal, and whether the probe waits. It is called with the gate's lock held.
func (g *Gate) requestSlot(now clock.Millis, w *waiter) (reason wire.Reason, retryAfter clock.Millis, isWaiting bool) {
	g.lastTicket++
	request := limit.Request{
		Ticket: g.lastTicket, Deadline: now + w.probe.Budget, Until: now + w.probe.WaitBudget, Priority: w.probe.Priority,
	}
	w.addClaim(now, &request)
	switch decision := w.acquire(now, g.slots, request); decision.Result {
	case limit.Run:
		g.reserve(w)
		return "", 0, false
	case limit.Wait:
		w.ticket, w.arrivedAt = request.Ticket, now
		g.waiters[request.Ticket] = w
		w.timer = g.after(w.probe.WaitBudget+1, g.expireWaiters)
		return "", 0, true
	default:
		return slotRefusal(decision.Result), decision.RetryAfter, false
	}
}

// newReservation returns the response to a capacity probe: a reserved slot, or a refusal if
// reason isn't empty. It is called with the gate's lock held.
func (g *Gate) newReservation(now clock.Millis, w *waiter, reason wire.Reason) *wire.Reservation {
	return &wire.Reservation{
		ID: w.probe.ID, Attempt: w.probe.Attempt,
		Reserved: reason == "", Reason: reason, Time: now, Upstream: g.status(now),
	}
}

// ReleaseReservation releases the reserved slot of a request that found a slot elsewhere or was
// given up, or removes its capacity probe from the queue.
func (g *Gate) ReleaseReservation(r *wire.ReleaseReservation) {
	key := r.ID.Key(r.Attempt)
	g.mu.Lock()
	for ticket, w := range g.waiters {
		if w.key == key {
			w.timer.Stop()
			delete(g.waiters, ticket)
			g.slots.Cancel(ticket)
		}
	}
	var calls []func()
	if g.takeReservation(key) {
		calls = g.returnSlot(g.config.Now())
	}
	g.mu.Unlock()
	callAll(calls)
}

// reserve holds an acquired slot until its dispatch arrives or the reservation's time is over. It
// is called with the gate's lock held.
func (g *Gate) reserve(w *waiter) {
	key := w.key
	g.reservations[key] = g.after(w.reservationTTL(), func() {
		g.mu.Lock()
		var calls []func()
		if g.takeReservation(key) {
			calls = g.returnSlot(g.config.Now())
		}
		g.mu.Unlock()
		callAll(calls)
	})
}

// takeReservation removes a dispatch's reservation and reports whether there was one; the
// caller then owns the slot. It is called with the gate's lock held.
func (g *Gate) takeReservation(key lease.Key) bool {
	timer, ok := g.reservations[key]
	if ok {
		timer.Stop()
		delete(g.reservations, key)
	}
	return ok
}
