// Package lease keeps requests that may not be repeated from running twice.
//
// An entry gives every dispatch a lease: the latest instant of the gate's own
// clock at which the gate may begin it. Only the gate's clock judges a lease,
// so no two clocks need to agree. The package takes decisions only; entry and
// gate drive it.
package lease

import "fuchsiapick.example/fuchsiapick/clock"

// maxEstimateAge is the age at which an estimate gives way to any newer one, even a
// lower one: a gate's machine that was suspended, or whose clock runs slow,
// would otherwise get leases that are too long for ever after.
const maxEstimateAge = 5 * clock.Second

// ClockEstimate is an entry's estimate of one gate's clock.
//
// It guards against a dispatch that is read long after it was sent, by a gate
// that was paused or over a link that stalled: such a lease is over when the
// gate looks at its clock. The estimate never runs ahead of the gate's clock
// by more than drift, because a time that was heard was already past.
type ClockEstimate struct {
	incarnation uint64
	gateTime    clock.Millis
	receivedAt  clock.Millis
	known       bool
}

// Update takes in the gate's clock from any frame of the gate. It reports
// whether the gate has a new incarnation, whose clock starts anew.
func (e *ClockEstimate) Update(now clock.Millis, incarnation uint64, gate clock.Millis) bool {
	fresh := !e.known || incarnation != e.incarnation
	if fresh || gate >= e.At(now) || now-e.receivedAt > maxEstimateAge {
		e.gateTime, e.receivedAt = gate, now
	}
	changed := e.known && incarnation != e.incarnation
	e.incarnation, e.known = incarnation, true
	return changed
}

// Known reports whether the gate's clock was ever heard.
func (e *ClockEstimate) Known() bool {
	return e.known
}

// Incarnation returns the gate's incarnation as last heard.
func (e *ClockEstimate) Incarnation() uint64 {
	return e.incarnation
}

// At returns the estimate of the gate's clock at an instant of the entry's.
func (e *ClockEstimate) At(now clock.Millis) clock.Millis {
	return e.gateTime + now - e.receivedAt
}
