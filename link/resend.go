package link

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// VoidWaiter is told what a node knows of a key. One of its methods is called
// once, or none; they must not block.
type VoidWaiter interface {
	Voided(v *wire.Voided)
	// Unasked says that no link could be opened.
	Unasked()
}

type voiding struct {
	message *wire.Void
	waiter  VoidWaiter
}

// RevokeKey asks the node about a resend's key. The question goes out again on each
// new link until it is answered or forgotten: asking twice changes nothing. It
// returns ErrNoLink when the node is out of reach now.
func (p *Peer) RevokeKey(v *wire.Void, patience clock.Millis, w VoidWaiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.used = now
	if p.conn == nil {
		p.Wake()
		if p.state == path.Lost || len(p.voids) >= queueLength {
			return ErrNoLink
		}
	}
	if p.conn != nil {
		if err := p.conn.Send(v); err != nil {
			return errors.Trace(err)
		}
	}
	p.voids[v.ID] = &voiding{message: v, waiter: w}
	// An overdue answer makes the judge try a new link, while the entry can
	// still wait for an answer on it.
	p.judge.Sent(now, judged(voidKey(v.ID)), now+patience/2)
	return nil
}

// ForgetRevocation drops the waiter of a question that was given up on.
func (p *Peer) ForgetRevocation(id wire.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeVoid(id)
}

func (p *Peer) removeVoid(id wire.RequestID) {
	if _, ok := p.voids[id]; ok {
		delete(p.voids, id)
		p.judge.Settled(p.config.Now(), judged(voidKey(id)))
	}
}

// voidKey is the key by which the path's judge knows a question: attempts
// count from 1.
func voidKey(id wire.RequestID) lease.Key {
	return id.Key(0)
}

// askAgain sends the open questions on a new link.
func (p *Peer) askAgain(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.voids {
		_ = conn.Send(one.message) // a link that fails again is replaced again
	}
}

// giveUp ends the open questions: no link can be opened now.
func (p *Peer) giveUp() {
	p.mu.Lock()
	waiters := make([]VoidWaiter, 0, len(p.voids))
	for id, one := range p.voids {
		waiters = append(waiters, one.waiter)
		p.removeVoid(id)
	}
	p.mu.Unlock()
	for _, w := range waiters {
		w.Unasked()
	}
}

func (p *Peer) voided(v *wire.Voided) {
	p.mu.Lock()
	p.judge.Heard(p.config.Now())
	one, ok := p.voids[v.ID]
	p.removeVoid(v.ID)
	p.mu.Unlock()
	if ok {
		one.waiter.Voided(v)
	}
}
