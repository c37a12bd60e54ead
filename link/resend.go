package link

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// RevocationObserver is told what a node knows of a key. One of its methods is called
// once, or none; they must not block.
type RevocationObserver interface {
	Revoked(v *wire.KeyRevocationReply)
	// NotSent says that no link could be opened.
	NotSent()
}

type pendingRevocation struct {
	message  *wire.KeyRevocation
	observer RevocationObserver
}

// RevokeKey asks the node about a resend's key. The question goes out again on each
// new link until it is answered or forgotten: asking twice changes nothing. It
// returns ErrNoLink when the node is out of reach now.
func (p *Peer) RevokeKey(v *wire.KeyRevocation, patience clock.Millis, w RevocationObserver) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.lastUsed = now
	if p.conn == nil {
		p.Connect()
		if p.state == path.Lost || len(p.revocations) >= queueLength {
			return ErrNoLink
		}
	}
	if p.conn != nil {
		if err := p.conn.Send(v); err != nil {
			return errors.Trace(err)
		}
	}
	p.revocations[v.ID] = &pendingRevocation{message: v, observer: w}
	// An overdue answer makes the judge try a new link, while the entry can
	// still wait for an answer on it.
	p.detector.Sent(now, detectorID(revocationKey(v.ID)), now+patience/2)
	return nil
}

// ForgetRevocation drops the waiter of a question that was given up on.
func (p *Peer) ForgetRevocation(id wire.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeRevocation(id)
}

func (p *Peer) removeRevocation(id wire.RequestID) {
	if _, ok := p.revocations[id]; ok {
		delete(p.revocations, id)
		p.detector.Completed(p.config.Now(), detectorID(revocationKey(id)))
	}
}

// revocationKey is the key by which the path's judge knows a question: attempts
// count from 1.
func revocationKey(id wire.RequestID) lease.Key {
	return id.Key(0)
}

// resendRevocations sends the open questions on a new link.
func (p *Peer) resendRevocations(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.revocations {
		_ = conn.Send(one.message) // a link that fails again is replaced again
	}
}

// failRevocations ends the open questions: no link can be opened now.
func (p *Peer) failRevocations() {
	p.mu.Lock()
	waiters := make([]RevocationObserver, 0, len(p.revocations))
	for id, one := range p.revocations {
		waiters = append(waiters, one.observer)
		p.removeRevocation(id)
	}
	p.mu.Unlock()
	for _, w := range waiters {
		w.NotSent()
	}
}

func (p *Peer) handleRevocationReply(v *wire.KeyRevocationReply) {
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	one, ok := p.revocations[v.ID]
	p.removeRevocation(v.ID)
	p.mu.Unlock()
	if ok {
		one.observer.Revoked(v)
	}
}
