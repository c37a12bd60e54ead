package gate

import (
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Settle says what became of a dispatch and voids one that has not begun. It
// returns the reply once more if there is one.
func (g *Gate) Settle(s *wire.Settle) (*wire.Settled, *wire.Reply) {
	now := g.config.Now()
	key := s.ID.Key(s.Attempt)
	if settled, reply, ok := g.settledBefore(key, s); ok {
		return settled, reply
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state, reply := g.fence.Settle(now, key, s.Incarnation, s.Lease)
	if s.Abandon && state == lease.Begun {
		g.breakOff(key)
	}
	if state == lease.Done && reply != nil {
		return nil, reply
	}
	return &wire.Settled{
		ID:        s.ID,
		Attempt:   s.Attempt,
		Voided:    state == lease.NotRun,
		Forgotten: state == lease.Forgotten || state == lease.Done,
		Time:      now,
	}, nil
}

// Abandon takes in that the caller of a dispatch has left: it doesn't begin any
// more, or is broken off.
func (g *Gate) Abandon(id wire.RequestID, attempt uint8) {
	key := id.Key(attempt)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence.Refuse(key)
	g.breakOff(key)
}

// breakOff ends the call of a dispatch whose caller has left, if it may run more
// than once: its slot is then free for others. One that may run only once goes
// on, for its caller meant it. The gate's lock is held.
func (g *Gate) breakOff(key lease.Key) {
	for _, j := range g.jobs {
		if j.key == key && j.abandon != nil {
			j.abandon()
		}
	}
}
