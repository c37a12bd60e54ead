package gate

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
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

// Depart records when the gate's node stops. From now on the gate begins no request that may still run
// then, as far as departure.Stop tells, and refuses those that wait: the node cuts what runs when it stops, and
// the outcome is then unknown.
func (g *Gate) Depart(stop departure.Stop) {
	g.mu.Lock()
	g.stop = stop
	refused := g.refuseWaiters(g.config.Now(), g.cancelOutlasting(), wire.ReasonLeaving)
	g.mu.Unlock()
	callAll(refused)
}

// dispatchRun describes the run of a dispatch that has arrived at a given time. Its entry sends a repeatable
// one elsewhere if the node cuts it.
func dispatchRun(arrived, deadline clock.Millis, d *wire.Dispatch) departure.Run {
	return departure.Run{Arrived: arrived, Deadline: deadline, Typical: typicalLatency(d), HasOtherNodes: d.Repeatable}
}

// probeRun describes the run for which a capacity probe that has arrived at a given time asks.
func probeRun(arrived clock.Millis, probe *wire.CapacityProbe) departure.Run {
	return departure.Run{Arrived: arrived, Deadline: arrived + probe.Budget, HasOtherNodes: probe.Repeatable}
}

func (j *job) departureRun() departure.Run {
	return dispatchRun(j.arrived, j.deadline, j.dispatch)
}

// cancelOutlasting removes the waiting requests that the gate wouldn't admit now from the queue, and
// returns their tickets. It is called with the gate's lock held.
func (g *Gate) cancelOutlasting() []uint64 {
	var tickets []uint64
	for ticket, j := range g.jobs {
		if !g.stop.Admits(j.departureRun()) && g.slots.Cancel(ticket) {
			tickets = append(tickets, ticket)
		}
	}
	for ticket, w := range g.waiters {
		if !g.stop.Admits(probeRun(w.arrivedAt, w.probe)) && g.slots.Cancel(ticket) {
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
