// Package resend keeps a request with an idempotency key from running twice
// when its caller sends it again.
//
// A first send is free to go to any gate. A resend, which its caller marks with
// a number and the key's age, is first made known at every node that may have
// had the key: each voids the key, so that nothing sent before can begin there
// any more, and says what it knows. Only when all of them say that nothing
// ran does the resend run, at one of them. Nothing is written anywhere: each
// node answers from its memory, and says how far back that reaches.
//
// The package takes decisions only; entry, gate and node drive it.
package resend

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Key names what must run at most once: one caller's idempotency key for one
// service.
type Key struct {
	Caller  string
	Service string
	Text    string
}

// Digest tells a request's method, target and body from others.
type Digest [16]byte

// Precedence orders the sends of one key. The zero Ballot is an unmarked send. Of
// two resends the one with the higher number goes first; the request's id
// decides between equal numbers, so that of two at once only one runs.
type Precedence struct {
	Number uint32
	Entry  uint64
	Seq    uint64
}

// IsResend reports whether the send is marked as a resend.
func (b Precedence) IsResend() bool {
	return b.Number > 0
}

// Less reports whether b gives way to another.
func (b Precedence) Less(other Precedence) bool {
	switch {
	case b.Number != other.Number:
		return b.Number < other.Number
	case b.Entry != other.Entry:
		return b.Entry < other.Entry
	default:
		return b.Seq < other.Seq
	}
}

// Send is one send of a key as a node meets it.
type Send struct {
	Key        Key
	Digest     Digest
	Precedence Precedence
	// Received is when the entry received the request, in the clock of the
	// node that judges the claim, and Gate when the gate was made there. They
	// are used for unmarked sends only.
	Received    clock.Millis
	GateCreated clock.Millis
}

// Status is what a node knows of a key. Its numbers are part of the format
// of the links.
type Status uint8

// The standings of a key at a node.
const (
	// Free means that nothing ran here as far as the memory reaches.
	Free Status = iota + 1
	// Running means that an earlier send has begun and not ended.
	Running
	// Ran means that an earlier send ran and its answer is kept.
	Ran
	// Lost means that an earlier send ran, or may have, without an answer that
	// is kept.
	Lost
	// Reused means that the key was used for another request.
	Reused
	// Superseded means that a resend which goes first has voided the key.
	Superseded
	// Forgotten means that the memory doesn't reach back far enough to tell.
	Forgotten
)

// ErrMalformed reports a malformed idempotency key or resend mark.
const ErrMalformed = errors.ConstError("malformed idempotency key or resend mark")

const (
	// Retention is how long a key is remembered: callers that resend do so
	// within seconds or a few minutes, and memory grows with it.
	Retention = 10 * clock.Minute
	// Margin is by how much a key's age may be understated: a resend is under
	// way for some time after its caller wrote the age, and other entries had
	// an older table in force for some seconds.
	Margin = 10 * clock.Second
	// DriftDivisor is the part of its age by which a caller's clock may run slow.
	DriftDivisor = 100
)

// MaxAge is the longest time back at which a key of some age may have been sent
// first.
func MaxAge(age, margin clock.Millis) clock.Millis {
	return age + age/DriftDivisor + margin
}
