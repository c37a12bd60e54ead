package gate

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Leave ends new work for good. What has begun is finished; what waits is refused,
// for other upstreams have time for it still.
func (g *Gate) Leave() {
	g.mu.Lock()
	before := g.left()
	if !g.leaving {
		g.leaving, g.endedAt = true, g.config.Now()
	}
	refused := g.noteLeft(before, "shutdown")
	g.mu.Unlock()
	callAll(refused)
}

// Listed takes in whether the instance list says that the instance is leaving.
func (g *Gate) Listed(leaving bool) {
	g.mu.Lock()
	before := g.left()
	g.listed = leaving
	refused := g.noteLeft(before, "instance list")
	g.mu.Unlock()
	callAll(refused)
}

// left reports whether the upstream is leaving. Entries that have heard it send
// no new work; from those that haven't the gate takes it for the table's drain
// time, but none while the node shuts down.
func (g *Gate) left() bool {
	return g.leaving || g.listed || g.upstream.Weight == 0
}

// noteLeft notes that the upstream leaves and refuses what waits for it: sent to it
// later, a request would reach an upstream that is to get no new work. The gate's
// lock is held; the refusals are answered without it.
func (g *Gate) noteLeft(before bool, reason string) []func() {
	if before || !g.left() {
		return nil
	}
	g.leftAt = g.config.Now()
	g.log.WithField("reason", reason).Info("leaving")
	g.note(access.Event{At: g.leftAt, Kind: access.Leaving, Reason: reason})
	return g.giveUp(g.leftAt, g.slots.Flush(), wire.ReasonLeaving)
}
