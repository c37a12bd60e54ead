package gate

import (
	"fuchsiapick.example/fuchsiapick/account"
)

// Leave ends new work for good. What was admitted is finished.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.left()
	g.leaving = true
	g.noteLeft(before, "shutdown")
}

// Listed takes in whether the instance list says that the instance is leaving.
func (g *Gate) Listed(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.left()
	g.listed = leaving
	g.noteLeft(before, "instance list")
}

// left reports whether the upstream is leaving. Entries that have heard it send
// no new work; from those that haven't the gate takes it for the table's drain
// time, but none while the node shuts down.
func (g *Gate) left() bool {
	return g.leaving || g.listed || g.upstream.Weight == 0
}

func (g *Gate) noteLeft(before bool, reason string) {
	if !before && g.left() {
		g.leftAt = g.config.Now()
		g.log.WithField("reason", reason).Info("leaving")
		g.note(account.Event{At: g.leftAt, Kind: account.Leaving, Reason: reason})
	}
}
