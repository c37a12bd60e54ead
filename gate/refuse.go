package gate

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

// RefusalRecorder counts dispatches that a gate refused to run, and waiters that it displaced.
type RefusalRecorder interface {
	RecordRefusal(service, upstream string, reason wire.Reason)
	RecordDisplacement(service string)
}

// RetryRecorder counts the rulings of the retry budget.
type RetryRecorder interface {
	RecordRetry(service string, ruling retry.Ruling)
}

// admission holds the properties of a request that decide whether it is admitted.
type admission struct {
	isRepeatable, isRetry, isForced bool
	priority                        int
	run                             departure.Run
}

func newAdmission(now clock.Millis, probe *wire.CapacityProbe) admission {
	return admission{isRepeatable: probe.Repeatable, isRetry: probe.Retry, isForced: probe.Forced, priority: probe.Priority, run: probeRun(now, probe)}
}

func dispatchAdmission(now clock.Millis, d *wire.Dispatch) admission {
	return admission{isRepeatable: d.Repeatable, isRetry: d.Retry, isForced: d.Forced, priority: d.Priority, run: dispatchRun(now, dispatchDeadline(now, d), d)}
}

// dispatchDeadline returns when the run of a dispatch that arrives now ends at the latest.
func dispatchDeadline(now clock.Millis, d *wire.Dispatch) clock.Millis {
	return min(now+d.Budget, d.Lease)
}

// refusalReason returns why a request isn't admitted and the retry delay, or an empty reason
// if the request is admitted. It is called with the gate's lock held.
func (g *Gate) refusalReason(now clock.Millis, v lease.Verdict, a admission) (wire.Reason, clock.Millis) {
	switch {
	case v == lease.Stale:
		return wire.ReasonStaleLease, 0
	case v == lease.Revoked:
		return wire.ReasonRevoked, 0
	case g.leaving, g.isLeaving() && now-g.leavingSince >= g.service.Drain, !g.stop.Admits(a.run):
		return wire.ReasonLeaving, 0
	case g.crash.isDown:
		return wire.ReasonConnectionRefused, recoveryInterval
	case a.isRetry && !g.hasRetryBudget(now, a):
		return wire.ReasonRetryBudget, g.quota.RetryAfter(now)
	case a.isForced || g.detector.Admit(now, a.isRepeatable):
		return "", 0
	default:
		g.recordState(now)
		return wire.ReasonEjected, max(g.detector.Status(now).Until-now, 0)
	}
}

// hasRetryBudget reports whether this upstream's part of the service's retry budget admits
// a retry, and counts it if not. It is called with the gate's lock held.
func (g *Gate) hasRetryBudget(now clock.Millis, a admission) bool {
	ruling := g.quota.Rule(now, retry.Claim{
		LikelyFails: g.detector.Status(now).State == health.Ejected, Priority: a.priority, Repeatable: a.isRepeatable,
	})
	if ruling != retry.Granted {
		g.recordRetry(ruling)
	}
	return ruling == retry.Granted
}

// recordRetry is called with the gate's lock held. Gates of a service without a window grant
// every retry; the entries bound them, and count them.
func (g *Gate) recordRetry(ruling retry.Ruling) {
	if g.config.Retries != nil && g.service.RetryWindow > 0 {
		g.config.Retries.RecordRetry(g.service.Name, ruling)
	}
}

// refuse replies that a dispatch was not run. It is called with the gate's lock held and
// unlocks the gate.
func (g *Gate) refuse(now clock.Millis, key lease.Key, d *wire.Dispatch, respond func(*wire.Reply), reason wire.Reason, retryAfter clock.Millis) {
	g.dedup.Refuse(key)
	g.countRefusal(reason)
	reply := g.reply(now, d)
	g.mu.Unlock()
	reply.Outcome, reply.Reason, reply.RetryAfter = wire.NotRun, reason, retryAfter
	respond(reply)
}

// countRefusal is called with the gate's lock held.
func (g *Gate) countRefusal(reason wire.Reason) {
	if g.config.Refusals != nil {
		g.config.Refusals.RecordRefusal(g.service.Name, g.upstream.Name, reason)
	}
}

// expireWaiters refuses the waiters that may wait no longer.
func (g *Gate) expireWaiters() {
	g.mu.Lock()
	refused := g.refuseExpired(g.config.Now())
	g.mu.Unlock()
	callAll(refused)
}

// callAll makes the calls that were collected under the gate's lock and must run without it. A call
// that panics withholds no slot from the others.
func callAll(calls []func()) {
	if len(calls) == 0 {
		return
	}
	defer callAll(calls[1:])
	calls[0]()
}

// refuseExpired removes the waiters that may wait no longer. It is called with the gate's
// lock held and returns the calls that send the refusals after the lock is released.
func (g *Gate) refuseExpired(now clock.Millis) []func() {
	return g.refuseWaiters(now, g.slots.Expire(now), wire.ReasonDeadlineTooShort)
}

// refuseWaiters removes the waiters with the given tickets. It is called with the gate's lock
// held and returns the calls that send the refusals after the lock is released.
func (g *Gate) refuseWaiters(now clock.Millis, tickets []uint64, reason wire.Reason) []func() {
	var refused []func()
	for _, ticket := range tickets {
		reason, retryAfter := g.waiterRefusal(ticket, reason)
		if w, ok := g.waiters[ticket]; ok {
			w.timer.Stop()
			delete(g.waiters, ticket)
			reservation := g.newReservation(now, w, reason)
			if retryAfter == 0 && w.claim != nil {
				retryAfter = g.slots.NextRetryAfter(now)
			}
			reservation.RetryAfter = retryAfter
			refused = append(refused, func() { w.respond(reservation) })
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
		if retryAfter == 0 {
			retryAfter = g.slots.RetryAfter(now)
		}
		reply.Outcome, reply.Reason, reply.RetryAfter = wire.NotRun, reason, retryAfter
		refused = append(refused, j.respondUnlessCut(reply))
	}
	return refused
}
