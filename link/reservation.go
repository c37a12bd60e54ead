package link

import (
	"fuchsiapick.example/fuchsiapick/wire"
)

// ProbeCapacity asks the gate to reserve a slot. Without an open link the probe waits for
// the link that is being opened. onReply is called with the answer, possibly after the
// probe's wait budget, with nil if the probe couldn't be sent, or never; it must not block.
// ProbeCapacity returns ErrNoLink, ErrBusy or ErrClosed if the probe isn't sent; onReply is
// then never called.
func (p *Peer) ProbeCapacity(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacityProbes.send(p, probe.ID.Key(probe.Attempt), probe, onReply)
}

// ReleaseReservation removes a capacity probe or claim that the entry has given up, and notifies
// the gate that the slot isn't needed.
func (p *Peer) ReleaseReservation(r *wire.ReleaseReservation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.ID.Key(r.Attempt)
	request, ok := p.capacityProbes[key]
	delete(p.capacityProbes, key)
	if p.withdrawClaim(key) && p.conn != nil && (!ok || !request.unsent) {
		_ = p.conn.Send(r) // after a failure the reservation soon expires at the gate
	}
}

func (p *Peer) handleReservation(conn *Conn, r *wire.Reservation) {
	p.config.Observer.PeerUpstream(p.config.Address, r.Upstream)
	key := r.ID.Key(r.Attempt)
	now := p.config.Now()
	p.mu.Lock()
	p.detector.Received(now)
	p.observePeerTime(now, conn, r.Time)
	onReply, ok := p.capacityProbes.complete(p, key)
	p.answerClaim(key, r)
	p.mu.Unlock()
	if ok {
		onReply(r)
	}
}
