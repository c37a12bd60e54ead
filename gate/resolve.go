package gate

import (
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Resolve returns the reply of a finished dispatch if it is retained, else a resolution with
// the state of the dispatch. A dispatch that has not begun is revoked; with r.Abandon, the call
// of a repeatable one that runs is cancelled.
func (g *Gate) Resolve(r *wire.Resolve) (*wire.Resolution, *wire.Reply) {
	now := g.config.Now()
	key := r.ID.Key(r.Attempt)
	if resolution, reply, ok := g.resolvePrevious(key, r); ok {
		return resolution, reply
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state, reply := g.dedup.Resolve(now, key, r.Incarnation, r.Lease)
	if r.Abandon && state == lease.Begun {
		g.cancelCall(key)
	}
	if state == lease.Done && reply != nil {
		return nil, reply
	}
	return &wire.Resolution{
		ID:      r.ID,
		Attempt: r.Attempt,
		Revoked: state == lease.NotRun,
		Unknown: state == lease.Forgotten || state == lease.Done,
		Time:    now,
	}, nil
}

// Cancel ends a dispatch whose outcome nobody waits for: a dispatch that has not begun is
// refused, and a repeatable one that runs is cancelled.
func (g *Gate) Cancel(id wire.RequestID, attempt uint8) {
	key := id.Key(attempt)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dedup.Refuse(key)
	g.cancelCall(key)
}

// cancelCall cancels the call of a dispatch whose outcome nobody waits for, if the request is
// repeatable, to free its slot. Any other request continues, because the caller wanted its
// effect. It is called with the gate's lock held.
func (g *Gate) cancelCall(key lease.Key) {
	for _, j := range g.jobs {
		if j.key == key && j.cancel != nil {
			j.cancel()
		}
	}
}
