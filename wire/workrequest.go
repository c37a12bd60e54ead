package wire

import "fuchsiapick.example/fuchsiapick/clock"

// WorkRequest asks an entry to send its next repeatable request to an upstream that has
// received no request for too long.
type WorkRequest struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// TTL is how long the work request stays valid.
	TTL clock.Millis
}

// Kind implements Message.
func (*WorkRequest) Kind() Kind { return KindWorkRequest }
