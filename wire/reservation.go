package wire

import "fuchsiapick.example/fuchsiapick/clock"

// CapacityProbe asks a gate to reserve a slot. The entry sends the request itself only
// after the gate has reserved the slot.
type CapacityProbe struct {
	_ struct{} `cbor:",toarray"`
	// ID and Attempt are those of the dispatch that follows.
	ID         RequestID
	Attempt    uint8
	Upstream   string
	Repeatable bool
	// Retry is true if an upstream has received the request before, or may have.
	Retry bool
	// Forced asks the gate to reserve a slot in spite of its verdict, for the floor.
	Forced   bool
	Priority int
	// Budget is the time left until the request's deadline.
	Budget clock.Millis
	// WaitBudget is how long the request may wait for a slot; 0 asks for a free slot.
	WaitBudget clock.Millis
}

// Reservation answers a CapacityProbe, either immediately or when the request has reached
// the head of the queue.
type Reservation struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	// Reserved is true if the gate keeps a slot free for the dispatch for a short time. If
	// it is false, Reason says why the gate would refuse the dispatch.
	Reserved   bool
	Reason     Reason
	RetryAfter clock.Millis
	Time       clock.Millis
	Upstream   Upstream
}

// ReleaseReservation notifies a gate that a slot that the entry has probed for is no
// longer needed.
type ReleaseReservation struct {
	_        struct{} `cbor:",toarray"`
	ID       RequestID
	Attempt  uint8
	Upstream string
}

// Kind implements Message.
func (*CapacityProbe) Kind() Kind { return KindCapacityProbe }

// Kind implements Message.
func (*Reservation) Kind() Kind { return KindReservation }

// Kind implements Message.
func (*ReleaseReservation) Kind() Kind { return KindReleaseReservation }
