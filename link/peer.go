package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/memory"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// ErrNoLink means that nothing was sent, because there is no open link to the peer.
const ErrNoLink = errors.ConstError("no open link to the node")

const (
	// defaultIdleTimeout is the time without requests after which a link is closed. In a
	// fleet of the design size, heartbeats to every node would exceed the bandwidth budget
	// of control traffic.
	defaultIdleTimeout = 30 * clock.Second
	// ticksPerHeartbeat is how often per heartbeat interval Run checks the path.
	ticksPerHeartbeat = 4
)

// DispatchObserver is notified of the progress of a dispatch. Its methods must not block.
// A dispatch ends with one call of Replied, Resolved or NotSent, unless the entry withdraws,
// abandons or forgets it. PathLost and Hung may be called before.
type DispatchObserver interface {
	// Replied is called with the gate's reply. Its body is complete, or the reply is marked
	// as truncated.
	Replied(r *wire.Reply)
	// Resolved is called if no reply will follow: the dispatch was revoked, or the gate has
	// no record of it.
	Resolved(revoked bool)
	// NotSent is called if no link opened in time, so that nothing was sent.
	NotSent()
	// PathLost is called when the path is lost after the dispatch was sent. A reply may still
	// arrive.
	PathLost()
	// Hung is called when the run has most likely hung. A reply may still arrive.
	Hung()
}

// PeerObserver receives the messages of a peer that don't belong to a dispatch, and the
// changes of the path to the peer. Its methods must not block.
type PeerObserver interface {
	PeerHeartbeat(node string, heartbeat *wire.Heartbeat)
	PeerUpstream(node string, u wire.Upstream)
	PeerTableVersion(node string, table *wire.TableVersion)
	PeerWorkRequest(request *wire.WorkRequest)
	PeerProfile(profile *wire.UpstreamProfile)
	// PeerStoreUpdate receives an update of the store, which the peer sent after the given time.
	PeerStoreUpdate(node string, update *wire.StoreUpdate, sentAfter clock.Millis)
	// PeerReferral and PeerCopyPart answer a subscription.
	PeerReferral(node string, referral *wire.Referral)
	PeerCopyPart(node string, part *wire.CopyPart, sentAfter clock.Millis)
	PeerCrashReport(report *wire.CrashReport)
	PeerPath(node string, state path.State)
}

// PeerConfig configures a Peer.
type PeerConfig struct {
	// Address is the node's link address.
	Address string
	Self    Identity
	// IdleTimeout is the time without requests after which the link is closed; 0 means 30
	// seconds.
	IdleTimeout clock.Millis
	// MaxFrame is the maximum size of a frame, MaxReplyBody that of a reply's body, both in
	// bytes.
	MaxFrame          int
	MaxReplyBody      int
	HeartbeatInterval clock.Millis
	// RedialDelay is the approximate delay between a failed dial and the next dial; 0 means
	// HeartbeatInterval.
	RedialDelay clock.Millis
	Seed        uint64
	Now         func() clock.Millis
	// Status returns the content of this node's heartbeats, without Time and Echo.
	Status func() wire.Heartbeat
	// Start runs Run in the background, without waiting. The peer calls it when it is needed, and
	// Run returns when it isn't any more. It may be nil: Run is then called once, and runs until
	// its context ends.
	Start func()
	// Announcements returns what the upstreams beside the peer have announced to this node. It
	// may be nil.
	Announcements func() *wire.Announcements
	Observer      PeerObserver
	// Shared is what all peers of a node have in common; nil stands for the zero value.
	Shared *PeersConfig
	Log    logrus.FieldLogger
}

// PeersConfig configures all peers of a node. A node has thousands of peers, most of them without a
// link.
type PeersConfig struct {
	// Answers counts the memory of replies in several frames; nil means that it has no bound.
	Answers *memory.Answers
	// OnReplaced is called when another process answers at a peer's address. It may be nil and
	// must not block.
	OnReplaced func(address string)
	// Panics may be nil.
	Panics PanicRecorder
}

