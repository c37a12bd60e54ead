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
	// idleAfter closes a link that carried no request for so long: at the
	// size to design for, heartbeats to every node would not fit the bytes
	// that control may take.
	idleAfter = 30 * clock.Second
	// ticks of the judge within one heartbeat interval.
	ticksPerBeat = 4
)

// Waiter is told what becomes of a dispatch. Its methods must not block. A
// dispatch ends with one Replied, Settled or Unsent call; Lost may come before.
type Waiter interface {
	// Replied hands over the gate's whole answer.
	Replied(r *wire.Reply)
	// Settled says that the dispatch is voided, or that the gate can't vouch
	// for it.
	Settled(voided bool)
	// Unsent says that no link opened in time: nothing was sent.
	Unsent()
	// Lost says that the path is lost for now: an answer may still come.
	Lost()
	// Stalled says that the run most likely comes to no end: an answer may still come.
	Stalled()
}

// Watcher is told what a peer says of itself. Its methods must not block.
type Watcher interface {
	PeerBeat(node string, b *wire.Beat)
	PeerUpstream(node string, u wire.Upstream)
	PeerEdition(node string, e *wire.Edition)
	PeerInvitation(i *wire.Invitation)
	PeerNews(n *wire.News)
	PeerCrashes(c *wire.Crashes)
	PeerPath(node string, state path.State)
}

// PeerConfig configures a Peer.
type PeerConfig struct {
	// Address is the node's link address.
	Address string
	Self    Identity
	// Idle closes a link that carried no request for so long; 0 stands for
	// half a minute.
	Idle clock.Millis
	// Limit bounds a frame in bytes, Answer an answer's body.
	Limit  int
	Answer int
	Beat   clock.Millis
	// Redial is about how long after a failed dial the next one is due; 0 stands
	// for Beat.
	Redial clock.Millis
	Seed   uint64
	Now    func() clock.Millis
	// Status returns what this node's own heartbeats say.
	Status  func() wire.Beat
	Watcher Watcher
	Log     logrus.FieldLogger
}

// Peer is the entry's side of the links to one node. Run drives it.
type Peer struct {
	config PeerConfig
	log    logrus.FieldLogger
	need   chan struct{}

	telling   sync.Mutex // held while a change of the path is told; taken before mu
	mu        sync.Mutex
	conn      *Conn
	dialling  bool
	judge     *path.Judge
	probe     path.Probe
	checking  bool // a check of the probe is due
	state     path.State
	estimate  lease.ClockEstimate
	pending   map[lease.Key]*pending
	voids     map[wire.RequestID]*voiding
	enquiries questions[lease.Key, wire.Hold]
	draws     questions[uint64, wire.Drawn]
	used      clock.Millis
	heard     clock.Millis
}

// NewPeer returns a peer without a link; Run opens one on first need.
func NewPeer(c PeerConfig) *Peer {
	if c.Idle == 0 {
		c.Idle = idleAfter
	}
	return &Peer{
		config:    c,
		log:       c.Log.WithField("peer", c.Address),
		need:      make(chan struct{}, 1),
		judge:     c.judge(),
		pending:   map[lease.Key]*pending{},
		voids:     map[wire.RequestID]*voiding{},
		enquiries: questions[lease.Key, wire.Hold]{},
		draws:     questions[uint64, wire.Drawn]{},
		used:      c.Now() - c.Idle - 1, // not needed yet
	}
}

// judge returns a judge that knows nothing of the peer.
func (c *PeerConfig) judge() *path.Judge {
	return path.New(path.Config{Beat: c.Beat, Redial: c.Redial, Seed: c.Seed})
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

// Wake asks for an open link, without anything to send yet.
func (p *Peer) Wake() {
	select {
	case p.need <- struct{}{}:
	default:
	}
}

// Ask asks the node for a table edition that goes before the named one.
func (p *Peer) Ask(a wire.Ask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(&a) // asked again after the next heartbeat
	}
}

// Offer sends the node an edition that it didn't ask for.
func (p *Peer) Offer(e *wire.Edition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(e) // offered again after the next heartbeat
	}
}

// TellCrashes tells the node of crashes over an open link.
func (p *Peer) TellCrashes(c *wire.Crashes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(c) // told again after the next heartbeat
	}
}

// EnsureLink asks for an open link and keeps it, as a request would.
func (p *Peer) EnsureLink() {
	p.mu.Lock()
	p.used = p.config.Now()
	p.mu.Unlock()
	p.Wake()
}

// Run keeps the link as long as it is needed, until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	defer p.drop()
	span := (p.config.Beat / ticksPerBeat).Duration()
	ticker := time.NewTicker(span)
	defer ticker.Stop()
	beat := 0
	for {
		if p.resting() {
			ticker.Stop()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.need:
			ticker.Reset(span)
			p.open(ctx)
		case <-ticker.C:
			p.tick(ctx)
			if beat++; beat%ticksPerBeat == 0 {
				p.sendBeat()
			}
		}
	}
}

// resting reports whether there is nothing to watch: at the size to design for
// a node has thousands of peers, and few of them are in use at a time.
func (p *Peer) resting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn == nil && !p.dialling && p.state == path.Good && p.idle()
}

// idle reports whether no request has needed the peer for a while.
func (p *Peer) idle() bool {
	return p.config.Now()-p.used > p.config.Idle && len(p.pending) == 0
}

func (p *Peer) drop() {
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
		p.judge = p.config.judge()
	}
	p.mu.Unlock()
	state := p.review()
	switch {
	case idle:
	case !open, state != path.Good:
		p.open(ctx)
	}
}

func (p *Peer) sendBeat() {
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
	b.Heard = p.heard
	_ = p.conn.Send(&b) // a full queue shows at the judge as an overdue answer
}

func (p *Peer) handle(conn *Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Reply:
		p.reply(m)
	case *wire.Chunk:
		p.chunk(m)
	case *wire.Settled:
		p.settled(m)
	case *wire.Voided:
		p.voided(m)
	case *wire.Hold:
		p.held(m)
	case *wire.Drawn:
		p.drawn(m)
	case *wire.Stalled:
		p.stalled(m)
	case *wire.Beat:
		p.beat(m)
		if m.Leaving {
			p.sendBeat() // it waits to know that nothing more comes
		}
		p.config.Watcher.PeerBeat(p.config.Address, m)
	case *wire.Edition:
		p.config.Watcher.PeerEdition(p.config.Address, m)
	case *wire.Invitation:
		p.config.Watcher.PeerInvitation(m)
	case *wire.News:
		p.news(m)
	case *wire.Crashes:
		p.config.Watcher.PeerCrashes(m)
	default:
		conn.Close()
	}
}

// news hands on what the peer has learned. What a stalled path or a pause of this
// process has held up is older than the peer says.
func (p *Peer) news(n *wire.News) {
	now := p.config.Now()
	p.mu.Lock()
	p.judge.Heard(now)
	if p.estimate.Known() {
		n.Age += max(p.estimate.At(now)-n.Time, 0)
	}
	p.mu.Unlock()
	p.config.Watcher.PeerNews(n)
}

func (p *Peer) beat(b *wire.Beat) {
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = b.Time
	p.judge.Heard(now)
	if b.Heard > 0 {
		p.judge.Echoed(now, b.Heard)
	}
	if p.estimate.Known() {
		p.estimate.Update(now, p.estimate.Incarnation(), b.Time)
	}
}
