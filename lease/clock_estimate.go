// Package lease prevents requests that may not be repeated from running twice.
//
// An entry gives every dispatch a lease: the latest time, by the gate's own clock, at which
// the gate may begin the dispatch. Only the gate's clock decides whether a lease is over,
// so no two clocks need to agree. The package only takes decisions; entry and gate act on
// them.
package lease

import "fuchsiapick.example/fuchsiapick/clock"

// maxEstimateAge is the age from which an estimate is replaced by any newer one, even a
// lower one. Otherwise, a gate whose machine was suspended or whose clock runs slow would
// get leases that are too long from then on.
const maxEstimateAge = 5 * clock.Second

// ClockEstimate is an entry's estimate of one gate's clock.
//
// A lease made from it guards against a dispatch that is read long after it was sent, by a
// gate that was paused or over a link that stalled: such a lease is over when the gate
// checks its clock. The estimate never runs ahead of the gate's clock by more than the
// clocks' drift, because the time that a gate sends has already passed when the entry
// receives it.
type ClockEstimate struct {
	incarnation uint64
	gateTime    clock.Millis
	receivedAt  clock.Millis
	isKnown     bool
}

// Update records the gate's time from any frame that the gate has sent. It reports whether
// the gate has a new incarnation, whose clock starts again.
func (e *ClockEstimate) Update(now clock.Millis, incarnation uint64, gateTime clock.Millis) bool {
	isFirst := !e.isKnown || incarnation != e.incarnation
	if isFirst || gateTime >= e.At(now) || now-e.receivedAt > maxEstimateAge {
		e.gateTime, e.receivedAt = gateTime, now
	}
	isReplaced := e.isKnown && incarnation != e.incarnation
	e.incarnation, e.isKnown = incarnation, true
	return isReplaced
}

// Incarnation returns the gate's incarnation as last received.
func (e *ClockEstimate) Incarnation() uint64 {
	return e.incarnation
}

// At returns the estimate of the gate's clock at a time of the entry's clock.
func (e *ClockEstimate) At(now clock.Millis) clock.Millis {
	return e.gateTime + now - e.receivedAt
}
