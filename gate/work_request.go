package gate

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// workRequestInterval is the time between two work requests while the upstream needs
	// requests: the entry that got the first one may have no request for a while.
	workRequestInterval = 100 * clock.Millis(1)
	// workRequestTTL is how long a work request is valid: long enough for an entry that has
	// a request every other second.
	workRequestTTL = clock.Second
	// maxSenders is the number of entries that are retained: enough to reach one that has
	// a request soon, even if some of them have disconnected since.
	maxSenders = 32
	// minWorkTargets is the minimum length of the rotation of work requests: a gate with
	// fewer known senders sends the remaining ones to any entry. Otherwise an upstream far
	// from all callers, which no entry chooses by itself, would ask only the one entry that
	// followed a work request, and that entry may have no other request for seconds.
	minWorkTargets = 8
)

// idleDetector is a detector that reports when the upstream has been idle for so long that it
// needs a request as new evidence.
type idleDetector interface {
	NeedsRequest(now clock.Millis) bool
}

// recordSender retains an entry that sends a repeatable request. It is called with the
// gate's lock held.
func (g *Gate) recordSender(entry uint64, isRepeatable bool) {
	if !isRepeatable || slices.Contains(g.senders, entry) {
		return
	}
	if len(g.senders) >= maxSenders {
		g.senders = slices.Delete(g.senders, 0, 1)
	}
	g.senders = append(g.senders, entry)
}

// requestWork asks the next entry for a request if the upstream needs one, and schedules
// itself again until the gate leaves permanently.
func (g *Gate) requestWork() {
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return
	}
	needsRequest := false
	now := g.config.Now()
	if detector, ok := g.detector.(idleDetector); ok && !g.isLeaving() && !g.slots.Load(now).IsPaced {
		needsRequest = detector.NeedsRequest(now)
	}
	entry := uint64(0)
	if needsRequest {
		entry = g.nextWorkTarget()
	}
	name := g.upstream.Name
	g.mu.Unlock()
	if needsRequest && !g.config.RequestWork(entry, &wire.WorkRequest{Upstream: name, TTL: workRequestTTL}) {
		g.forgetSender(entry)
	}
	g.after(workRequestInterval, g.requestWork)
}

// nextWorkTarget returns the next entry of the rotation, 0 for any entry. It is called with
// the gate's lock held.
func (g *Gate) nextWorkTarget() uint64 {
	g.workRequests++
	if i := g.workRequests % max(len(g.senders), minWorkTargets); i < len(g.senders) {
		return g.senders[i]
	}
	return 0
}

// forgetSender removes an entry that can't be reached any more.
func (g *Gate) forgetSender(entry uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.senders = slices.DeleteFunc(g.senders, func(known uint64) bool { return known == entry })
}
