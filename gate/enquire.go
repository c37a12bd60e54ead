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

// Enquire answers whether a request would be admitted now, and keeps a slot for
// it. A request's body then crosses to another failure domain once, and not to
// each gate that is asked.
func (g *Gate) Enquire(e *wire.Enquiry) *wire.Hold {
	now := g.config.Now()
	key := lease.Key{Entry: e.ID.Entry, Seq: e.ID.Seq, Attempt: e.Attempt}
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &wire.Hold{ID: e.ID, Attempt: e.Attempt, Time: now}
	h.Reason, h.RetryAfter = g.refusal(now, lease.Fresh, &wire.Dispatch{Repeatable: e.Repeatable, Forced: e.Forced})
	if h.Reason == "" {
		g.tickets++
		offer := g.slots.Ask(now, limit.Ask{Ticket: g.tickets, Deadline: now + clock.Second, Until: now, Priority: e.Priority})
		if offer.Answer == limit.Run {
			g.hold(key)
		} else {
			h.Reason, h.RetryAfter = wire.ReasonFull, offer.RetryAfter
		}
	}
	h.Held = h.Reason == ""
	h.Upstream = g.status(now)
	return h
}

// hold keeps a slot that was given until its dispatch comes or the time is over.
// The gate's lock is held.
func (g *Gate) hold(key lease.Key) {
	g.holds[key] = time.AfterFunc(holdFor.Duration(), func() {
		g.mu.Lock()
		if _, ok := g.holds[key]; !ok {
			g.mu.Unlock()
			return
		}
		delete(g.holds, key)
		now := g.config.Now()
		next := g.release(now)
		late := g.late(now)
		g.mu.Unlock()
		answerAll(late)
		if next != nil {
			g.start(next)
		}
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
