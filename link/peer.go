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
}

// Watcher is told what a peer says of itself. Its methods must not block.
type Watcher interface {
	PeerBeat(node string, b *wire.Beat)
	PeerUpstream(node string, u wire.Upstream)
	PeerEdition(node string, e *wire.Edition)
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

	mu       sync.Mutex
	conn     *Conn
	dialling bool
	judge    *path.Judge
	state    path.State
	estimate lease.Estimate
	pending  map[lease.Key]*pending
	voids    map[wire.RequestID]*voiding
	used     clock.Millis
	heard    clock.Millis
}

type pending struct {
	dispatch *wire.Dispatch
	waiter   Waiter
	queued   clock.Millis
	unsent   bool
	partial  *wire.Reply
}

// NewPeer returns a peer without a link; Run opens one on first need.
func NewPeer(c PeerConfig) *Peer {
	if c.Idle == 0 {
		c.Idle = idleAfter
	}
	return &Peer{
		config:  c,
		log:     c.Log.WithField("peer", c.Address),
		need:    make(chan struct{}, 1),
		judge:   path.New(path.Config{Beat: c.Beat, Seed: c.Seed}),
		pending: map[lease.Key]*pending{},
		voids:   map[wire.RequestID]*voiding{},
		used:    c.Now(),
	}
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

// Dispatch sends a request and fills in its incarnation and lease. Without an
// open link it waits for one that is being opened. It returns ErrNoLink,
// ErrBusy or ErrClosed when nothing was sent or will be.
func (p *Peer) Dispatch(d *wire.Dispatch, w Waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.used = now
	one := &pending{dispatch: d, waiter: w, queued: now}
	if p.conn != nil {
		return p.send(now, one)
	}
	p.Wake()
	if p.state == path.Lost || len(p.pending) >= queueLength {
		return ErrNoLink
	}
	one.unsent = true
	p.pending[keyOf(d.ID, d.Attempt)] = one
	return nil
}

// send gives a dispatch its lease and queues it on the link. The time that it
// waited for a link is taken from its budget.
func (p *Peer) send(now clock.Millis, one *pending) error {
	d := one.dispatch
	d.Budget -= now - one.queued
	d.Incarnation = p.estimate.Incarnation()
	d.Lease = p.estimate.At(now) + d.Budget
	key := keyOf(d.ID, d.Attempt)
	if err := p.conn.Send(d); err != nil {
		delete(p.pending, key)
		return errors.Trace(err)
	}
	one.unsent = false
	p.pending[key] = one
	p.judge.Sent(now, judged(key), now+d.Budget)
	return nil
}

// judged is the number by which the path's judge knows a dispatch.
func judged(key lease.Key) uint64 {
	return key.Seq<<8 | uint64(key.Attempt)
}

// Settle asks the gate what became of a dispatch and forbids it to begin one
// that it has not begun. The waiter is told.
func (p *Peer) Settle(id wire.RequestID, attempt uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one, ok := p.pending[keyOf(id, attempt)]
	switch {
	case ok && one.unsent:
		p.remove(keyOf(id, attempt))
		one.waiter.Unsent()
	case ok && p.conn != nil:
		_ = p.conn.Send(settleOf(one.dispatch)) // without an answer the outcome stays unknown
	}
}

// Forget drops the waiter of a dispatch that was given up on.
func (p *Peer) Forget(id wire.RequestID, attempt uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(keyOf(id, attempt))
}

// Ask asks the node for a table edition that goes before the named one.
func (p *Peer) Ask(a wire.Ask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Send(&a) // asked again after the next heartbeat
	}
}

// Run keeps the link as long as it is needed, until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	defer p.drop()
	ticker := time.NewTicker((p.config.Beat / ticksPerBeat).Duration())
	defer ticker.Stop()
	beat := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.need:
			p.open(ctx)
		case <-ticker.C:
			p.tick(ctx)
			if beat++; beat%ticksPerBeat == 0 {
				p.sendBeat()
			}
		}
	}
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
	now := p.config.Now()
	p.mu.Lock()
	idle := now-p.used > p.config.Idle && len(p.pending) == 0
	open := p.conn != nil
	state := p.judge.State(now)
	changed := state != p.state
	p.state = state
	if idle && open {
		p.conn.Close()
		p.conn = nil
		p.judge.Idle(now)
	}
	p.mu.Unlock()
	if changed {
		p.pathChanged(state)
	}
	switch {
	case idle:
	case !open, state != path.Good:
		p.open(ctx)
	}
}

func (p *Peer) pathChanged(state path.State) {
	p.log.WithField("path", pathName(state)).Info("path changed")
	p.config.Watcher.PeerPath(p.config.Address, state)
	if state == path.Lost {
		p.lose()
	}
}

