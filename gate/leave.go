package gate

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Leave ends new work for good. What has begun is finished; what waits is refused,
// for other upstreams have time for it still.
func (g *Gate) Leave() {
	g.mu.Lock()
	before := g.isLeaving()
	if !g.leaving {
		g.leaving, g.endedAt = true, g.config.Now()
	}
	refused := g.startLeaving(before, "shutdown")
	g.mu.Unlock()
	callAll(refused)
}

// SetListedLeaving takes in whether the instance list says that the instance is leaving.
func (g *Gate) SetListedLeaving(leaving bool) {
	g.mu.Lock()
	before := g.isLeaving()
	g.listedLeaving = leaving
	refused := g.startLeaving(before, "instance list")
	g.mu.Unlock()
	callAll(refused)
}

// isLeaving reports whether the upstream is leaving. Entries that have heard it send
// no new work; from those that haven't the gate takes it for the table's drain
// time, but none while the node shuts down.
func (g *Gate) isLeaving() bool {
	return g.leaving || g.listedLeaving || g.upstream.Weight == 0
}

// startLeaving notes that the upstream leaves and refuses what waits for it: sent to it
// later, a request would reach an upstream that is to get no new work. The gate's
// lock is held; the refusals are answered without it.
func (g *Gate) startLeaving(before bool, reason string) []func() {
	if before || !g.isLeaving() {
		return nil
	}
	g.leavingSince = g.config.Now()
	g.log.WithField("reason", reason).Info("leaving")
	g.recordEvent(access.Event{At: g.leavingSince, Kind: access.Leaving, Reason: reason})
	return g.refuseWaiters(g.leavingSince, g.slots.Flush(), wire.ReasonLeaving)
}
