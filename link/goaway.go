package link

import (
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// goAwayTimeout is how long a peer may take to answer what was sent before its GoAway. Then a
	// new link is opened, on which the unanswered dispatches are resolved.
	goAwayTimeout = clock.Second
	// finishTimeout bounds the wait for the last frames of a link when this node stops.
	finishTimeout = 100 * time.Millisecond
)

// handleGoAway stops sending on a link, which is closed once all that was sent on it is answered.
func (p *Peer) handleGoAway(conn *Conn) {
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detector.Received(now)
	if p.conn != conn {
		return // a newer link has replaced it
	}
	p.conn, p.draining, p.drainingSince = nil, conn, now
	p.detector.Closed(now)
	p.finishDrained()
}

// finishDrained closes the draining link if all that was sent on it is answered. The caller holds
// the peer's lock.
func (p *Peer) finishDrained() {
	if p.draining == nil || len(p.revocations) > 0 || p.capacityProbes.hasSent() || p.quotaRequests.hasSent() || p.hasClaimsOn(p.draining) {
		return
	}
	for _, pending := range p.pending {
		if !pending.unsent && pending.conn == p.draining {
			return
		}
	}
	p.draining.Finish()
	p.draining = nil
}

// awaitsDrained reports whether no new link is to be opened, because the peer may still answer on
// the draining one. The caller holds the peer's lock.
func (p *Peer) awaitsDrained(now clock.Millis) bool {
	return p.draining != nil && now-p.drainingSince <= goAwayTimeout
}

// finishConns closes the links when this node stops.
func (p *Peer) finishConns() {
	p.mu.Lock()
	conns := []*Conn{p.conn, p.draining}
	p.conn, p.draining = nil, nil
	p.mu.Unlock()
	timeout := time.After(finishTimeout)
	for _, conn := range conns {
		if conn == nil {
			continue
		}
		conn.Finish()
		select {
		case <-conn.Done():
		case <-timeout:
			conn.Close()
		}
	}
}
