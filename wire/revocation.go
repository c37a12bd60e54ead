package wire

import "fuchsiapick.example/fuchsiapick/clock"

// KeyRevocation asks a node for its record of an idempotency key and forbids its gates to
// begin any send of the key that a resend supersedes.
type KeyRevocation struct {
	_ struct{} `cbor:",toarray"`
	// ID is the request ID of the resend.
	ID      RequestID
	Caller  string
	Service string
	Key     string
	Digest  []byte
	// Number is the sequence number that the caller gave the resend.
	Number uint32
}

// KeyRevocationReply answers a KeyRevocation.
type KeyRevocationReply struct {
	_  struct{} `cbor:",toarray"`
	ID RequestID
	// KeyStatus is a resend.Status.
	KeyStatus uint8
	// Covers is how far back the node's records of keys reach.
	Covers clock.Millis
	// Version is the version of the table in force at the node.
	Version uint64
	// Status, Headers, Body and Upstream are those of the retained answer, if there is one.
	// A retained answer fits into one frame.
	Status   int
	Headers  Headers
	Body     []byte
	Upstream string
}

// Kind implements Message.
func (*KeyRevocation) Kind() Kind { return KindKeyRevocation }

// Kind implements Message.
func (*KeyRevocationReply) Kind() Kind { return KindKeyRevocationReply }
