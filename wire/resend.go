package wire

import "fuchsiapick.example/fuchsiapick/clock"

// KeyRevocation asks a node what it knows of an idempotency key and forbids its gates
// to begin any send of the key that goes before this resend.
type KeyRevocation struct {
	_ struct{} `cbor:",toarray"`
	// ID is that of the resend.
	ID      RequestID
	Caller  string
	Service string
	Key     string
	Digest  []byte
	// Number is the one that the caller gave the resend.
	Number uint32
}

// KeyRevocationReply answers Void.
type KeyRevocationReply struct {
	_  struct{} `cbor:",toarray"`
	ID RequestID
	// KeyStatus is one of package resend's.
	KeyStatus uint8
	// Covers is how far back the node's memory of keys reaches.
	Covers clock.Millis
	// Version is that of the table in force at the node.
	Version uint64
	// Status, Headers, Body and Upstream are of the kept answer, if there is
	// one; it fits into one frame.
	Status   int
	Headers  Headers
	Body     []byte
	Upstream string
}

// Kind names the frame.
func (*KeyRevocation) Kind() Kind { return KindKeyRevocation }

// Kind names the frame.
func (*KeyRevocationReply) Kind() Kind { return KindKeyRevocationReply }
