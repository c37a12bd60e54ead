package link

import (
	"context"
	"syscall"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

func (p *Peer) pathChanged(state path.State) {
	logging.Repeatable(p.log.WithField("path", pathName(state))).Info("path changed")
	p.config.Observer.PeerPath(p.config.Address, state)
	if state == path.Lost {
		p.failUnsent()
		p.notifyLost()
		p.loseAllClaims()
	}
}

// notifyLost notifies the observers of the dispatches that were sent that the path is lost. Of one
// that wasn't sent, an entry would assume that it may have run.
func (p *Peer) notifyLost() {
	p.mu.Lock()
	observers := make([]DispatchObserver, 0, len(p.pending))
	for _, pending := range p.pending {
		if !pending.unsent {
			observers = append(observers, pending.observer)
		}
	}
	p.mu.Unlock()
	for _, observer := range observers {
		observer.PathLost()
	}
}

// dialIfDue starts a dial in the background, unless a good link is open, a dial is in
// progress or the backoff after a failed dial has not passed.
func (p *Peer) dialIfDue(ctx context.Context) {
	now := p.config.Now()
	p.mu.Lock()
	due := !p.dialling && !p.awaitsDrained(now) && (p.conn == nil || p.detector.State(now) != path.Good) && p.detector.ShouldDial(now)
	p.dialling = p.dialling || due
	p.mu.Unlock()
	if due {
		go p.dial(ctx)
	}
}

func (p *Peer) dial(ctx context.Context) {
	defer recoverPanic(p.shared().Panics, p.endDial)
	dialledAt := p.config.Now()
	conn, remote, err := dial(ctx, p.config.Address, p.config.Self, p.config.MaxFrame, p.shared().Panics)
	now := p.config.Now()
	if err != nil {
		p.log.WithError(err).Debug("link not opened")
		p.mu.Lock()
		p.dialling, p.refused = false, errors.Is(err, syscall.ECONNREFUSED)
		p.detector.Failed(now)
		lost := p.conn == nil
		p.mu.Unlock()
		if lost {
			p.notifyLost()
			p.failUnsent()
			p.failUnsentRequests()
			p.loseClaims(nil)
			p.failRevocations()
		}
		return
	}
	defer conn.Close() // after a panic
	conn.peerClock.RoundTrip(now, dialledAt, remote.Time)
	conn.onPong(p.handlePong)
	p.replaceConn(now, conn, remote)
	p.serve(conn)
}

// replaceConn makes conn the peer's link. Over the new link it sends what the peer's upstreams
// have announced, then what has waited for a link, and asks for the outcome of every dispatch
// that is still pending.
func (p *Peer) replaceConn(now clock.Millis, conn *Conn, remote Remote) {
	p.sendAnnouncements(conn)
	p.mu.Lock()
	old, draining := p.conn, p.draining
	p.conn, p.draining = conn, nil
	p.dialling, p.refused = false, false
	p.detector.Opened(now)
	p.probe = path.Probe{}
	p.lastPeerTime = 0 // a new process would take the echo of its predecessor's heartbeat for one of its own
	changed := p.estimate.Update(now, remote.Incarnation, remote.Time)
	unresolved := make([]*pendingDispatch, 0, len(p.pending))
	for _, pending := range p.pending {
		if pending.unsent {
			p.sendQueued(now, pending)
			continue
		}
		unresolved = append(unresolved, pending)
		pending.partial, pending.conn, pending.isLinkReplaced = nil, conn, true
	}
	p.capacityProbes.flush(p, now)
	p.quotaRequests.flush(p, now)
	p.flushClaims(now)
	p.mu.Unlock()
	for _, replaced := range []*Conn{old, draining} {
		if replaced != nil {
			replaced.Close()
		}
	}
	if changed {
		p.log.Info("node was replaced")
		if onReplaced := p.shared().OnReplaced; onReplaced != nil {
			onReplaced(p.config.Address)
		}
	}
	for _, pending := range unresolved {
		_ = conn.Send(newResolve(pending.dispatch)) // if this link fails too, the next one repeats it
	}
	p.resendRevocations(conn)
	p.log.WithField("undecided", len(unresolved)).Debug("link opened")
	p.updateState()
	p.sendHeartbeat()
	p.sendSubscription(conn)
}

// sendAnnouncements sends what the peer's upstreams have announced, before any request: the peer
// may have restarted. A peer of an older release doesn't accept it.
func (p *Peer) sendAnnouncements(conn *Conn) {
	if p.config.Announcements == nil || !conn.Accepts(wire.KindAnnouncements) {
		return
	}
	if m := p.config.Announcements(); len(m.Upstreams) > 0 {
		if err := conn.Send(m); err != nil {
			logging.Repeatable(p.log.WithError(err)).Warn("announcements of upstreams not sent; the peer learns them from their next responses")
		}
	}
}

// serve handles messages until the link is closed. If the peer is still needed, it then
// requests another link.
func (p *Peer) serve(conn *Conn) {
	err := conn.read(func(m wire.Message) { p.handle(conn, m) })
	p.loseClaims(conn)
	p.mu.Lock()
	current, wasDraining := p.conn == conn, p.draining == conn
	if current {
		p.conn = nil
		p.detector.Closed(p.config.Now())
	}
	if wasDraining {
		p.draining = nil
	}
	busy := len(p.pending)+len(p.revocations)+len(p.capacityProbes)+len(p.quotaRequests)+len(p.claims) > 0
	undecided := len(p.pending)
	p.mu.Unlock()
	p.log.WithError(err).WithFields(logrus.Fields{"undecided": undecided, "replaced": !current}).Debug("link ended")
	if (current || wasDraining) && busy {
		p.Connect()
	}
}

// pathName returns the name of a path's state in logs.
func pathName(s path.State) string {
	switch s {
	case path.Good:
		return "good"
	case path.Suspected:
		return "doubted"
	case path.Lost:
		return "lost"
	default:
		return "unknown"
	}
}
