package node

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/resend"
	"fuchsiapick.example/fuchsiapick/wire"
)

// RevokeKey says what this node knows of a resend's key and forbids its gates to
// begin earlier sends. The memory is the node's, not a gate's: it answers also
// for gates that a table edit has removed.
func (n *Node) RevokeKey(v *wire.KeyRevocation) *wire.KeyRevocationReply {
	out := n.keys.Revoke(v)
	out.Version = n.version()
	return out
}

// RevokeKey asks the gates in this process.
func (l localTarget) RevokeKey(v *wire.KeyRevocation, _ clock.Millis, w link.RevocationObserver) error {
	w.Revoked(l.node.RevokeKey(v))
	return nil
}

// ForgetRevocation has nothing to drop: the answer is given at once.
func (localTarget) ForgetRevocation(wire.RequestID) {}

// canRemovePeer reports whether a peer that the table names no longer may go. It stays
// within reach as long as it may have run a key that is sent again.
func (n *Node) canRemovePeer(p *peer) bool {
	now := n.clock.Now()
	if p.removedAt == 0 {
		p.removedAt = now
	}
	return now-p.removedAt > resend.Retention
}
