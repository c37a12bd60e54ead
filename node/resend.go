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
func (l local) RevokeKey(v *wire.KeyRevocation, _ clock.Millis, w link.RevocationObserver) error {
	w.Revoked(l.node.RevokeKey(v))
	return nil
}

// ForgetRevocation has nothing to drop: the answer is given at once.
func (local) ForgetRevocation(wire.RequestID) {}

// retire reports whether a peer that the table names no longer may go. It stays
// within reach as long as it may have run a key that is sent again.
func (n *Node) retire(p *peer) bool {
	now := n.clock.Now()
	if p.unnamed == 0 {
		p.unnamed = now
	}
	return now-p.unnamed > resend.Retention
}
