package gate

import (
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/wire"
)

// restart takes in that the upstream is another process under the same name. What was
// of the one before ends with it: the verdict, the slots of its runs, kept connections
// and what is known of service times. Requests that wait go on waiting, and the fence
// stays: what it voided, or saw begin, must not run on the new process either. It
// returns what is to be done without the lock, which is held.
func (g *Gate) restart(now clock.Millis) []func() {
	g.generation++
	g.crash, g.succeeded = crashState{}, nil
	g.detector = newDetector(g.service.Caution, g.config.Seed)
	g.state, g.level = health.InUse, episode.Healthy
	g.config.Backend.ResetConnections()
	g.log.Info("upstream started again")
	runs := 0
	for _, j := range g.jobs {
		if j.running {
			runs++
		}
	}
	return g.startWaiters(now, g.slots.Restart(runs))
}

// startWaiters is what waiters do that have got a slot. The gate's lock is held.
func (g *Gate) startWaiters(now clock.Millis, tickets []uint64) []func() {
	var calls []func()
	for _, ticket := range tickets {
		turn, takesSlot := g.startWaiter(now, ticket)
		if turn != nil {
			calls = append(calls, turn)
		}
		if !takesSlot {
			calls = append(calls, g.releaseSlot(now)...)
		}
	}
	return calls
}

// findGate returns the gate, this one or one before it, that has taken in a dispatch or
// voided it. An upstream that comes back under its name has a gate of its own: asked for
// what the one before has begun, that would call it not run.
func (g *Gate) findGate(key lease.Key) (*Gate, bool) {
	for one := g; one != nil; one = one.previous.Load() {
		one.mu.Lock()
		isKnown := one.dedup.Contains(key)
		one.mu.Unlock()
		if isKnown {
			return one, true
		}
	}
	return nil, false
}

// ForgetPrevious lets go of the gates before this one that ended before an instant, when no
// entry asks for their dispatches any more.
func (g *Gate) ForgetPrevious(ended clock.Millis) {
	for one := g; one != nil; one = one.previous.Load() {
		if before := one.previous.Load(); before != nil && before.endedBefore(ended) {
			one.previous.Store(nil)
		}
	}
}

func (g *Gate) endedBefore(at clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving && g.endedAt < at && len(g.jobs) == 0
}

// resetDelay is how long an answer of a process that is gone may still be on its way
// from the backend server beside this node.
const resetDelay = 100 * time.Millisecond

// ResetConnections drops the connections to a process that is gone. What runs there gets no answer
// any more: until its deadline it would keep its caller waiting.
func (h *HTTP) ResetConnections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.idle {
		h.open--
		_ = c.Close() // nothing is under way on it
	}
	h.idle = nil
	end := time.Now().Add(resetDelay)
	for c := range h.busy {
		c.isObsolete.Store(true)
		_ = c.SetDeadline(end) // one that is closed already needs none
	}
}

// resolvePrevious answers a settlement for a gate before this one.
func (g *Gate) resolvePrevious(key lease.Key, s *wire.Resolve) (*wire.Resolution, *wire.Reply, bool) {
	one, ok := g.previous.Load().findGate(key)
	if !ok {
		return nil, nil, false
	}
	settled, reply := one.Resolve(s)
	return settled, reply, true
}
