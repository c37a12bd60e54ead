package wire

import "fuchsiapick.example/fuchsiapick/clock"

// Enquiry asks a gate for a free slot before a request whose body is large is
// sent to it.
type Enquiry struct {
	_ struct{} `cbor:",toarray"`
	// ID and Attempt are those of the dispatch that follows.
	ID         RequestID
	Attempt    uint8
	Upstream   string
	Repeatable bool
	Forced     bool
	Priority   int
}

// Hold answers an Enquiry.
type Hold struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	// Held says that a slot is kept for the dispatch for a moment; without it
	// Reason says why the gate would refuse.
	Held       bool
	Reason     Reason
	RetryAfter clock.Millis
	Time       clock.Millis
	Upstream   Upstream
}

// Kind names the frame.
func (*Enquiry) Kind() Kind { return KindEnquiry }

// Kind names the frame.
func (*Hold) Kind() Kind { return KindHold }
