package node

import (
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/wire"
)

// localGates connects this node's entry to the node's own gates, without a link.
type localGates struct {
	node *Node
}

// Dispatch passes a request to the gate in this process.
func (l localGates) Dispatch(d *wire.Dispatch, w link.DispatchObserver) error {
	now := l.node.clock.Now()
	d.Incarnation = l.node.incarnation
	d.Lease = now + d.Budget
	l.node.localWaiters.add(d, w)
	l.node.handleDispatch(d, func(r *wire.Reply) {
		l.node.localWaiters.remove(d)
		l.node.entry.UpdateUpstream(r.Upstream)
		w.Replied(r)
	})
	return nil
}

// Resolve does nothing: a reply within one process can't be lost.
func (localGates) Resolve(wire.RequestID, uint8) {}

// ProbeCapacity passes a capacity probe to the gate in this process.
func (l localGates) ProbeCapacity(probe *wire.CapacityProbe, notify func(*wire.Reservation)) error {
	l.node.probeCapacity(probe, func(r *wire.Reservation) {
		l.node.entry.UpdateUpstream(r.Upstream)
		notify(r)
	})
	return nil
}

// ReleaseReservation releases a slot.
func (l localGates) ReleaseReservation(r *wire.ReleaseReservation) { l.node.ReleaseReservation(r) }

// Withdraw returns false: no dispatch waits for a link.
func (localGates) Withdraw(wire.RequestID, uint8) bool { return false }

// Abandon notifies the gate that nobody waits for the outcome.
func (l localGates) Abandon(id wire.RequestID, attempt uint8) {
	for _, g := range l.node.allGates() {
		g.Cancel(id, attempt)
	}
}

// KeepsAnnouncements returns true: both sides are of the same release.
func (localGates) KeepsAnnouncements() bool { return true }

// EnsureLink does nothing: there is no link to keep open.
func (localGates) EnsureLink() {}

// Forget does nothing: there is nothing to drop.
func (localGates) Forget(wire.RequestID, uint8) {}
