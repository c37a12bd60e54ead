package wire

import "fuchsiapick.example/fuchsiapick/clock"

// CapacityProbe asks a gate for a slot, for a request that is sent once a slot is kept.
type CapacityProbe struct {
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
	// WaitBudget is how long it may wait for a slot; 0 asks for a free one.
	WaitBudget clock.Millis
}

// Reservation answers an Enquiry, at once or when its turn has come.
type Reservation struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	// Reserved says that a slot is kept for the dispatch for a moment; without it
	// Reason says why the gate would refuse.
	Reserved   bool
	Reason     Reason
	RetryAfter clock.Millis
	Time       clock.Millis
	Upstream   Upstream
}

// ReleaseReservation says that a slot which was asked for isn't wanted any more.
type ReleaseReservation struct {
	_        struct{} `cbor:",toarray"`
	ID       RequestID
	Attempt  uint8
	Upstream string
}

// Kind names the frame.
func (*CapacityProbe) Kind() Kind { return KindCapacityProbe }

// Kind names the frame.
func (*Reservation) Kind() Kind { return KindReservation }

// Kind names the frame.
func (*ReleaseReservation) Kind() Kind { return KindReleaseReservation }
