package wire

import "fuchsiapick.example/fuchsiapick/clock"

// Enquiry asks a gate for a slot, for a request that is sent once a slot is kept.
type Enquiry struct {
	_ struct{} `cbor:",toarray"`
	// ID and Attempt are those of the dispatch that follows.
	ID         RequestID
	Attempt    uint8
	Upstream   string
	Repeatable bool
	// Retry says that an upstream has got the request before, or may have.
	Retry    bool
	Forced   bool
	Priority int
	// Budget is what is left of the request's deadline.
	Budget clock.Millis
	// Patience is how long it may wait for a slot; 0 asks for a free one.
	Patience clock.Millis
}

// Hold answers an Enquiry, at once or when its turn has come.
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

// Waive says that a slot which was asked for isn't wanted any more.
type Waive struct {
	_        struct{} `cbor:",toarray"`
	ID       RequestID
	Attempt  uint8
	Upstream string
}

// Kind names the frame.
func (*Enquiry) Kind() Kind { return KindEnquiry }

// Kind names the frame.
func (*Hold) Kind() Kind { return KindHold }

// Kind names the frame.
func (*Waive) Kind() Kind { return KindWaive }
