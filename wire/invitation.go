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

// Kind names the frame.
func (*Invitation) Kind() Kind { return KindInvitation }
