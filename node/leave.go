package node

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
)

// drainPollInterval is how often a leaving node checks whether it has finished.
const drainPollInterval = 20 * time.Millisecond

// Leave begins a graceful shutdown: gates accept no new requests, and Run returns when all
// requests in flight are finished or the grace period is over. Further calls have no effect.
func (n *Node) Leave() {
	n.leaveOnce.Do(func() { close(n.leave) })
}

// leaveGates stops the gates from accepting new requests and announces that immediately, with
// a heartbeat on every link.
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

// drain finishes the requests in flight, by the plan of departure. Once gates refuse new requests, entries
// send these to other nodes. Callers are served by upstreams of other nodes until no request
// has come for idleWindow, or the plan says so; then the caller port closes, and the
// requests that were accepted are finished, and peers close their links once they have all replies.
// Requests that outlast the grace period are cut; drain returns their number.
func (n *Node) drain(ctx context.Context) (cut int) {
	plan := departure.NewPlan(n.clock.Now(), n.departureConfig())
	n.entry.Leave()
	n.log.WithField("grace", n.settings.Grace.String()).Info("leaving")
	n.depart(plan)
	ctx, cancel := context.WithTimeout(ctx, (plan.Stops - n.clock.Now()).Duration())
	defer cancel()
	n.pauseUntil(ctx, plan.GatesClose)
	left := n.clock.Now()
	n.leaveGates()
	n.pauseUntil(ctx, plan.CallersLinger)
	callersCtx, stop := context.WithTimeout(ctx, (plan.CallersClose - n.clock.Now()).Duration())
	defer stop()
	_ = n.awaitIdle(callersCtx, n.entry.InFlight) // callers that keep sending requests must not delay the shutdown
	n.log.WithField("requests", n.InFlight()).Debug("closing the callers' port")
	if err := n.callerServer.ShutdownWithContext(ctx); err != nil {
		n.log.WithError(err).Warn("callers' connections are cut")
	}
	if err := n.awaitPeers(ctx, left); err != nil {
		n.log.Warn("grace is over; a peer has not confirmed that the node is leaving")
	}
	n.log.WithField("requests", n.InFlight()).Debug("peers know that the node is leaving; finishing the requests in flight")
	if err := n.awaitIdle(ctx, n.InFlight); err != nil {
		return n.cut(ctx)
	}
	n.links.Drain()
	if err := awaitCondition(ctx, n.links.Drained); err != nil {
		n.log.WithField("links", n.links.OpenLinks()).Warn("grace is over; a peer has not closed its link")
		return n.InFlight()
	}
	n.log.Debug("peers have closed their links")
	return n.InFlight()
}

// cutReplyShare divides the margin for the exit: for this fraction of it a node waits for its links to carry
// the replies to what it cuts.
const cutReplyShare = 3

// depart tells the gates and the entry when the node stops.
func (n *Node) depart(plan departure.Plan) {
	stop := plan.Gates()
	n.mu.Lock()
	n.gatesStop = stop
	n.mu.Unlock()
	for _, g := range n.newestGates() {
		g.Depart(stop)
	}
	n.entry.Depart(plan.Entry())
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
}

// cut ends the requests that outlast the grace period, or all after a second signal. It answers the
// callers, tells the entries of runs, and returns the number of requests.
func (n *Node) cut(ctx context.Context) int {
	requests, callers, runs := n.InFlight(), n.entry.InFlight(), 0
	n.entry.Stop()
	for _, g := range n.newestGates() {
		runs += g.Cut()
	}
	log := n.log.WithFields(logrus.Fields{"requests": requests, "callers": callers, "runs": runs})
	if requests > 0 {
		log.Warn("grace is over; requests are cut")
	} else {
		log.Info("grace is over; nothing is cut")
	}
	n.links.Drain()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (departure.ExitMargin(n.settings.Grace) / cutReplyShare).Duration())
	defer cancel()
	if err := awaitCondition(ctx, func() bool { return n.entry.InFlight() == 0 && n.links.Drained() }); err != nil {
		n.log.WithField("links", n.links.OpenLinks()).Debug("a peer has not closed its link")
	}
	return requests
}

// pauseUntil returns at the given time or when the context ends. Callers' requests are served
// meanwhile: load balancers that watch the node's readiness need the time to send callers to other
// nodes, and without it callers would find a closed port.
func (n *Node) pauseUntil(ctx context.Context, at clock.Millis) {
	span := at - n.clock.Now()
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// awaitPeers waits until all peers with a link have confirmed a heartbeat sent since the given
// time. What they sent before has then arrived here. Otherwise a request that is still on its way
// would outlast the requests in flight, which are awaited next.
func (n *Node) awaitPeers(ctx context.Context, since clock.Millis) error {
	return awaitCondition(ctx, func() bool { return n.links.HeartbeatEchoed(since) })
}

// awaitCondition waits until a condition holds. It returns the context's error if that ends first.
func awaitCondition(ctx context.Context, holds func() bool) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// awaitIdle waits until inFlight has returned 0 for idleWindow. It returns the context's
// error if that ends first.
func (n *Node) awaitIdle(ctx context.Context, inFlight func() int) error {
	idleSince := n.clock.Now()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		now := n.clock.Now()
		if inFlight() > 0 {
			idleSince = now
		}
		if now-idleSince > idleWindow {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
		}
	}
}

// idleWindow is how long no request must have been in flight before the node counts as idle.
// In this time peers learn that the node is leaving, before its links close.
const idleWindow = clock.Millis(300)

// InFlight returns how many requests are in flight, in the entry and in all gates.
func (n *Node) InFlight() int {
	count := n.entry.InFlight()
	for _, g := range n.newestGates() {
		count += g.Pending()
	}
	return count
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// Ready reports whether the node has a table in force, has its ports open and serves them, and isn't
// leaving.
func (n *Node) Ready() bool {
	if !n.serving.isComplete() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table != nil && !n.stopping && n.listeners != nil && n.listeners.AreOpen()
}

func (n *Node) departureConfig() departure.Config {
	c := departure.Config{Grace: n.settings.Grace, Linger: n.linger()}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table != nil {
		c.ShortestTimeout = n.table.ShortestTimeout()
	}
	return c
}

// linger returns how long callers are served after a shutdown has begun. A node that isn't ready, as it has
// no table or waits for a port, leaves at once.
func (n *Node) linger() clock.Millis {
	if !n.Ready() {
		return 0
	}
	return n.settings.Linger
}

// InForce returns a channel that is closed when the first table is in force.
func (n *Node) InForce() <-chan struct{} {
	return n.inForce
}

// Snapshot returns the records and states of this node that match a filter, for reports.
func (n *Node) Snapshot(f access.Filter) access.Snapshot {
	s := n.accessLog.Snapshot(n.clock.Now(), f)
	s.Name, s.Node, s.Domain, s.Table = n.settings.Node, n.address(), n.settings.Domain, n.version()
	for _, u := range n.entry.States() {
		if f.MatchesUpstream(u) {
			s.Upstreams = append(s.Upstreams, u)
		}
	}
	s.Retries = n.serviceRetries(f.Service)
	s.Shares = n.accountShares(f, s.Totals)
	return s
}

// States returns the states of all upstreams as this node's entry sees them.
func (n *Node) States() []access.UpstreamState {
	return n.entry.States()
}
