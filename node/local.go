package node

import (
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/wire"
)

// localTarget is the way from this node's entry to its own gates.
type localTarget struct {
	node *Node
}

// Dispatch hands a request to the gate in this process.
func (l localTarget) Dispatch(d *wire.Dispatch, w link.DispatchObserver) error {
	now := l.node.clock.Now()
	d.Incarnation = l.node.incarnation
	d.Lease = now + d.Budget
	l.node.localWaiters.add(d, w)
	l.node.handle(d, func(r *wire.Reply) {
		l.node.localWaiters.remove(d)
		l.node.entry.UpdateUpstream(r.Upstream)
		w.Replied(r)
	})
	return nil
}

// Resolve has nothing to ask: in one process a reply can't be lost.
func (localTarget) Resolve(wire.RequestID, uint8) {}

// ProbeCapacity asks the gate in this process.
func (l localTarget) ProbeCapacity(e *wire.CapacityProbe, told func(*wire.Reservation)) error {
	l.node.probeCapacity(e, func(h *wire.Reservation) {
		l.node.entry.UpdateUpstream(h.Upstream)
		told(h)
	})
	return nil
}

// ReleaseReservation lets go of a slot.
func (l localTarget) ReleaseReservation(w *wire.ReleaseReservation) { l.node.ReleaseReservation(w) }

// Withdraw has nothing that waits for a link.
func (localTarget) Withdraw(wire.RequestID, uint8) bool { return false }

// Abandon tells the gate that the caller has left.
func (l localTarget) Abandon(id wire.RequestID, attempt uint8) {
	for _, g := range l.node.allGates() {
		g.Cancel(id, attempt)
	}
}

// EnsureLink has no link to keep.
func (localTarget) EnsureLink() {}

// Forget has nothing to drop.
func (localTarget) Forget(wire.RequestID, uint8) {}
