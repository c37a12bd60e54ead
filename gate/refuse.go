package gate

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/wire"
)

// admission is what a request is admitted by.
type admission struct {
	isRepeatable, isRetry, isForced bool
}

func admissionOf(e *wire.CapacityProbe) admission {
	return admission{isRepeatable: e.Repeatable, isRetry: e.Retry, isForced: e.Forced}
}

// refusalReason says why a request isn't admitted, or nothing.
func (g *Gate) refusalReason(now clock.Millis, v lease.Verdict, a admission) (wire.Reason, clock.Millis) {
	switch {
	case v == lease.Stale:
		return wire.ReasonStaleLease, 0
	case v == lease.Revoked:
		return wire.ReasonRevoked, 0
	case g.leaving, g.isLeaving() && now-g.leavingSince >= g.service.Drain:
		return wire.ReasonLeaving, 0
	case g.crash.isDown:
		return wire.ReasonConnectionRefused, recoveryInterval
	case a.isRetry && !g.hasRetryBudget(now):
		return wire.ReasonRetryBudget, g.quota.RetryAfter(now)
	case a.isForced || g.detector.Admit(now, a.isRepeatable):
		return "", 0
	default:
		g.recordState(now)
		return wire.ReasonEjected, max(g.detector.Status(now).Until-now, 0)
	}
}

// hasRetryBudget reports whether the service's retry budget has room for a retry here.
func (g *Gate) hasRetryBudget(now clock.Millis) bool {
	return g.quota.Allows(now, g.detector.Status(now).State == health.Ejected)
}

// refuse answers that a dispatch was not run. It unlocks the gate.
func (g *Gate) refuse(now clock.Millis, key lease.Key, d *wire.Dispatch, answer func(*wire.Reply), reason wire.Reason, after clock.Millis) {
	g.dedup.Refuse(key)
	g.countRefusal(reason)
	reply := g.reply(now, d)
	g.mu.Unlock()
	reply.Outcome, reply.Reason, reply.RetryAfter = wire.NotRun, reason, after
	answer(reply)
}

// countRefusal is called with the gate's lock held.
func (g *Gate) countRefusal(reason wire.Reason) {
	if g.config.Refusals != nil {
		g.config.Refusals.RecordRefusal(g.service.Name, g.upstream.Name, reason)
	}
}

// expireWaiters refuses the waiters whose deadline passed.
func (g *Gate) expireWaiters() {
	g.mu.Lock()
	late := g.refuseExpired(g.config.Now())
	g.mu.Unlock()
	callAll(late)
}

// callAll does what was decided under the gate's lock, and must be done without.
func callAll(calls []func()) {
	for _, call := range calls {
		call()
	}
}

// refuseExpired takes out the waiters whose deadline passed. The gate's lock is held;
// the answers are given without it.
func (g *Gate) refuseExpired(now clock.Millis) []func() {
	return g.refuseWaiters(now, g.slots.Expire(now), wire.ReasonDeadlineTooShort)
}

// refuseWaiters refuses waiters. The gate's lock is held.
func (g *Gate) refuseWaiters(now clock.Millis, tickets []uint64, reason wire.Reason) []func() {
	var refused []func()
	for _, ticket := range tickets {
		if p, ok := g.waiters[ticket]; ok {
			p.timer.Stop()
			delete(g.waiters, ticket)
			h := g.newReservation(now, p, reason)
			refused = append(refused, func() { p.respond(h) })
			continue
		}
		j, ok := g.jobs[ticket]
		if !ok {
			continue
		}
		delete(g.jobs, ticket)
		if j.timer != nil {
			j.timer.Stop()
		}
		g.dedup.Refuse(j.key)
		g.countRefusal(reason)
		reply := g.reply(now, j.dispatch)
		reply.Outcome, reply.Reason, reply.RetryAfter = wire.NotRun, reason, g.slots.RetryAfter(now)
		refused = append(refused, func() { j.answer(reply) })
	}
	return refused
}