// Peer is the dialling side of the links to one node. Run must be called to operate it. It
// is safe for concurrent use.
type Peer struct {
	config          PeerConfig
	log             logrus.FieldLogger
	connectRequests chan struct{}

	runState atomic.Uint32 // one of the values below

	notifyMu       sync.Mutex // held while the observer is notified of a path change; locked before mu
	mu             sync.Mutex
	conn           *Conn
	draining       *Conn // a link that got a GoAway and still has something unanswered
	drainingSince  clock.Millis
	dialling       bool
	refused        bool // the last dial failed because no process listens at the address
	detector       *path.Detector
	probe          path.Probe
	checkScheduled bool // a timer for checkProbe is running
	state          path.State
	estimate       lease.ClockEstimate
	pending        map[lease.Key]*pendingDispatch
	revocations    map[wire.RequestID]*pendingRevocation
	capacityProbes pendingRequests[lease.Key, wire.Reservation]
	quotaRequests  pendingRequests[uint64, wire.QuotaGrant]
	claims         map[lease.Key]*pendingClaim
	// newSubscription returns the subscription to send on each new link; nil without one.
	newSubscription func() *wire.Subscription
	lastUsed        clock.Millis
	// lastPeerTime is the Time of the last heartbeat received on the open link, 0 before the first.
	lastPeerTime clock.Millis
}

// NewPeer returns a peer without a link. Run opens the link when it is first needed.
func NewPeer(c PeerConfig) *Peer {
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	return &Peer{
		config:          c,
		log:             c.Log.WithField("peer", c.Address),
		connectRequests: make(chan struct{}, 1),
		detector:        c.newDetector(),
		pending:         map[lease.Key]*pendingDispatch{},
		revocations:     map[wire.RequestID]*pendingRevocation{},
		capacityProbes:  pendingRequests[lease.Key, wire.Reservation]{},
		quotaRequests:   pendingRequests[uint64, wire.QuotaGrant]{},
		claims:          map[lease.Key]*pendingClaim{},
		lastUsed:        c.Now() - c.IdleTimeout - 1, // not needed yet
	}
}

// shared returns what all peers of the node have in common.
func (p *Peer) shared() PeersConfig {
	if p.config.Shared == nil {
		return PeersConfig{}
	}
	return *p.config.Shared
}

// newDetector returns a detector without any history of the peer.
func (c *PeerConfig) newDetector() *path.Detector {
	return path.New(path.Config{HeartbeatInterval: c.HeartbeatInterval, RedialDelay: c.RedialDelay, Seed: c.Seed})
}

// Address returns the node's link address.
func (p *Peer) Address() string {
	return p.config.Address
}

// Ready reports whether a link is open, so that a dispatch can be sent immediately.
func (p *Peer) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil
}

// Accepts reports whether a link is open over which the peer accepts a kind of message.
func (p *Peer) Accepts(k wire.Kind) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil && p.conn.Accepts(k)
}

// KeepsAnnouncements reports whether a link is open to a node whose gates keep what their upstreams
// have announced.
func (p *Peer) KeepsAnnouncements() bool {
	return p.Accepts(wire.KindAnnouncements)
}

// Connect requests that Run open a link. It doesn't wait for it.
func (p *Peer) Connect() {
	p.wake()
	if p.config.Start != nil && p.runState.CompareAndSwap(runIdle, runStarted) {
		p.config.Start()
	}
}

// End ends Run, and the peer's links with it, for a node that no table names any more.
func (p *Peer) End() {
	p.runState.Store(runEnded)
	p.wake()
}

// wake makes Run check what it has to do.
func (p *Peer) wake() {
	select {
	case p.connectRequests <- struct{}{}:
	default:
	}
}

// RequestTable asks the node for its table if that is newer than the one in the request.
// Without an open link nothing is sent.
func (p *Peer) RequestTable(r wire.TableRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(&r) // repeated after the next heartbeat
	}
}

// SendTable sends the node a table that the node didn't ask for. Without an open link
// nothing is sent.
func (p *Peer) SendTable(t *wire.TableVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(t) // repeated after the next heartbeat
	}
}

