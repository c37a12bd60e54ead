package limit

import "fuchsiapick.example/fuchsiapick/clock"

// drain estimates how long requests hold a slot, from the time that slots were
// held and the number of requests that ended (Little's law). Unlike the time
// between two ends it is right also while slots are idle, and it grows while
// requests hang and none ends.
type drain struct {
	now clock.Millis
	// held is the slot-milliseconds of the last requests, ended their number.
	held  float64
	ended float64
}

const (
	// drainMemory is how many of the last requests the estimate is over: some
	// ten for each slot of the smaller of today's upstreams (3 slots), so that
	// one request that takes ten times as long moves it by less than a third.
	drainMemory = 32
	// drainSure is how many must have ended before a request is refused on
	// the estimate's word: its standard error is then about a third of it when
	// service times are exponential.
	drainSure = 8
	// firstGuess is the milliseconds a request holds a slot until one has
	// ended: today's upstreams answer a probe in about 25 ms.
	firstGuess = 25
	// longestStep bounds the time counted between two calls. A driver looks
	// for expired waiters more often; a longer gap means that this process was
	// paused, and what it missed says nothing about its upstream.
	longestStep = clock.Second
)

// advance counts the time since the last call for the slots in use.
func (d *drain) advance(now clock.Millis, running int) {
	if now <= d.now {
		return
	}
	d.held += float64(min(now-d.now, longestStep)) * float64(running)
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
	if d.ended < 1 {
		return max(d.held, firstGuess)
	}
	return d.held / d.ended
}

// sure says whether requests may be refused on the estimate's word.
func (d *drain) sure() bool {
	return d.ended >= drainSure
}

// reaches says whether a request that gets its slot after the wait, in
// milliseconds, has the time left that requests usually take. Work that its
// caller won't wait for only delays the rest.
func (d *drain) reaches(wait float64, deadline clock.Millis) bool {
	if !d.sure() {
		return deadline > d.now
	}
	return float64(d.now)+wait+max(d.mean(), 1) <= float64(deadline)
}
