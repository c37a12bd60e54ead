package link

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// pendingDispatch is a dispatch whose outcome is not known yet.
type pendingDispatch struct {
	dispatch *wire.Dispatch
	observer DispatchObserver
	queuedAt clock.Millis
	sentAt   clock.Millis
	// conn is the link on which the dispatch was sent or resolved last.
	conn *Conn
	// unsent is true while the dispatch waits for a link. isLinkReplaced means that the link on which
	// it was sent was replaced.
	unsent, isLinkReplaced bool
	// partial is the reply while body bytes are missing, nil otherwise.
	partial *wire.Reply
}

// Dispatch sends a request after it has filled in its incarnation and lease. Without an
// open link the request waits for the link that is being opened. Dispatch returns
// ErrNoLink, ErrBusy or ErrClosed if the request was not sent and never will be; the
// observer is not called then.
func (p *Peer) Dispatch(d *wire.Dispatch, observer DispatchObserver) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.lastUsed = now
	pending := &pendingDispatch{dispatch: d, observer: observer, queuedAt: now}
	if p.conn != nil {
		return p.sendDispatch(now, pending)
	}
	p.Connect()
	if p.draining != nil || p.state == path.Lost || len(p.pending) >= queueLength {
		return ErrNoLink
	}
	pending.unsent = true
	p.pending[d.ID.Key(d.Attempt)] = pending
	return nil
}

// sendDispatch sets the lease of a dispatch and queues the dispatch on the link. The time
// that it has waited for a link is deducted from its budget. The caller holds the peer's
// lock.
func (p *Peer) sendDispatch(now clock.Millis, pending *pendingDispatch) error {
	d := pending.dispatch
	d.Budget -= now - pending.queuedAt
	d.Incarnation = p.estimate.Incarnation()
	d.Lease = p.estimate.At(now) + d.Budget
	key := d.ID.Key(d.Attempt)
	if err := p.conn.Send(d); err != nil {
		delete(p.pending, key)
		return errors.Trace(err)
	}
	pending.unsent, pending.sentAt, pending.conn = false, now, p.conn
	p.pending[key] = pending
	p.startProbe(now)
	p.detector.Sent(now, detectorID(key), now+d.Budget)
	return nil
}

// detectorID returns the ID of a dispatch in calls of the path's detector.
func detectorID(key lease.Key) uint64 {
	return key.Seq<<8 | uint64(key.Attempt)
}

// handleHungRun notifies the observer that the run of a dispatch has most likely hung.
func (p *Peer) handleHungRun(r *wire.HungRun) {
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	pending, ok := p.pending[r.ID.Key(r.Attempt)]
	p.mu.Unlock()
	if ok {
		pending.observer.Hung()
	}
}

// Resolve asks the gate for the outcome of a dispatch and revokes a dispatch that the gate
// has not begun. The observer is notified of the answer. A dispatch that still waits for a
// link ends as not sent.
func (p *Peer) Resolve(id wire.RequestID, attempt uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending, ok := p.pending[id.Key(attempt)]
	switch {
	case ok && pending.unsent:
		p.removePending(id.Key(attempt))
		pending.observer.NotSent()
	case ok:
		_ = pending.conn.Send(newResolve(pending.dispatch)) // after a failure the outcome stays unknown
	}
}

// Withdraw removes a dispatch that still waits for a link and reports whether it did.
// Nothing was sent then, and the observer isn't notified.
func (p *Peer) Withdraw(id wire.RequestID, attempt uint8) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := id.Key(attempt)
	pending, ok := p.pending[key]
	if !ok || !pending.unsent {
		return false
	}
	p.removePending(key)
	return true
}

// Abandon notifies the gate that nobody waits for the outcome, and removes the dispatch.
// The observer isn't notified.
func (p *Peer) Abandon(id wire.RequestID, attempt uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending, ok := p.pending[id.Key(attempt)]
	if ok && !pending.unsent {
		resolve := newResolve(pending.dispatch)
		resolve.Abandon = true
		_ = pending.conn.Send(resolve) // after a failure the run ends with the request's own deadline
	}
	p.removePending(id.Key(attempt))
}

// Forget removes a dispatch that the entry has given up. The observer isn't notified.
func (p *Peer) Forget(id wire.RequestID, attempt uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removePending(id.Key(attempt))
}

// failUnsent ends the dispatches that still wait for a link as not sent.
func (p *Peer) failUnsent() {
	p.mu.Lock()
	var observers []DispatchObserver
	for key, pending := range p.pending {
		if pending.unsent {
			observers = append(observers, pending.observer)
			p.removePending(key)
		}
	}
	p.mu.Unlock()
	for _, observer := range observers {
		observer.NotSent()
	}
}

// sendQueued sends a dispatch that has waited for a link. If its budget is used up or the
// link refuses it, the dispatch ends as not sent.
func (p *Peer) sendQueued(now clock.Millis, pending *pendingDispatch) {
	copied := *pending.dispatch // the entry still reads the original
	pending.dispatch = &copied
	if now-pending.queuedAt >= pending.dispatch.Budget || p.sendDispatch(now, pending) != nil {
		delete(p.pending, pending.dispatch.ID.Key(pending.dispatch.Attempt))
		pending.observer.NotSent()
	}
}

// removePending removes a dispatch. The caller holds the peer's lock.
func (p *Peer) removePending(key lease.Key) {
	delete(p.pending, key)
	p.detector.Completed(p.config.Now(), detectorID(key))
}

func newResolve(d *wire.Dispatch) *wire.Resolve {
	return &wire.Resolve{ID: d.ID, Attempt: d.Attempt, Incarnation: d.Incarnation, Upstream: d.Upstream, Lease: d.Lease}
}
