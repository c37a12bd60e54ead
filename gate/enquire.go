package gate

import (
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/wire"
)

// holdFor is how long a slot is kept for a dispatch that was announced: some ten
// round trips between failure domains (2 ms), and room for a large body.
const holdFor = 40 * clock.Millis(1)

// place is an enquiry that waits for its turn.
type place struct {
	key     lease.Key
	enquiry *wire.Enquiry
	answer  func(*wire.Hold)
	timer   *time.Timer
}

// Enquire keeps a slot for a request that is sent when the answer says so, at once
// or when its turn has come. A request can thus wait at several gates, and its body
// crosses to another failure domain once. The answer function is called once, or
// never for an enquiry that was waived.
func (g *Gate) Enquire(e *wire.Enquiry, answer func(*wire.Hold)) {
	now := g.config.Now()
	p := &place{key: e.ID.Key(e.Attempt), enquiry: e, answer: answer}
	g.mu.Lock()
	g.noteSender(e.ID.Entry, e.Repeatable)
	reason, after := g.refusal(now, lease.Fresh, admissionOf(e))
	if reason == "" {
		var isWaiting bool
		reason, after, isWaiting = g.queue(now, p)
		if isWaiting {
			late := g.late(now) // whose place it may have taken
			g.mu.Unlock()
			callAll(late)
			return
		}
	}
	h := g.holdOf(now, p, reason)
	h.RetryAfter = after
	g.mu.Unlock()
	answer(h)
}

// queue asks the slots for one. It returns the reason of a refusal, and whether the
// enquiry waits. The gate's lock is held.
func (g *Gate) queue(now clock.Millis, p *place) (reason wire.Reason, after clock.Millis, isWaiting bool) {
	g.tickets++
	ask := limit.Request{
		Ticket: g.tickets, Deadline: now + p.enquiry.Budget, Until: now + p.enquiry.Patience, Priority: p.enquiry.Priority,
	}
	switch offer := g.slots.Acquire(now, ask); offer.Result {
	case limit.Run:
		g.hold(p.key)
		return "", 0, false
	case limit.Wait:
		g.places[ask.Ticket] = p
		p.timer = time.AfterFunc((p.enquiry.Patience + 1).Duration(), g.expire)
		return "", 0, true
	case limit.Late:
		return wire.ReasonLate, offer.RetryAfter, false
	default:
		return wire.ReasonFull, offer.RetryAfter, false
	}
}

// holdOf is the answer to an enquiry: a slot, unless there is a reason against it.
// The gate's lock is held.
func (g *Gate) holdOf(now clock.Millis, p *place, reason wire.Reason) *wire.Hold {
	return &wire.Hold{
		ID: p.enquiry.ID, Attempt: p.enquiry.Attempt,
		Held: reason == "", Reason: reason, Time: now, Upstream: g.status(now),
	}
}

// Waive lets go of a slot that was kept or asked for: the request has found one
// elsewhere, or was given up.
func (g *Gate) Waive(w *wire.Waive) {
	key := w.ID.Key(w.Attempt)
	g.mu.Lock()
	for ticket, p := range g.places {
		if p.key == key {
			p.timer.Stop()
			delete(g.places, ticket)
			g.slots.Cancel(ticket)
		}
	}
	var calls []func()
	if g.takeHold(key) {
		calls = g.release(g.config.Now())
	}
	g.mu.Unlock()
	callAll(calls)
}

// hold keeps a slot that was given until its dispatch comes or the time is over.
// The gate's lock is held.
func (g *Gate) hold(key lease.Key) {
	g.holds[key] = time.AfterFunc(holdFor.Duration(), func() {
		g.mu.Lock()
		var calls []func()
		if g.takeHold(key) {
			calls = g.release(g.config.Now())
		}
		g.mu.Unlock()
		callAll(calls)
	})
}

// takeHold reports whether a slot was kept for a dispatch, which has it now. The
// gate's lock is held.
func (g *Gate) takeHold(key lease.Key) bool {
	timer, ok := g.holds[key]
	if ok {
		timer.Stop()
		delete(g.holds, key)
	}
	return ok
}
