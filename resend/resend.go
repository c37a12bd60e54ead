// Package resend prevents a request with an idempotency key from running twice when its
// caller sends it again.
//
// A first send may go to any gate. A resend, which its caller marks with a number and the
// key's age, is first looked up at every node that may have received the key. Each of these
// nodes revokes the key, so that no earlier send can begin there any more, and returns what
// it knows of the key. The resend runs, at one of the nodes, only if all of them confirm
// that no send ran. Nothing is written to disk: each node replies from memory, and says how
// far back its records reach.
//
// The package only takes decisions; entry, gate and node act on them.
package resend

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Key identifies what must run at most once: one caller's idempotency key for one service.
type Key struct {
	Caller  string
	Service string
	Text    string
}

// Digest is a hash of a request's method, target and body.
type Digest [16]byte

// Precedence orders the sends of one key. The zero value is that of a first send. Of two
// resends, the one with the higher number takes precedence. The request's id, Entry and
// Seq, decides between equal numbers, so that only one of two concurrent resends runs.
type Precedence struct {
	Number uint32
	Entry  uint64
	Seq    uint64
}

// IsResend reports whether the send is a resend.
func (p Precedence) IsResend() bool {
	return p.Number > 0
}

// Less reports whether p has lower precedence than other.
func (p Precedence) Less(other Precedence) bool {
	switch {
	case p.Number != other.Number:
		return p.Number < other.Number
	case p.Entry != other.Entry:
		return p.Entry < other.Entry
	default:
		return p.Seq < other.Seq
	}
}

// Send is one send of a key as a node receives it.
type Send struct {
	Key        Key
	Digest     Digest
	Precedence Precedence
	// Received is when the entry received the request, by the clock of the node that checks
	// the send; GateCreated is when that node created the gate. Both are used for first
	// sends only.
	Received    clock.Millis
	GateCreated clock.Millis
}

// Status is what a node knows of a key. Its values are sent on links between nodes.
type Status uint8

// The statuses of a key at a node.
const (
	// Free means that no send ran at the node, as far back as its records reach.
	Free Status = iota + 1
	// Running means that an earlier send has begun and not ended.
	Running
	// Ran means that an earlier send ran and its reply is kept.
	Ran
	// Lost means that an earlier send ran, or may have run, and no reply is kept.
	Lost
	// Reused means that the key was used for another request.
	Reused
	// Superseded means that a resend with precedence has revoked the key.
	Superseded
	// Forgotten means that the node doesn't know: its records don't reach back far enough.
	Forgotten
)

// ErrMalformed reports a malformed idempotency key or resend header.
const ErrMalformed = errors.ConstError("malformed idempotency key or resend header")

const (
	// Retention is how long a key is recorded. Callers resend within seconds or a few
	// minutes, and the memory in use grows with the retention.
	Retention = 10 * clock.Minute
	// Margin is how much older a key may be than its stated age: a resend is in transit for
	// some time after its caller wrote the age, and other entries may have had an older
	// table in force for some seconds.
	Margin = 10 * clock.Second
	// DriftDivisor bounds how slow a caller's clock may run: by 1/DriftDivisor of the age.
	DriftDivisor = 100
)

// MaxAge returns the longest time ago at which a key with a stated age may have been sent
// first.
func MaxAge(age, margin clock.Millis) clock.Millis {
	return age + age/DriftDivisor + margin
}
