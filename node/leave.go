package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"

	"fuchsiapick.example/fuchsiapick/account"
)

// drainCheck is how often a leaving node looks whether it has finished.
const drainCheck = 20 * time.Millisecond

// Leave begins a graceful shutdown: gates take no new work from now on, and
// Run returns when all requests in flight are finished or the grace is over. A
// second call changes nothing.
func (n *Node) Leave() {
	n.leaveOnce.Do(func() { close(n.leave) })
}

// leaveGates says on every link at once that the upstreams beside this node
// get no new work.
func (n *Node) leaveGates() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	for _, g := range n.allGates() {
		g.Leave()
		n.entry.Heard(g.Status())
	}
	n.links.BeatNow()
}

// drain waits until nothing is in flight. Callers get answers all the while:
// the entry goes on, over other nodes, until the callers' connections are
// closed by the server's shutdown.
func (n *Node) drain(ctx context.Context) {
	n.leaveGates()
	n.log.WithField("grace", n.settings.Grace.String()).Info("leaving")
	deadline := time.NewTimer(n.settings.Grace.Duration())
	defer deadline.Stop()
	quietSince := n.clock.Now()
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			n.log.WithFields(logrus.Fields{"requests": n.Busy()}).Warn("grace is over; requests are cut")
			return
		case <-ticker.C:
		}
		now := n.clock.Now()
		if n.Busy() > 0 {
			quietSince = now
		}
		if now-quietSince > settleDown {
			return
		}
	}
}

// settleDown is how long a leaving node stays after its last request, so that
// peers hear that it is leaving before its links close.
const settleDown = clock.Millis(300)

// Busy counts the requests in flight, as entry and as gate.
func (n *Node) Busy() int {
	busy := n.entry.Busy()
	for _, g := range n.allGates() {
		busy += g.Busy()
	}
	return busy
}

// Ready reports whether the node has a table in force and isn't leaving.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table != nil && !n.leaving
}

// InForce is closed when the first table is in force.
func (n *Node) InForce() <-chan struct{} {
	return n.inForce
}

// Snapshot is what a report reads of this node.
func (n *Node) Snapshot(f account.Filter) account.Snapshot {
	s := n.book.Snapshot(n.clock.Now(), f)
	s.Name, s.Node, s.Domain, s.Table = n.settings.Node, n.address(), n.settings.Domain, n.version()
	for _, u := range n.entry.States() {
		if f.PassesUpstream(u) {
			s.Upstreams = append(s.Upstreams, u)
		}
	}
	return s
}

// States describes all upstreams as this node's entry sees them.
func (n *Node) States() []account.UpstreamState {
	return n.entry.States()
}
