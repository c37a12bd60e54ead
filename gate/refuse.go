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

func admissionOf(e *wire.Enquiry) admission {
	return admission{isRepeatable: e.Repeatable, isRetry: e.Retry, isForced: e.Forced}
}

// refusal says why a request isn't admitted, or nothing.
func (g *Gate) refusal(now clock.Millis, v lease.Verdict, a admission) (wire.Reason, clock.Millis) {
	switch {
	case v == lease.Stale:
		return wire.ReasonStale, 0
	case v == lease.Voided:
		return wire.ReasonVoided, 0
	case g.leaving, g.left() && now-g.leftAt >= g.service.Drain:
		return wire.ReasonLeaving, 0
	case g.crash.isDown:
		return wire.ReasonRefused, returnEvery
	case a.isRetry && !g.grants(now):
		return wire.ReasonBudget, g.quota.RetryAfter(now)
	case a.isForced || g.judge.Admit(now, a.isRepeatable):
		return "", 0
	default:
		g.noteState(now)
		return wire.ReasonAside, max(g.judge.Status(now).Until-now, 0)
	}
}

// grants reports whether the service's retry budget has room for a retry here.
func (g *Gate) grants(now clock.Millis) bool {
	return g.quota.Allows(now, g.judge.Status(now).State == health.Ejected)
}

// refuse answers that a dispatch was not run. It unlocks the gate.
func (g *Gate) refuse(now clock.Millis, key lease.Key, d *wire.Dispatch, answer func(*wire.Reply), reason wire.Reason, after clock.Millis) {
	g.fence.Refuse(key)
	g.countRefusal(reason)
	reply := g.reply(now, d)
	g.mu.Unlock()
	reply.Outcome, reply.Reason, reply.RetryAfter = wire.NotRun, reason, after
	answer(reply)
}

// countRefusal is called with the gate's lock held.
func (g *Gate) countRefusal(reason wire.Reason) {
	if g.config.Refusals != nil {
		g.config.Refusals.Refused(g.service.Name, g.upstream.Name, reason)
	}
}

// expire refuses the waiters whose deadline passed.
func (g *Gate) expire() {
	g.mu.Lock()
	late := g.late(g.config.Now())
	g.mu.Unlock()
	callAll(late)
}

// callAll does what was decided under the gate's lock, and must be done without.
func callAll(calls []func()) {
	for _, call := range calls {
		call()
	}
}

// late takes out the waiters whose deadline passed. The gate's lock is held;
// the answers are given without it.
func (g *Gate) late(now clock.Millis) []func() {
	return g.giveUp(now, g.slots.Expire(now), wire.ReasonLate)
}

// giveUp refuses waiters. The gate's lock is held.
func (g *Gate) giveUp(now clock.Millis, tickets []uint64, reason wire.Reason) []func() {
	var refused []func()
	for _, ticket := range tickets {
		if p, ok := g.places[ticket]; ok {
			p.timer.Stop()
			delete(g.places, ticket)
			h := g.holdOf(now, p, reason)
			refused = append(refused, func() { p.answer(h) })
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
		g.fence.Refuse(j.key)
		g.countRefusal(reason)
		reply := g.reply(now, j.dispatch)
		reply.Outcome, reply.Reason, reply.RetryAfter = wire.NotRun, reason, g.slots.RetryAfter(now)
		refused = append(refused, func() { j.answer(reply) })
	}
	return refused
}
