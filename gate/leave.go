package gate

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Leave permanently stops the gate from admitting dispatches. Running requests finish;
// waiting ones are refused, since there is still time to send them to other upstreams. Requests
// also wait at a gate that was leaving before and admitted them within its drain time.
func (g *Gate) Leave() {
	g.mu.Lock()
	wasLeaving := g.isLeaving()
	if !g.leaving {
		g.leaving, g.endedAt = true, g.config.Now()
	}
	refused := g.startLeaving(wasLeaving, "shutdown")
	refused = append(refused, g.refuseWaiters(g.config.Now(), g.slots.Flush(), wire.ReasonLeaving)...)
	g.mu.Unlock()
	callAll(refused)
}

// StopAt records when the gate's node stops. From now on the gate begins no request that may run
// only once and may outlast the node, and refuses those that wait: the node cuts what runs when it
// stops, and the outcome is then unknown.
func (g *Gate) StopAt(at clock.Millis) {
	g.mu.Lock()
	g.stopsAt = at
	refused := g.refuseWaiters(g.config.Now(), g.cancelOutlasting(), wire.ReasonLeaving)
	g.mu.Unlock()
	callAll(refused)
}

// mayOutlastNode reports whether a request that must not be repeated may still run when the node
// stops. It is called with the gate's lock held.
func (g *Gate) mayOutlastNode(isRepeatable bool, deadline clock.Millis) bool {
	return !isRepeatable && g.stopsAt > 0 && deadline > g.stopsAt
}

// outlastShare is the share of a route's runs that may take longer than expected of one that a gate still
// begins before its node stops.
const outlastShare = 0.01

// isTooLate reports whether a run that begins now may still be at work when the node stops, if the latency of
// its route is known. An entry of the same node has shortened the deadline to that time. It is called with the
// gate's lock held.
func (g *Gate) isTooLate(now clock.Millis, j *job) bool {
	typical := typicalLatency(j.dispatch)
	return g.stopsAt > 0 && typical.IsKnown() && now+typical.UpperQuantile(outlastShare) > g.stopsAt
}

// cancelOutlasting removes the waiting requests that may outlast the node from the queue, and
// returns their tickets. It is called with the gate's lock held.
func (g *Gate) cancelOutlasting() []uint64 {
	var tickets []uint64
	for ticket, j := range g.jobs {
		if g.mayOutlastNode(j.dispatch.Repeatable, j.deadline) && g.slots.Cancel(ticket) {
			tickets = append(tickets, ticket)
		}
	}
	for ticket, w := range g.waiters {
		if g.mayOutlastNode(w.probe.Repeatable, w.arrivedAt+w.probe.Budget) && g.slots.Cancel(ticket) {
			tickets = append(tickets, ticket)
		}
	}
	return tickets
}

// SetListedLeaving sets whether the instance list marks the instance as leaving. If so,
// waiting requests are refused.
func (g *Gate) SetListedLeaving(leaving bool) {
	g.mu.Lock()
	wasLeaving := g.isLeaving()
	g.listedLeaving = leaving
	if wasLeaving && !g.isLeaving() {
		g.notifyChange()
	}
	refused := g.startLeaving(wasLeaving, "instance list")
	g.mu.Unlock()
	callAll(refused)
}

// isLeaving reports whether the upstream is leaving. Entries that know it send no new
// requests. From other entries the gate admits requests for the table's drain time, but
// none after Leave. It is called with the gate's lock held.
func (g *Gate) isLeaving() bool {
	return g.leaving || g.listedLeaving || g.announced.IsLeaving || g.upstream.Weight == 0
}

// startLeaving records that the upstream leaves, unless it was leaving already, and refuses
// the waiters, since a leaving upstream must not begin them. It is called with the gate's
// lock held and returns the calls that send the refusals after the lock is released.
func (g *Gate) startLeaving(wasLeaving bool, reason string) []func() {
	if wasLeaving || !g.isLeaving() {
		return nil
	}
	g.leavingSince = g.config.Now()
	g.log.WithField("reason", reason).Info("leaving")
	g.recordEvent(access.Event{At: g.leavingSince, Kind: access.Leaving, Reason: reason})
	return g.refuseWaiters(g.leavingSince, g.slots.Flush(), wire.ReasonLeaving)
}
