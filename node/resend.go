package node

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/resend"
	"fuchsiapick.example/fuchsiapick/wire"
)

// RevokeKey returns what this node has recorded about the idempotency key of a resend, and
// forbids its gates to begin earlier sends. The node holds the records, not a gate, so that
// they also cover gates that a table edit has removed.
func (n *Node) RevokeKey(r *wire.KeyRevocation) *wire.KeyRevocationReply {
	reply := n.keys.Revoke(r)
	reply.Version = n.version()
	return reply
}

// RevokeKey looks the key up in this process and calls the observer before it returns.
func (l localGates) RevokeKey(r *wire.KeyRevocation, _ clock.Millis, w link.RevocationObserver) error {
	w.Revoked(l.node.RevokeKey(r))
	return nil
}

// ForgetRevocation does nothing: RevokeKey gives its answer immediately.
func (localGates) ForgetRevocation(wire.RequestID) {}

// canRemovePeer reports whether a peer that the table no longer names can be removed. The
// peer is kept for resend.Retention, as long as it may have run an idempotency key that is
// sent again.
func (n *Node) canRemovePeer(p *peer) bool {
	now := n.clock.Now()
	if p.removedAt == 0 {
		p.removedAt = now
	}
	return now-p.removedAt > resend.Retention
}
