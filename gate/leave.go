package gate

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Leave permanently stops the gate from admitting dispatches. Running requests finish;
// waiting ones are refused, since there is still time to send them to other upstreams.
func (g *Gate) Leave() {
	g.mu.Lock()
	wasLeaving := g.isLeaving()
	if !g.leaving {
		g.leaving, g.endedAt = true, g.config.Now()
	}
	refused := g.startLeaving(wasLeaving, "shutdown")
	g.mu.Unlock()
	callAll(refused)
}

// SetListedLeaving sets whether the instance list marks the instance as leaving. If so,
// waiting requests are refused.
func (g *Gate) SetListedLeaving(leaving bool) {
	g.mu.Lock()
	wasLeaving := g.isLeaving()
	g.listedLeaving = leaving
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
