package link

import (
	"context"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

func (p *Peer) pathChanged(state path.State) {
	p.log.WithField("path", pathName(state)).Info("path changed")
	p.config.Observer.PeerPath(p.config.Address, state)
	if state == path.Lost {
		p.notifyLost()
	}
}

// notifyLost tells all waiters that the path is lost.
func (p *Peer) notifyLost() {
	p.mu.Lock()
	waiters := make([]DispatchObserver, 0, len(p.pending))
	for _, one := range p.pending {
		waiters = append(waiters, one.observer)
	}
	p.mu.Unlock()
	for _, w := range waiters {
		w.PathLost()
	}
}

// dialIfDue dials unless a good link is open or the backoff of a failed dial runs.
func (p *Peer) dialIfDue(ctx context.Context) {
	now := p.config.Now()
	p.mu.Lock()
	due := !p.dialling && (p.conn == nil || p.detector.State(now) != path.Good) && p.detector.ShouldDial(now)
	p.dialling = p.dialling || due
	p.mu.Unlock()
	if due {
		go p.dial(ctx)
	}
}

func (p *Peer) dial(ctx context.Context) {
	conn, remote, err := Dial(ctx, p.config.Address, p.config.Self, p.config.MaxFrame)
	now := p.config.Now()
	if err != nil {
		p.log.WithError(err).Debug("link not opened")
		p.mu.Lock()
		p.dialling = false
		p.detector.Failed(now)
		lost := p.conn == nil
		p.mu.Unlock()
		if lost {
			p.notifyLost()
			p.failUnsent()
			p.failUnsentRequests()
			p.failRevocations()
		}
		return
	}
	conn.onPong(p.handlePong)
	p.replaceConn(now, conn, remote)
	p.serve(conn)
}

// replaceConn replaces the link and settles what is undecided over the new one.
func (p *Peer) replaceConn(now clock.Millis, conn *Conn, remote Remote) {
	p.mu.Lock()
	old := p.conn
	p.conn = conn
	p.dialling = false
	p.detector.Opened(now)
	p.probe = path.Probe{}
	changed := p.estimate.Update(now, remote.Incarnation, remote.Time)
	undecided := make([]*pendingDispatch, 0, len(p.pending))
	for _, one := range p.pending {
		if one.unsent {
			p.sendQueued(now, one)
			continue
		}
		undecided = append(undecided, one)
		one.partial = nil
	}
	p.capacityProbes.flush(p, now)
	p.quotaRequests.flush(p, now)
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
	if changed {
		p.log.Info("node was replaced")
	}
	for _, one := range undecided {
		_ = conn.Send(newResolve(one.dispatch)) // a link that fails again is replaced again
	}
	p.resendRevocations(conn)
	p.log.WithField("undecided", len(undecided)).Debug("link opened")
	p.updateState()
	p.sendHeartbeat()
}

func (p *Peer) serve(conn *Conn) {
	err := conn.read(func(m wire.Message) { p.handle(conn, m) })
	p.log.WithError(err).Debug("link ended")
	p.mu.Lock()
	current := p.conn == conn
	if current {
		p.conn = nil
		p.detector.Closed(p.config.Now())
	}
	busy := len(p.pending)+len(p.revocations)+len(p.capacityProbes)+len(p.quotaRequests) > 0
	p.mu.Unlock()
	if current && busy {
		p.Connect()
	}
}

// pathName is a path's state as logs show it.
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
