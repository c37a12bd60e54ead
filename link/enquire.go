package link

import (
	"fuchsiapick.example/fuchsiapick/wire"
)

// ProbeCapacity asks the gate for a slot; without an open link it waits for the one that
// is being opened. Told is called with the answer, perhaps after the enquiry's
// patience, with nil where nothing could be asked, or never; it must not block. After
// an error nothing is asked.
func (p *Peer) ProbeCapacity(e *wire.CapacityProbe, told func(*wire.Reservation)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacityProbes.send(p, e.ID.Key(e.Attempt), e, told)
}

// ReleaseReservation drops an enquiry that was given up on, and tells the gate.
func (p *Peer) ReleaseReservation(w *wire.ReleaseReservation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := w.ID.Key(w.Attempt)
	one, ok := p.capacityProbes[key]
	delete(p.capacityProbes, key)
	if p.conn != nil && (!ok || !one.unsent) {
		_ = p.conn.Send(w) // a slot that is kept is let go after a moment anyway
	}
}

func (p *Peer) handleReservation(h *wire.Reservation) {
	p.config.Observer.PeerUpstream(p.config.Address, h.Upstream)
	key := h.ID.Key(h.Attempt)
	now := p.config.Now()
	p.mu.Lock()
	p.detector.Received(now)
	p.estimate.Update(now, p.estimate.Incarnation(), h.Time)
	told, ok := p.capacityProbes.complete(p, key)
	p.mu.Unlock()
	if ok {
		told(h)
	}
}
