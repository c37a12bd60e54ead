package link

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// ErrNoLink means that nothing was sent: the peer has no open link now.
const ErrNoLink = errors.ConstError("no link to the node")

const (
	// defaultIdleTimeout closes a link that carried no request for so long: at the
	// size to design for, heartbeats to every node would not fit the bytes
	// that control may take.
	defaultIdleTimeout = 30 * clock.Second
	// ticks of the judge within one heartbeat interval.
	ticksPerHeartbeat = 4
)

// DispatchObserver is told what becomes of a dispatch. Its methods must not block. A
// dispatch ends with one Replied, Settled or Unsent call; Lost may come before.
type DispatchObserver interface {
	// Replied hands over the gate's whole answer.
	Replied(r *wire.Reply)
	// Resolved says that the dispatch is voided, or that the gate can't vouch
	// for it.
	Resolved(voided bool)
	// NotSent says that no link opened in time: nothing was sent.
	NotSent()
	// PathLost says that the path is lost for now: an answer may still come.
	PathLost()
	// Hung says that the run most likely comes to no end: an answer may still come.
	Hung()
}

// PeerObserver is told what a peer says of itself. Its methods must not block.
type PeerObserver interface {
	PeerHeartbeat(node string, b *wire.Heartbeat)
	PeerUpstream(node string, u wire.Upstream)
	PeerTableVersion(node string, e *wire.TableVersion)
	PeerWorkRequest(i *wire.WorkRequest)
	PeerStoreUpdate(n *wire.StoreUpdate)
	PeerCrashReport(c *wire.CrashReport)
	PeerPath(node string, state path.State)
}

// PeerConfig configures a Peer.
type PeerConfig struct {
	// Address is the node's link address.
	Address string
	Self    Identity
	// IdleTimeout closes a link that carried no request for so long; 0 stands for
	// half a minute.
	IdleTimeout clock.Millis
	// MaxFrame bounds a frame in bytes, Answer an answer's body.
	MaxFrame          int
	MaxReplyBody      int
	HeartbeatInterval clock.Millis
	// RedialDelay is about how long after a failed dial the next one is due; 0 stands
	// for Beat.
	RedialDelay clock.Millis
	Seed        uint64
	Now         func() clock.Millis
	// Status returns what this node's own heartbeats say.
	Status   func() wire.Heartbeat
	Observer PeerObserver
	Log      logrus.FieldLogger
}

// Peer is the entry's side of the links to one node. Run drives it.
type Peer struct {
	config          PeerConfig
	log             logrus.FieldLogger
	connectRequests chan struct{}

	notifyMu       sync.Mutex // held while a change of the path is told; taken before mu
	mu             sync.Mutex
	conn           *Conn
	dialling       bool
	detector       *path.Detector
	probe          path.Probe
	checkScheduled bool // a check of the probe is due
	state          path.State
	estimate       lease.ClockEstimate
	pending        map[lease.Key]*pendingDispatch
	revocations    map[wire.RequestID]*pendingRevocation
	capacityProbes pendingRequests[lease.Key, wire.Reservation]
	quotaRequests  pendingRequests[uint64, wire.QuotaGrant]
	lastUsed       clock.Millis
	lastPeerTime   clock.Millis
}

// NewPeer returns a peer without a link; Run opens one on first need.
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
		lastUsed:        c.Now() - c.IdleTimeout - 1, // not needed yet
	}
}

// newDetector returns a judge that knows nothing of the peer.
func (c *PeerConfig) newDetector() *path.Detector {
	return path.New(path.Config{HeartbeatInterval: c.HeartbeatInterval, RedialDelay: c.RedialDelay, Seed: c.Seed})
}

// Address returns the node's link address.
func (p *Peer) Address() string {
	return p.config.Address
}

// Ready reports whether a dispatch could be sent now.
func (p *Peer) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil
}

// Connect asks for an open link, without anything to send yet.
func (p *Peer) Connect() {
	select {
	case p.connectRequests <- struct{}{}:
	default:
	}
}

// RequestTable asks the node for a table edition that goes before the named one.
func (p *Peer) RequestTable(a wire.TableRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(&a) // asked again after the next heartbeat
	}
}

// SendTable sends the node an edition that it didn't ask for.
func (p *Peer) SendTable(e *wire.TableVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(e) // offered again after the next heartbeat
	}
}

