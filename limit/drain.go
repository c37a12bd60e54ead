package limit

import "fuchsiapick.example/fuchsiapick/clock"

// drain estimates how long requests hold a slot, from the time that slots were
// held and the number of requests that ended (Little's law). Unlike the time
// between two ends it is right also while slots are idle, and it grows while
// requests hang and none ends.
type drain struct {
	now clock.Millis
	// held is the slot-milliseconds of late, ended the requests that ended.
	held  float64
	ended float64
}

const (
	// drainMemory is how many of the last requests the estimate is over: some
	// ten for each slot of today's upstreams (3), so that one slow request
	// moves it by a few hundredths.
	drainMemory = 32
	// drainSure is how many must have ended before a request is refused on
	// the estimate's word.
	drainSure = 8
)

// advance counts the time since the last call for the slots in use.
func (d *drain) advance(now clock.Millis, running int) {
	if now <= d.now {
		return
	}
	d.held += float64(now-d.now) * float64(running)
	d.now = now
}

// release counts one request that ended.
func (d *drain) release() {
	const kept = 1 - 1.0/drainMemory
	d.held *= kept
	d.ended = d.ended*kept + 1
}

// mean estimates the milliseconds that a request holds a slot.
func (d *drain) mean() float64 {
	return d.held / max(d.ended, 1)
}

// need is the time that a request must have left when it gets a slot: 0 until
// enough requests have ended.
func (d *drain) need() clock.Millis {
	if d.ended < drainSure {
		return 0
	}
	return clock.Millis(d.mean())
}
