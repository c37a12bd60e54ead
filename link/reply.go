package link

import (
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/wire"
)

// handleReply handles a reply with the first part of its body. It drops a reply to an
// attempt that is no longer pending. Such a reply can't be mistaken for that of a later
// attempt, because the attempt is part of the key. A reply in several frames counts only on the
// link on which the dispatch was resolved last: one that the link has replaced may still bring
// parts of an earlier copy.
func (p *Peer) handleReply(conn *Conn, r *wire.Reply) {
	p.config.Observer.PeerUpstream(p.config.Address, r.Upstream)
	key := r.ID.Key(r.Attempt)
	now := p.config.Now()
	p.mu.Lock()
	p.detector.Received(now)
	p.observePeerTime(now, conn, r.Time)
	pending, ok := p.pending[key]
	if ok {
		p.probe.Answered(pending.sentAt)
	}
	switch {
	case !ok:
		p.mu.Unlock()
		return
	case len(r.Body) < r.Length && pending.conn != conn:
		p.mu.Unlock()
		return
	case len(r.Body) < r.Length && p.allocateBody(r):
		pending.partial = r
		p.mu.Unlock()
		return
	case len(r.Body) != r.Length:
		markTruncated(r)
	}
	p.removePending(key)
	p.mu.Unlock()
	if pending.isLinkReplaced && r.Outcome == wire.NotRun && r.Reason == wire.ReasonRevoked {
		pending.observer.Resolved(true) // the refusal of the late frame has overtaken the resolution
		return
	}
	pending.observer.Replied(r)
}

// allocateBody gives a reply whose body comes in several frames room for all of it. It returns false if the
// body is too large or the node has no memory for it: to wait would hold up the link.
func (p *Peer) allocateBody(r *wire.Reply) bool {
	if r.Length > p.config.MaxReplyBody {
		return false
	}
	body, ok := p.shared().Answers.Buffer(r.Length)
	if !ok {
		logging.Repeatable(p.log.WithField("bytes", r.Length)).Log(logrus.WarnLevel, "answer dropped; no memory is left for it")
		return false
	}
	r.Body = body[:copy(body, r.Body)]
	return true
}

// handleChunk appends body bytes to a reply. The observer gets the reply only once its
// body is complete. A missing or misplaced chunk makes the reply a truncated one.
func (p *Peer) handleChunk(conn *Conn, c *wire.Chunk) {
	key := c.ID.Key(c.Attempt)
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	pending, ok := p.pending[key]
	if !ok || pending.partial == nil || pending.conn != conn {
		p.mu.Unlock()
		return
	}
	r := pending.partial
	if c.Offset != len(r.Body) || len(r.Body)+len(c.Data) > r.Length {
		markTruncated(r)
	} else {
		r.Body = append(r.Body, c.Data...)
	}
	if len(r.Body) < r.Length {
		p.mu.Unlock()
		return
	}
	p.removePending(key)
	p.mu.Unlock()
	pending.observer.Replied(r)
}

// markTruncated turns a reply with an incomplete body into a broken one.
func markTruncated(r *wire.Reply) {
	r.Outcome, r.Reason = wire.Broken, wire.ReasonTruncated
	r.Body, r.Length = nil, 0
}

// handleResolution handles the gate's answer to a Resolve. A dispatch that has begun stays
// pending, because its reply follows.
func (p *Peer) handleResolution(r *wire.Resolution) {
	key := r.ID.Key(r.Attempt)
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	pending, ok := p.pending[key]
	if ok {
		p.probe.Answered(pending.sentAt)
	}
	if !ok || (!r.Revoked && !r.Unknown) {
		p.mu.Unlock()
		return
	}
	p.removePending(key)
	p.mu.Unlock()
	pending.observer.Resolved(r.Revoked)
}

// sendReply splits a long body into several frames, so that a large reply doesn't delay
// the small ones after it.
func sendReply(c *Conn, r *wire.Reply) error {
	if len(r.Body) <= wire.ChunkSize {
		return c.Send(r)
	}
	head := *r
	head.Body = r.Body[:wire.ChunkSize]
	if err := c.Send(&head); err != nil {
		return errors.Trace(err)
	}
	for offset := wire.ChunkSize; offset < len(r.Body); offset += wire.ChunkSize {
		end := min(offset+wire.ChunkSize, len(r.Body))
		chunk := &wire.Chunk{ID: r.ID, Attempt: r.Attempt, Offset: offset, Data: r.Body[offset:end]}
		if err := c.Send(chunk); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
