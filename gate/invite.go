package gate

import (
	"slices"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// workRequestInterval is the span between two invitations while the upstream wants a
	// request: an entry has its next one some time later, or none.
	workRequestInterval = 100 * clock.Millis(1)
	// workRequestTTL is how long an invitation stands: long enough for an entry with a
	// request every other second.
	workRequestTTL = clock.Second
	// maxSenders is how many entries are remembered: with some that have left
	// since, enough to reach one that has a request soon.
	maxSenders = 32
	// minWorkTargets is how many entries are invited in turn at least: a gate that knows
	// fewer that have sent it requests asks any others beside these. An upstream far
	// from all callers is chosen by nobody, and the one entry that followed an
	// invitation may have no next request for seconds.
	minWorkTargets = 8
)

// idleDetector is a judge that wants a request where an upstream has got none for long.
type idleDetector interface {
	NeedsRequest(now clock.Millis) bool
}

// recordSender remembers an entry that sends what may be repeated. The gate's lock
// is held.
func (g *Gate) recordSender(entry uint64, isRepeatable bool) {
	if !isRepeatable || slices.Contains(g.senders, entry) {
		return
	}
	if len(g.senders) >= maxSenders {
		g.senders = slices.Delete(g.senders, 0, 1)
	}
	g.senders = append(g.senders, entry)
}

// requestWork asks one entry after the other for a request while the upstream wants
// one, until the gate leaves.
func (g *Gate) requestWork() {
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return
	}
	wants := false
	if judge, ok := g.detector.(idleDetector); ok && !g.isLeaving() {
		wants = judge.NeedsRequest(g.config.Now())
	}
	entry := uint64(0)
	if wants {
		entry = g.nextWorkTarget()
	}
	name := g.upstream.Name
	g.mu.Unlock()
	if wants && !g.config.RequestWork(entry, &wire.WorkRequest{Upstream: name, TTL: workRequestTTL}) {
		g.forgetSender(entry)
	}
	time.AfterFunc(workRequestInterval.Duration(), g.requestWork)
}

// nextWorkTarget is the entry whose turn it is, 0 for any one. The gate's lock is held.
func (g *Gate) nextWorkTarget() uint64 {
	g.workRequests++
	if turn := g.workRequests % max(len(g.senders), minWorkTargets); turn < len(g.senders) {
		return g.senders[turn]
	}
	return 0
}

// forgetSender drops an entry that has no link any more.
func (g *Gate) forgetSender(entry uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.senders = slices.DeleteFunc(g.senders, func(known uint64) bool { return known == entry })
}