// SendCrashes tells the node of crashes over an open link.
func (p *Peer) SendCrashes(c *wire.CrashReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(c) // told again after the next heartbeat
	}
}

// EnsureLink asks for an open link and keeps it, as a request would.
func (p *Peer) EnsureLink() {
	p.mu.Lock()
	p.lastUsed = p.config.Now()
	p.mu.Unlock()
	p.Connect()
}

// Run keeps the link as long as it is needed, until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	defer p.closeConn()
	span := (p.config.HeartbeatInterval / ticksPerHeartbeat).Duration()
	ticker := time.NewTicker(span)
	defer ticker.Stop()
	beat := 0
	for {
		if p.isQuiescent() {
			ticker.Stop()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.connectRequests:
			ticker.Reset(span)
			p.dialIfDue(ctx)
		case <-ticker.C:
			p.tick(ctx)
			if beat++; beat%ticksPerHeartbeat == 0 {
				p.sendHeartbeat()
			}
		}
	}
}

// isQuiescent reports whether there is nothing to watch: at the size to design for
// a node has thousands of peers, and few of them are in use at a time.
func (p *Peer) isQuiescent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn == nil && !p.dialling && p.state == path.Good && p.idle()
}

// idle reports whether no request has needed the peer for a while.
func (p *Peer) idle() bool {
	return p.config.Now()-p.lastUsed > p.config.IdleTimeout && len(p.pending) == 0
}

func (p *Peer) closeConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// tick acts on the judge's view. A link with an overdue answer is checked by
// opening a new one: a link that went silent for good, because something
// between the ends lost track of it, shows as a new one that works, and the
// undecided dispatches are settled there. A paused peer answers on neither.
func (p *Peer) tick(ctx context.Context) {
	p.mu.Lock()
	idle := p.idle()
	open := p.conn != nil
	if idle && open {
		p.conn.Close()
		p.conn = nil
	}
	if idle && (open || p.state != path.Good) {
		// The quiet from here on says nothing about the peer. Nor does an old
		// loss: no entry chooses an upstream that is out of reach, so nobody
		// would ever need, and dial, it again.
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
	b := p.config.Status()
	b.Time = p.config.Now()
	b.Upstreams = nil // who is dialled hears of them on links of its own
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return
	}
	b.Echo = p.lastPeerTime
	_ = p.conn.Send(&b) // a full queue shows at the judge as an overdue answer
}

func (p *Peer) handle(conn *Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Reply:
		p.handleReply(m)
	case *wire.Chunk:
		p.handleChunk(m)
	case *wire.Resolution:
		p.handleResolution(m)
	case *wire.KeyRevocationReply:
		p.handleRevocationReply(m)
	case *wire.Reservation:
		p.handleReservation(m)
	case *wire.QuotaGrant:
		p.handleQuotaGrant(m)
	case *wire.HungRun:
		p.handleHungRun(m)
	case *wire.Heartbeat:
		p.handleHeartbeat(m)
		if m.Leaving {
			p.sendHeartbeat() // it waits to know that nothing more comes
		}
		p.config.Observer.PeerHeartbeat(p.config.Address, m)
	case *wire.TableVersion:
		p.config.Observer.PeerTableVersion(p.config.Address, m)
	case *wire.WorkRequest:
		p.config.Observer.PeerWorkRequest(m)
	case *wire.StoreUpdate:
		p.handleStoreUpdate(m)
	case *wire.CrashReport:
		p.config.Observer.PeerCrashReport(m)
	default:
		conn.Close()
	}
}

// handleStoreUpdate hands on what the peer has learned. What a stalled path or a pause of this
// process has held up is older than the peer says.
func (p *Peer) handleStoreUpdate(n *wire.StoreUpdate) {
	now := p.config.Now()
	p.mu.Lock()
	p.detector.Received(now)
	if p.estimate.Known() {
		n.Age += max(p.estimate.At(now)-n.Time, 0)
	}
	p.mu.Unlock()
	p.config.Observer.PeerStoreUpdate(n)
}

func (p *Peer) handleHeartbeat(b *wire.Heartbeat) {
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastPeerTime = b.Time
	p.detector.Received(now)
	if b.Echo > 0 {
		p.detector.Echoed(now, b.Echo)
	}
	if p.estimate.Known() {
		p.estimate.Update(now, p.estimate.Incarnation(), b.Time)
	}
}
