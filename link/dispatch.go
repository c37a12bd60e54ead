package link

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

type pendingDispatch struct {
	dispatch *wire.Dispatch
	observer DispatchObserver
	queued   clock.Millis
	sent     clock.Millis
	unsent   bool
	partial  *wire.Reply
}

// Dispatch sends a request and fills in its incarnation and lease. Without an
// open link it waits for one that is being opened. It returns ErrNoLink,
// ErrBusy or ErrClosed when nothing was sent or will be.
func (p *Peer) Dispatch(d *wire.Dispatch, w DispatchObserver) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.lastUsed = now
	one := &pendingDispatch{dispatch: d, observer: w, queued: now}
	if p.conn != nil {
		return p.send(now, one)
	}
	p.Connect()
	if p.state == path.Lost || len(p.pending) >= queueLength {
		return ErrNoLink
	}
	one.unsent = true
	p.pending[d.ID.Key(d.Attempt)] = one
	return nil
}

// send gives a dispatch its lease and queues it on the link. The time that it
// waited for a link is taken from its budget.
func (p *Peer) send(now clock.Millis, one *pendingDispatch) error {
	d := one.dispatch
	d.Budget -= now - one.queued
	d.Incarnation = p.estimate.Incarnation()
	d.Lease = p.estimate.At(now) + d.Budget
	key := d.ID.Key(d.Attempt)
	if err := p.conn.Send(d); err != nil {
		delete(p.pending, key)
		return errors.Trace(err)
	}
	one.unsent, one.sent = false, now
	p.pending[key] = one
	p.startProbe(now)
	p.detector.Sent(now, detectorID(key), now+d.Budget)
	return nil
}

// detectorID is the number by which the path's judge knows a dispatch.
func detectorID(key lease.Key) uint64 {
	return key.Seq<<8 | uint64(key.Attempt)
}

// handleHungRun hands on that a dispatch's run most likely comes to no end.
func (p *Peer) handleHungRun(s *wire.HungRun) {
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	one, ok := p.pending[s.ID.Key(s.Attempt)]
	p.mu.Unlock()
	if ok {
		one.observer.Hung()
	}
}

// Resolve asks the gate what became of a dispatch and forbids it to begin one
// that it has not begun. The waiter is told.
func (p *Peer) Resolve(id wire.RequestID, attempt uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one, ok := p.pending[id.Key(attempt)]
	switch {
	case ok && one.unsent:
		p.remove(id.Key(attempt))
		one.observer.NotSent()
	case ok && p.conn != nil:
		_ = p.conn.Send(newResolve(one.dispatch)) // without an answer the outcome stays unknown
	}
}

// Withdraw takes back a dispatch that still waits for a link, and reports whether
// it did: nothing was sent then, and the waiter isn't told.
func (p *Peer) Withdraw(id wire.RequestID, attempt uint8) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := id.Key(attempt)
	one, ok := p.pending[key]
	if !ok || !one.unsent {
		return false
	}
	p.remove(key)
	return true
}

// Abandon says that the caller has left and drops the waiter.
func (p *Peer) Abandon(id wire.RequestID, attempt uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one, ok := p.pending[id.Key(attempt)]
	if ok && !one.unsent && p.conn != nil {
		settle := newResolve(one.dispatch)
		settle.Abandon = true
		_ = p.conn.Send(settle) // a lost link ends with the request's own deadline
	}
	p.remove(id.Key(attempt))
}

// Forget drops the waiter of a dispatch that was given up on.
func (p *Peer) Forget(id wire.RequestID, attempt uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(id.Key(attempt))
}

// failUnsent ends the dispatches that still wait for a link: none was sent.
func (p *Peer) failUnsent() {
	p.mu.Lock()
	var waiters []DispatchObserver
	for key, one := range p.pending {
		if one.unsent {
			waiters = append(waiters, one.observer)
			p.remove(key)
		}
	}
	p.mu.Unlock()
	for _, w := range waiters {
		w.NotSent()
	}
}

// sendQueued sends a dispatch that waited for the link, or ends it as not sent.
func (p *Peer) sendQueued(now clock.Millis, one *pendingDispatch) {
	own := *one.dispatch // the entry still reads the one it made
	one.dispatch = &own
	if now-one.queued >= one.dispatch.Budget || p.send(now, one) != nil {
		delete(p.pending, one.dispatch.ID.Key(one.dispatch.Attempt))
		one.observer.NotSent()
	}
}

func (p *Peer) remove(key lease.Key) {
	delete(p.pending, key)
	p.detector.Completed(p.config.Now(), detectorID(key))
}

func newResolve(d *wire.Dispatch) *wire.Resolve {
	return &wire.Resolve{ID: d.ID, Attempt: d.Attempt, Incarnation: d.Incarnation, Upstream: d.Upstream, Lease: d.Lease}
}
