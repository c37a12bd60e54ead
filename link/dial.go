package link

import (
	"context"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

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
			p.withdrawQuestions()
			p.giveUp()
		}
		return
	}
	conn.onPong(p.ponged)
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
	p.probe = path.Probe{}
	changed := p.estimate.Update(now, remote.Incarnation, remote.Time)
	undecided := make([]*pending, 0, len(p.pending))
	for _, one := range p.pending {
		if one.unsent {
			p.sendLate(now, one)
			continue
		}
		undecided = append(undecided, one)
		one.partial = nil
	}
	p.enquiries.sendLate(p, now)
	p.draws.sendLate(p, now)
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
	p.review()
	p.sendBeat()
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
	busy := len(p.pending)+len(p.voids)+len(p.enquiries)+len(p.draws) > 0
	p.mu.Unlock()
	if current && busy {
		p.Wake()
	}
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
