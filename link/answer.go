package link

import (
	"fuchsiapick.example/fuchsiapick/wire"
)

// handleReply takes in the head of an answer. An answer to an attempt that isn't
// pending any more is dropped: it can't be taken for that of a later attempt,
// because the attempt is part of the key.
func (p *Peer) handleReply(r *wire.Reply) {
	p.config.Observer.PeerUpstream(p.config.Address, r.Upstream)
	key := r.ID.Key(r.Attempt)
	now := p.config.Now()
	p.mu.Lock()
	p.detector.Received(now)
	p.estimate.Update(now, p.estimate.Incarnation(), r.Time)
	one, ok := p.pending[key]
	if ok {
		p.probe.Answered(one.sent)
	}
	switch {
	case !ok:
		p.mu.Unlock()
		return
	case len(r.Body) < r.Length && r.Length <= p.config.MaxReplyBody:
		body := make([]byte, len(r.Body), r.Length)
		copy(body, r.Body)
		r.Body = body
		one.partial = r
		p.mu.Unlock()
		return
	case len(r.Body) != r.Length:
		markTruncated(r)
	}
	p.remove(key)
	p.mu.Unlock()
	one.observer.Replied(r)
}

// handleChunk takes in the next bytes of an answer. The caller gets the answer only
// once all of it stands: a missing or misplaced chunk makes it a torn one.
func (p *Peer) handleChunk(c *wire.Chunk) {
	key := c.ID.Key(c.Attempt)
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	one, ok := p.pending[key]
	if !ok || one.partial == nil {
		p.mu.Unlock()
		return
	}
	r := one.partial
	if c.Offset != len(r.Body) || len(r.Body)+len(c.Data) > r.Length {
		markTruncated(r)
	} else {
		r.Body = append(r.Body, c.Data...)
	}
	if len(r.Body) < r.Length {
		p.mu.Unlock()
		return
	}
	p.remove(key)
	p.mu.Unlock()
	one.observer.Replied(r)
}

func markTruncated(r *wire.Reply) {
	r.Outcome, r.Reason = wire.Broken, wire.ReasonTruncated
	r.Body, r.Length = nil, 0
}

// handleResolution takes in what the gate says of an undecided dispatch. One that has
// begun stays pending, for its reply follows.
func (p *Peer) handleResolution(s *wire.Resolution) {
	key := s.ID.Key(s.Attempt)
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	one, ok := p.pending[key]
	if ok {
		p.probe.Answered(one.sent)
	}
	if !ok || (!s.Revoked && !s.Unknown) {
		p.mu.Unlock()
		return
	}
	p.remove(key)
	p.mu.Unlock()
	one.observer.Resolved(s.Revoked)
}