// lose tells all waiters that the path is lost.
func (p *Peer) lose() {
	p.mu.Lock()
	waiters := make([]Waiter, 0, len(p.pending))
	for _, one := range p.pending {
		waiters = append(waiters, one.waiter)
	}
	p.mu.Unlock()
	for _, w := range waiters {
		w.Lost()
	}
}

// withdraw ends the dispatches that still wait for a link: none was sent.
func (p *Peer) withdraw() {
	p.mu.Lock()
	var waiters []Waiter
	for key, one := range p.pending {
		if one.unsent {
			waiters = append(waiters, one.waiter)
			p.remove(key)
		}
	}
	p.mu.Unlock()
	for _, w := range waiters {
		w.Unsent()
	}
}

// open dials unless a good link is open or the backoff of a failed dial runs.
func (p *Peer) open(ctx context.Context) {
	now := p.config.Now()
	p.mu.Lock()
	due := !p.dialling && (p.conn == nil || p.judge.State(now) != path.Good) && p.judge.Redial(now)
	p.dialling = p.dialling || due
	p.mu.Unlock()
	if due {
		go p.dial(ctx)
	}
}

func (p *Peer) dial(ctx context.Context) {
	conn, remote, err := Dial(ctx, p.config.Address, p.config.Self, p.config.Limit)
	now := p.config.Now()
	if err != nil {
		p.log.WithError(err).Debug("link not opened")
		p.mu.Lock()
		p.dialling = false
		p.judge.Failed(now)
		lost := p.conn == nil
		p.mu.Unlock()
		if lost {
			p.lose()
			p.withdraw()
			p.giveUp()
		}
		return
	}
	p.adopt(now, conn, remote)
	p.serve(conn)
}

// adopt replaces the link and settles what is undecided over the new one.
func (p *Peer) adopt(now clock.Millis, conn *Conn, remote Remote) {
	p.mu.Lock()
	old := p.conn
	p.conn = conn
	p.dialling = false
	p.judge.Opened(now)
	changed := p.estimate.Heard(now, remote.Incarnation, remote.Time)
	undecided := make([]*pending, 0, len(p.pending))
	for _, one := range p.pending {
		if one.unsent {
			p.sendLate(now, one)
			continue
		}
		undecided = append(undecided, one)
		one.partial = nil
	}
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
	if changed {
		p.log.Info("node was replaced")
	}
	for _, one := range undecided {
		_ = conn.Send(settleOf(one.dispatch)) // a link that fails again is replaced again
	}
	p.askAgain(conn)
	p.log.WithField("undecided", len(undecided)).Debug("link opened")
	p.sendBeat()
}

// sendLate sends a dispatch that waited for the link, or ends it as not sent.
func (p *Peer) sendLate(now clock.Millis, one *pending) {
	own := *one.dispatch // the entry still reads the one it made
	one.dispatch = &own
	if now-one.queued >= one.dispatch.Budget || p.send(now, one) != nil {
		delete(p.pending, keyOf(one.dispatch.ID, one.dispatch.Attempt))
		one.waiter.Unsent()
	}
}

func (p *Peer) serve(conn *Conn) {
	err := conn.read(func(m wire.Message) { p.handle(conn, m) })
	p.log.WithError(err).Debug("link ended")
	p.mu.Lock()
	current := p.conn == conn
	if current {
		p.conn = nil
		p.judge.Closed(p.config.Now())
	}
	busy := len(p.pending)+len(p.voids) > 0
	p.mu.Unlock()
	if current && busy {
		p.Wake()
	}
}

func (p *Peer) sendBeat() {
	b := p.config.Status()
	b.Time = p.config.Now()
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
	case *wire.Beat:
		p.beat(m)
		p.config.Watcher.PeerBeat(p.config.Address, m)
	case *wire.Edition:
		p.config.Watcher.PeerEdition(p.config.Address, m)
	default:
		conn.Close()
	}
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
		p.estimate.Heard(now, p.estimate.Incarnation(), b.Time)
	}
}

func (p *Peer) remove(key lease.Key) {
	delete(p.pending, key)
	p.judge.Settled(p.config.Now(), judged(key))
}

func keyOf(id wire.RequestID, attempt uint8) lease.Key {
	return lease.Key{Entry: id.Entry, Seq: id.Seq, Attempt: attempt}
}

func settleOf(d *wire.Dispatch) *wire.Settle {
	return &wire.Settle{ID: d.ID, Attempt: d.Attempt, Incarnation: d.Incarnation, Upstream: d.Upstream, Lease: d.Lease}
}

// pathName is a path's state as logs show it.
func pathName(s path.State) string {
	switch s {
	case path.Good:
		return "good"
	case path.Doubted:
		return "doubted"
	case path.Lost:
		return "lost"
	default:
		return "unknown"
	}
}
