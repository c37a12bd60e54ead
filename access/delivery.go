package access

import "fuchsiapick.example/fuchsiapick/clock"

// Delivery holds the times in which a request of a caller was handled and answered.
type Delivery struct {
	// Queued is the time from the request's arrival in full until the entry handled it, Took
	// the time until its final answer, and Written the time until the answer was written.
	Queued, Took, Written clock.Millis
	// Overrun is how long after the request's timeout the answer was written. It isn't more
	// than 0 if that was in time.
	Overrun clock.Millis
}

// Phase is a part of the time that a caller waits.
type Phase string

// The values of Phase.
const (
	PhaseQueued  Phase = "queued"
	PhaseHandled Phase = "handled"
	PhaseWritten Phase = "written"
)

// Phases holds all values of Phase.
var Phases = []Phase{PhaseQueued, PhaseHandled, PhaseWritten}

// maxOverrun is the delay after a request's timeout up to which its answer counts as in time.
const maxOverrun = 100 * clock.Millis(1)

// IsLate reports whether the answer came later than the request's timeout allows.
func (d *Delivery) IsLate() bool {
	return d.Overrun > maxOverrun
}

// LatePhase returns the phase without which a late answer would have been in time, the last one
// if there are several.
func (d *Delivery) LatePhase() Phase {
	switch {
	case d.Written >= d.Overrun:
		return PhaseWritten
	case d.Queued >= d.Overrun:
		return PhaseQueued
	default:
		return PhaseHandled
	}
}