// SendCrashes sends the node a crash report. Without an open link nothing is sent.
func (p *Peer) SendCrashes(c *wire.CrashReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(c) // repeated after the next heartbeat
	}
}

// EnsureLink requests an open link and restarts its idle timeout, as a dispatch does.
func (p *Peer) EnsureLink() {
	p.mu.Lock()
	p.lastUsed = p.config.Now()
	p.mu.Unlock()
	p.Connect()
}

// The values of Peer.runState. Callers of Connect may hold the peer's lock, so that the state has
// none.
const (
	// runIdle means that the next Connect starts Run.
	runIdle uint32 = iota
	// runStarted means that Run handles the connect requests.
	runStarted
	// runEnded means that Run isn't started any more.
	runEnded
)

// mayStop reports whether Run isn't needed: nothing has to be checked until the next Connect, which
// starts it again.
func (p *Peer) mayStop() bool {
	switch {
	case p.config.Start == nil:
		return false
	case p.runState.Load() == runEnded:
		return true
	case len(p.connectRequests) > 0 || !p.isQuiescent():
		return false
	case !p.runState.CompareAndSwap(runStarted, runIdle):
		return true // it has ended meanwhile
	}
	// A Connect before the swap didn't start another Run.
	return len(p.connectRequests) == 0 || !p.runState.CompareAndSwap(runIdle, runStarted)
}

// Run keeps a link open while it is needed. It returns when the context ends, with the
// context's error, and nil when the peer needs no periodic checks and has PeerConfig.Start. In a
// fleet of the design size a node has thousands of peers and uses few of them at a time.
func (p *Peer) Run(ctx context.Context) error {
	defer p.finishConns()
	tick := (p.config.HeartbeatInterval / ticksPerHeartbeat).Duration()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	ticks := 0
	for {
		if p.mayStop() {
			return nil
		}
		if p.isQuiescent() {
			ticker.Stop()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.connectRequests:
			ticker.Reset(tick)
			p.dialIfDue(ctx)
		case <-ticker.C:
			p.tick(ctx)
			if ticks++; ticks%ticksPerHeartbeat == 0 {
				p.sendHeartbeat()
			}
		}
	}
}

// isQuiescent reports whether the peer needs no periodic checks.
func (p *Peer) isQuiescent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn == nil && p.draining == nil && !p.dialling && p.state == path.Good && p.isIdle()
}

// isIdle reports whether the peer has not been used for the idle timeout and has no pending
// dispatch or claim. The caller holds the peer's lock.
func (p *Peer) isIdle() bool {
	return p.config.Now()-p.lastUsed > p.config.IdleTimeout && len(p.pending) == 0 && len(p.claims) == 0
}

// tick closes an idle link, updates the path's state and dials if the path isn't good. A
// link with an overdue answer is checked by opening a new one. If the old link is dead
// because something between the two nodes has dropped the connection, the new link works
// and the pending dispatches are resolved over it. If the peer is paused, neither link
// answers.
func (p *Peer) tick(ctx context.Context) {
	p.mu.Lock()
	idle := p.isIdle()
	open := p.conn != nil
	if idle && open {
		p.conn.Finish()
		p.conn = nil
	}
	p.finishDrained()
	if idle && (open || p.state != path.Good) {
		// Silence after the link is closed says nothing about the peer. A loss of the
		// path must not outlast the idle timeout either: entries don't choose an
		// unreachable upstream, so that the peer would never be needed, and dialled,
		// again.
		p.detector = p.config.newDetector()
	}
	p.mu.Unlock()
	state := p.updateState()
	switch {
	case idle:
	case !open, state != path.Good:
		p.dialIfDue(ctx)
	}
}

func (p *Peer) sendHeartbeat() {
	if !p.Ready() {
		return
	}
	heartbeat := p.config.Status()
	heartbeat.Time = p.config.Now()
	heartbeat.Upstreams = nil // the peer receives them on the links that it dials
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return
	}
	heartbeat.Echo = p.lastPeerTime
	_ = p.conn.Send(&heartbeat) // the detector notices a full queue by overdue answers
}

