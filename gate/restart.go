package gate

import (
	"slices"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/speed"
	"fuchsiapick.example/fuchsiapick/wire"
)

// restart resets the state of the previous process after the upstream was restarted under
// the same name: the verdict, the slots of its runs, open connections and service times.
// Waiting requests stay queued. The deduplicator is kept, because a dispatch that was revoked
// or begun must not run on the new process either. It is called with the gate's lock held and
// returns the calls to make after the lock is released.
//
// If the previous process was seen to be gone a short time ago, what began after that belongs to the
// next one, which the table names only now.
func (g *Gate) restart(now clock.Millis) []func() {
	since := now + 1
	if g.wasGone && now-g.goneAt <= registrationDelay {
		since = g.goneAt
	}
	ended := g.beginGeneration(since)
	g.crash, g.succeeded, g.profile.learner = crashState{}, nil, speed.Learner{}
	g.detector = newDetector(g.service.Caution, g.config.Seed)
	g.state, g.level = health.InUse, episode.Healthy
	g.shed = retry.NewShedMeter()
	g.config.Backend.ResetConnections(time.Now().Add((since - now).Duration()))
	g.log.Info("upstream restarted; its verdict and connections are reset")
	calls := g.startWaiters(now, g.slots.Restart(ended))
	return append(calls, g.forgetAnnouncement(now)...)
}

// registrationDelay is how long after a process has ended the table may name the next one. A
// process that was seen to be gone earlier isn't the one that the table has replaced.
const registrationDelay = 20 * clock.Second

// beginGeneration assigns the runs that began since the given time to a new generation, and returns
// the number of the other runs of the last one. It is called with the gate's lock held.
func (g *Gate) beginGeneration(since clock.Millis) (ended int) {
	g.generation++
	for _, j := range g.jobs {
		switch {
		case !j.running || j.generation != g.generation-1:
		case j.began < since:
			ended++
		default:
			j.generation, j.run = g.generation, nil // the next detector doesn't know the run
		}
	}
	g.wasGone = false
	return ended
}

// startWaiters gives slots to the waiters with the given tickets. It is called with the gate's
// lock held and returns the calls to make after the lock is released.
func (g *Gate) startWaiters(now clock.Millis, tickets []uint64) []func() {
	var calls []func()
	for _, ticket := range tickets {
		call, takesSlot := g.startWaiter(now, ticket)
		if call != nil {
			calls = append(calls, call)
		}
		if !takesSlot {
			calls = append(calls, g.returnSlot(now)...)
		}
	}
	g.schedulePaced(now)
	return calls
}

// findGate returns the gate, this one or a previous one, that has accepted or revoked a
// dispatch. An upstream that returns under its name has a new gate, which would report a
// dispatch that the previous gate has begun as not run.
func (g *Gate) findGate(key lease.Key) (*Gate, bool) {
	for candidate := g; candidate != nil; candidate = candidate.previous.Load() {
		candidate.mu.Lock()
		isKnown := candidate.dedup.Contains(key)
		candidate.mu.Unlock()
		if isKnown {
			return candidate, true
		}
	}
	return nil, false
}

// ForgetPrevious closes and drops the previous gates that left before the given time and have no
// dispatch that an entry may still resolve.
func (g *Gate) ForgetPrevious(before clock.Millis) {
	for current := g; ; {
		previous := current.previous.Load()
		switch {
		case previous == nil:
			return
		case previous.endedBefore(before):
			previous.Close()
			current.previous.Store(previous.previous.Load())
		default:
			current = previous
		}
	}
}

// IsForgettable reports whether ForgetPrevious would drop the gate and all its previous gates.
func (g *Gate) IsForgettable(before clock.Millis) bool {
	for current := g; current != nil; current = current.previous.Load() {
		if !current.endedBefore(before) {
			return false
		}
	}
	return true
}

// endedBefore reports whether the gate left before the given time and holds no record of a
// dispatch: without the record of one that ran, the next gate would resolve it as not run.
func (g *Gate) endedBefore(instant clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving && g.endedAt < instant && len(g.jobs) == 0 && g.dedup.IsEmpty(g.config.Now())
}

// resetDelay is how long a response of a process that is gone may still be in transit from
// the backend server beside this node.
const resetDelay = 100 * time.Millisecond

// ResetConnections closes the idle connections to a process that is gone, those opened before the
// given time, and lets calls in flight on such connections fail after resetDelay: they would get no
// response and keep their callers waiting until the deadline.
func (h *HTTP) ResetConnections(openedBefore time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = slices.DeleteFunc(h.idle, func(c *backendConn) bool {
		if !c.openedAt.Before(openedBefore) {
			return false
		}
		h.open--
		_ = c.Close() // an idle connection has no request in flight
		return true
	})
	h.idleTimes = idleTimes{}
	deadline := time.Now().Add(resetDelay)
	for c := range h.busy {
		if c.openedAt.Before(openedBefore) {
			c.isObsolete.Store(true)
			_ = c.SetDeadline(deadline) // a closed connection needs no deadline
		}
	}
}

// resolvePrevious resolves a dispatch at the previous gate that knows it, or returns false if
// none does.
func (g *Gate) resolvePrevious(key lease.Key, r *wire.Resolve) (*wire.Resolution, *wire.Reply, bool) {
	previous, ok := g.previous.Load().findGate(key)
	if !ok {
		return nil, nil, false
	}
	resolution, reply := previous.Resolve(r)
	return resolution, reply, true
}
