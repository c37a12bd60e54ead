package node

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/wire"
)

// ClaimSlot answers a claim of another node's entry.
func (n *Node) ClaimSlot(from uint64, c *wire.SlotClaim) {
	n.claimSlot(c,
		func(r *wire.Reservation) { n.links.SendReservation(from, r) },
		func(m *wire.ClaimQueued) { n.links.SendClaimQueued(from, m) })
}

// claimSlot passes a claim to its gate. Without such a gate it answers immediately that nothing
// is reserved.
func (n *Node) claimSlot(c *wire.SlotClaim, answer func(*wire.Reservation), confirm func(*wire.ClaimQueued)) {
	g, ok := n.gate(c.Probe.Upstream)
	if !ok {
		n.probeCapacity(&c.Probe, answer)
		return
	}
	g.ClaimSlot(c, answer, confirm)
}

// EntryLost drops the claims of an entry whose last link to this node ended at the given time.
func (n *Node) EntryLost(entry uint64, at clock.Millis) {
	for _, g := range n.allGates() {
		g.DropClaims(entry, at)
	}
}

// ClaimSlot passes a claim to the gate in this process.
func (l localGates) ClaimSlot(c *wire.SlotClaim, observer link.ClaimObserver) error {
	l.node.claimSlot(c, func(r *wire.Reservation) {
		l.node.entry.UpdateUpstream(r.Upstream)
		observer.Answered(r)
	}, func(m *wire.ClaimQueued) { observer.Queued(m.Wait) })
	return nil
}
