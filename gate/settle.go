package gate

import (
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Resolve says what became of a dispatch and voids one that has not begun. It
// returns the reply once more if there is one.
func (g *Gate) Resolve(s *wire.Resolve) (*wire.Resolution, *wire.Reply) {
	now := g.config.Now()
	key := s.ID.Key(s.Attempt)
	if settled, reply, ok := g.resolvePrevious(key, s); ok {
		return settled, reply
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state, reply := g.dedup.Resolve(now, key, s.Incarnation, s.Lease)
	if s.Abandon && state == lease.Begun {
		g.cancelCall(key)
	}
	if state == lease.Done && reply != nil {
		return nil, reply
	}
	return &wire.Resolution{
		ID:      s.ID,
		Attempt: s.Attempt,
		Revoked: state == lease.NotRun,
		Unknown: state == lease.Forgotten || state == lease.Done,
		Time:    now,
	}, nil
}

// Cancel takes in that the caller of a dispatch has left: it doesn't begin any
// more, or is broken off.
func (g *Gate) Cancel(id wire.RequestID, attempt uint8) {
	key := id.Key(attempt)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dedup.Refuse(key)
	g.cancelCall(key)
}

// cancelCall ends the call of a dispatch whose caller has left, if it may run more
// than once: its slot is then free for others. One that may run only once goes
// on, for its caller meant it. The gate's lock is held.
func (g *Gate) cancelCall(key lease.Key) {
	for _, j := range g.jobs {
		if j.key == key && j.cancel != nil {
			j.cancel()
		}
	}
}
