package node

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"

	"fuchsiapick.example/fuchsiapick/access"
)

// drainPollInterval is how often a leaving node looks whether it has finished.
const drainPollInterval = 20 * time.Millisecond

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
		n.entry.UpdateUpstream(g.Status())
	}
	n.links.BroadcastHeartbeat()
}

// callerDrainTimeout bounds how long a leaving node still takes callers' requests, its
// linger included, beside half of the grace: what comes later could not be
// finished within it. The instance list lags, and a caller that follows it needs
// some seconds.
const callerDrainTimeout = 5 * clock.Second

// shutdownMargin is taken from the grace for the process's own end: what is left of it
// after the grace is killed, connections that were just answered included.
const shutdownMargin = 300 * clock.Millis(1)

// drain finishes what is in flight. Gates refuse new work at once, and entries
// send it elsewhere. Callers are served, over other nodes, until none has come
// for a while; then their port closes, and what they have begun is finished.
func (n *Node) drain(ctx context.Context) {
	n.entry.Leave()
	left := n.clock.Now()
	n.leaveGates()
	n.log.WithField("grace", n.settings.Grace.String()).Info("leaving")
	ctx, cancel := context.WithTimeout(ctx, (n.settings.Grace - min(n.settings.Grace/10, shutdownMargin)).Duration())
	defer cancel()
	n.linger(ctx)
	callers, stop := context.WithTimeout(ctx, (min(callerDrainTimeout, n.settings.Grace/2) - n.settings.Linger).Duration())
	defer stop()
	_ = n.awaitIdle(callers, n.entry.InFlight) // callers that go on coming don't hold the node
	if err := n.callerServer.ShutdownWithContext(ctx); err != nil {
		n.log.WithError(err).Warn("callers' connections are cut")
	}
	if err := n.awaitPeers(ctx, left); err != nil {
		n.log.Warn("grace is over; a peer has not heard that the node leaves")
	}
	if err := n.awaitIdle(ctx, n.InFlight); err != nil {
		n.log.WithFields(logrus.Fields{"requests": n.InFlight()}).Warn("grace is over; requests are cut")
	}
}

// linger lets callers come until those who watch the node's readiness have sent
// them elsewhere. They would meet a closed port.
func (n *Node) linger(ctx context.Context) {
	if n.settings.Linger <= 0 {
		return
	}
	timer := time.NewTimer(n.settings.Linger.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// awaitPeers waits until all peers with a link have heard that this node leaves.
// A request that an entry sent before, over a link that is slow at that moment,
// would else meet a closed one, and its caller hear that its outcome is unknown.
func (n *Node) awaitPeers(ctx context.Context, left clock.Millis) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !n.links.HeartbeatEchoed(left) {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// awaitIdle waits until nothing has been in flight for settleDown.
func (n *Node) awaitIdle(ctx context.Context, busy func() int) error {
	since := n.clock.Now()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		now := n.clock.Now()
		if busy() > 0 {
			since = now
		}
		if now-since > idleWindow {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
		}
	}
}

// idleWindow is how long nothing must be in flight: peers hear within it that
// the node leaves, before its links close.
const idleWindow = clock.Millis(300)

// InFlight counts the requests in flight, as entry and as gate.
func (n *Node) InFlight() int {
	busy := n.entry.InFlight()
	for _, g := range n.allGates() {
		busy += g.Pending()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.retired {
		busy += r.gate.Pending()
	}
	return busy
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
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
func (n *Node) Snapshot(f access.Filter) access.Snapshot {
	s := n.book.Snapshot(n.clock.Now(), f)
	s.Name, s.Node, s.Domain, s.Table = n.settings.Node, n.address(), n.settings.Domain, n.version()
	for _, u := range n.entry.States() {
		if f.MatchesUpstream(u) {
			s.Upstreams = append(s.Upstreams, u)
		}
	}
	return s
}

// States describes all upstreams as this node's entry sees them.
func (n *Node) States() []access.UpstreamState {
	return n.entry.States()
}
