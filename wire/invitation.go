package wire

import "fuchsiapick.example/fuchsiapick/clock"

// WorkRequest asks an entry to send its next request that may be repeated to an
// upstream which has got none for too long.
type WorkRequest struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// TTL is how long it stands.
	TTL clock.Millis
}

// Kind names the frame.
func (*WorkRequest) Kind() Kind { return KindWorkRequest }
