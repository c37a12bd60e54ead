package link

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// ClaimObserver is notified of the progress of a claim. Its methods must not block, nor call
// the client that they are notified by. A claim ends with one call of Answered or Lost, unless
// the entry withdraws it.
type ClaimObserver interface {
	// Answered is called when the gate has granted or refused the claim.
	Answered(r *wire.Reservation)
	// Queued is called when the claim waits at its gate for about the given time. A gate of
	// an older release doesn't confirm claims; Queued is then called with 0 when the claim is
	// sent.
	Queued(wait clock.Millis)
	// Lost is called if the claim couldn't be sent, or if its link or the path to its gate is
	// lost.
	Lost()
}

// pendingClaim is a claim without an answer.
type pendingClaim struct {
	claim    *wire.SlotClaim
	observer ClaimObserver
	// conn is the link on which the claim was sent, nil while the claim waits for a link.
	conn   *Conn
	sentAt clock.Millis
}

// ClaimSlot sends a claim to its gate. Without an open link the claim waits for the link that
// is being opened. A claim isn't sent again on another link: its gate drops it with the link.
// ClaimSlot returns ErrNoLink, ErrBusy or ErrClosed if the claim isn't sent; the observer is
// then not called.
func (p *Peer) ClaimSlot(claim *wire.SlotClaim, observer ClaimObserver) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.lastUsed = now
	pending := &pendingClaim{claim: claim, observer: observer}
	if p.conn == nil {
		p.Connect()
		if p.draining != nil || p.state == path.Lost || len(p.claims) >= queueLength {
			return ErrNoLink
		}
	} else if err := p.sendClaim(now, pending); err != nil {
		return errors.Trace(err)
	}
	p.claims[claim.Probe.ID.Key(claim.Probe.Attempt)] = pending
	return nil
}

// sendClaim sends a claim on the open link, to a peer of an older release as a capacity probe.
// The caller holds the peer's lock.
func (p *Peer) sendClaim(now clock.Millis, pending *pendingClaim) error {
	var message wire.Message = pending.claim
	isOlder := !p.conn.Accepts(wire.KindSlotClaim)
	if isOlder {
		message = &pending.claim.Probe
	}
	if err := p.conn.Send(message); err != nil {
		return errors.Trace(err)
	}
	pending.conn, pending.sentAt = p.conn, now
	p.startProbe(now)
	if isOlder {
		pending.observer.Queued(0)
	}
	return nil
}

// flushClaims sends the claims that have waited for a link, and loses those that were sent on
// an earlier one. The caller holds the peer's lock.
func (p *Peer) flushClaims(now clock.Millis) {
	for key, pending := range p.claims {
		if pending.conn != nil || p.sendClaim(now, pending) != nil {
			delete(p.claims, key)
			pending.observer.Lost()
		}
	}
}

// loseClaims loses the claims that were sent on a link; nil stands for the claims that wait
// for a link.
func (p *Peer) loseClaims(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, pending := range p.claims {
		if pending.conn == conn {
			delete(p.claims, key)
			pending.observer.Lost()
		}
	}
}

// loseAllClaims loses all claims, since the path to their gates is lost.
func (p *Peer) loseAllClaims() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, pending := range p.claims {
		delete(p.claims, key)
		pending.observer.Lost()
	}
}

// hasClaimsOn reports whether a claim that was sent on a link has no answer. The caller holds
// the peer's lock.
func (p *Peer) hasClaimsOn(conn *Conn) bool {
	for _, pending := range p.claims {
		if pending.conn == conn {
			return true
		}
	}
	return false
}

// withdrawClaim removes a claim. It returns false for a claim that its gate has never got. The
// caller holds the peer's lock.
func (p *Peer) withdrawClaim(key lease.Key) (wasSent bool) {
	pending, ok := p.claims[key]
	delete(p.claims, key)
	return !ok || pending.conn != nil
}

// answerClaim passes the answer to a claim to its observer. The caller holds the peer's lock.
func (p *Peer) answerClaim(key lease.Key, r *wire.Reservation) {
	if pending, ok := p.claims[key]; ok {
		delete(p.claims, key)
		p.probe.Answered(pending.sentAt)
		pending.observer.Answered(r)
	}
}

func (p *Peer) handleClaimQueued(m *wire.ClaimQueued) {
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detector.Received(now)
	if pending, ok := p.claims[m.ID.Key(m.Attempt)]; ok {
		p.probe.Answered(pending.sentAt)
		pending.observer.Queued(m.Wait)
	}
}

// SendClaimQueued confirms to an entry that its claim waits. An entry that doesn't receive it
// withdraws the claim.
func (s *Server) SendClaimQueued(entry uint64, m *wire.ClaimQueued) {
	s.sendToEntry(entry, m)
}
