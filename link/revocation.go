package link

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// RevocationObserver receives the result of RevokeKey. At most one of its methods is
// called, once. They must not block.
type RevocationObserver interface {
	// Revoked is called with the node's reply.
	Revoked(reply *wire.KeyRevocationReply)
	// NotSent is called if no link could be opened.
	NotSent()
}

// pendingRevocation is a revocation without a reply.
type pendingRevocation struct {
	message  *wire.KeyRevocation
	observer RevocationObserver
}

// RevokeKey revokes the key of a resend at the node and asks for the node's record of the
// key. The revocation is sent again on each new link until it is answered or forgotten; it
// is idempotent. The caller waits for the reply for at most waitBudget. RevokeKey returns
// ErrNoLink if the node can't be reached now, and ErrBusy or ErrClosed if the link refuses
// the message.
func (p *Peer) RevokeKey(message *wire.KeyRevocation, waitBudget clock.Millis, observer RevocationObserver) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.lastUsed = now
	if p.conn == nil {
		p.Connect()
		if p.draining != nil || p.state == path.Lost || len(p.revocations) >= queueLength {
			return ErrNoLink
		}
	}
	if p.conn != nil {
		if err := p.conn.Send(message); err != nil {
			return errors.Trace(err)
		}
	}
	p.revocations[message.ID] = &pendingRevocation{message: message, observer: observer}
	// The answer counts as overdue after half of the wait budget: the detector then asks
	// for a new link while the entry can still wait for an answer on it.
	p.detector.Sent(now, detectorID(revocationKey(message.ID)), now+waitBudget/2)
	return nil
}

// ForgetRevocation removes a revocation that the entry has given up. The observer isn't
// notified.
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

// revocationKey returns the key that identifies a revocation in calls of the path's
// detector. It differs from the keys of dispatches, whose attempts count from 1.
func revocationKey(id wire.RequestID) lease.Key {
	return id.Key(0)
}

// resendRevocations sends the pending revocations on a new link.
func (p *Peer) resendRevocations(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, revocation := range p.revocations {
		_ = conn.Send(revocation.message) // if this link fails too, the next one repeats it
	}
}

// failRevocations ends the pending revocations as not sent, because no link can be opened.
func (p *Peer) failRevocations() {
	p.mu.Lock()
	observers := make([]RevocationObserver, 0, len(p.revocations))
	for id, revocation := range p.revocations {
		observers = append(observers, revocation.observer)
		p.removeRevocation(id)
	}
	p.mu.Unlock()
	for _, observer := range observers {
		observer.NotSent()
	}
}

func (p *Peer) handleRevocationReply(reply *wire.KeyRevocationReply) {
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	revocation, ok := p.revocations[reply.ID]
	p.removeRevocation(reply.ID)
	p.mu.Unlock()
	if ok {
		revocation.observer.Revoked(reply)
	}
}