// handle handles a message of the peer. It closes the link on a message that only the
// dialling side may send.
func (p *Peer) handle(conn *Conn, m wire.Message) {
	p.handleMessage(conn, m)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishDrained()
}

func (p *Peer) handleMessage(conn *Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Reply:
		p.handleReply(conn, m)
	case *wire.Chunk:
		p.handleChunk(conn, m)
	case *wire.Resolution:
		p.handleResolution(m)
	case *wire.KeyRevocationReply:
		p.handleRevocationReply(m)
	case *wire.Reservation:
		p.handleReservation(conn, m)
	case *wire.QuotaGrant:
		p.handleQuotaGrant(m)
	case *wire.HungRun:
		p.handleHungRun(m)
	case *wire.Heartbeat:
		p.handleHeartbeat(conn, m)
		p.config.Observer.PeerHeartbeat(p.config.Address, m)
	case *wire.TableVersion:
		p.config.Observer.PeerTableVersion(p.config.Address, m)
	case *wire.WorkRequest:
		p.config.Observer.PeerWorkRequest(m)
	default:
		p.handleOther(conn, m)
	}
}

// handleOther handles the remaining messages of handleMessage.
func (p *Peer) handleOther(conn *Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.StoreUpdate:
		p.config.Observer.PeerStoreUpdate(p.config.Address, m, p.sentAfter(conn, m.Time))
	case *wire.EraUpdate:
		p.config.Observer.PeerStoreUpdate(p.config.Address, &m.Update, p.sentAfter(conn, m.Update.Time))
	case *wire.CrashReport:
		p.config.Observer.PeerCrashReport(m)
	case *wire.UpstreamProfile:
		p.config.Observer.PeerProfile(m)
	case *wire.GoAway:
		p.handleGoAway(conn)
	case *wire.ClaimQueued:
		p.handleClaimQueued(m)
	case *wire.Referral:
		p.config.Observer.PeerReferral(p.config.Address, m)
	case *wire.CopyPart:
		p.config.Observer.PeerCopyPart(p.config.Address, m, p.sentAfter(conn, m.Time))
	default:
		conn.Close()
	}
}

// sentAfter records that a message was received, and returns a time on this node's clock after
// which the peer sent it, at the given time of the peer's clock. A slow path, or a pause of
// this process, may have delayed the message by any time.
func (p *Peer) sentAfter(conn *Conn, peerTime clock.Millis) clock.Millis {
	now := p.config.Now()
	p.mu.Lock()
	p.detector.Received(now)
	p.mu.Unlock()
	return conn.peerClock.SentAfter(now, peerTime)
}

// handleHeartbeat records a heartbeat. It answers that of a peer that leaves, which waits for the
// echo before it stops.
func (p *Peer) handleHeartbeat(conn *Conn, heartbeat *wire.Heartbeat) {
	now := p.config.Now()
	p.mu.Lock()
	p.detector.Received(now)
	if heartbeat.Echo > 0 {
		p.detector.Echoed(now, heartbeat.Echo)
		conn.peerClock.RoundTrip(now, heartbeat.Echo, heartbeat.Time)
	}
	p.observePeerTime(now, conn, heartbeat.Time)
	isOpen := conn == p.conn
	if isOpen {
		p.lastPeerTime = heartbeat.Time
	}
	p.mu.Unlock()
	if isOpen && (conn.mustAnswer(now) || heartbeat.Leaving) {
		p.sendHeartbeat()
	}
}

// observePeerTime updates the estimate of the peer's clock by a time that the peer sent on a link.
// A link that was replaced may be one to an earlier process of the node, with another clock. The
// caller holds the peer's lock.
func (p *Peer) observePeerTime(now clock.Millis, conn *Conn, peerTime clock.Millis) {
	if conn == p.conn || conn == p.draining {
		p.estimate.Update(now, p.estimate.Incarnation(), peerTime)
	}
}
