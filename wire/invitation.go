package wire

import "fuchsiapick.example/fuchsiapick/clock"

// Invitation asks an entry to send its next request that may be repeated to an
// upstream which has got none for too long.
type Invitation struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// For is how long it stands.
	For clock.Millis
}

// Stalled tells an entry that the run of one of its dispatches most likely comes to no end.
// The run goes on until it is abandoned.
type Stalled struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
}

// Kind names the frame.
func (*Stalled) Kind() Kind { return KindStalled }

// Kind names the frame.
func (*Invitation) Kind() Kind { return KindInvitation }
