package limit

import "fuchsiapick.example/fuchsiapick/clock"

// serviceTime estimates how long requests hold a slot, from the time that slots were
// held and the number of requests that ended (Little's law). Unlike the time
// between two ends it is right also while slots are idle, and it grows while
// requests hang and none ends.
type serviceTime struct {
	now clock.Millis
	// busyTime is the slot-milliseconds of the last requests, ended their number.
	busyTime float64
	ended    float64
}

const (
	// serviceTimeWindow is how many of the last requests the estimate is over: some
	// ten for each slot of the smaller of today's upstreams (3 slots), so that
	// one request that takes ten times as long moves it by less than a third.
	serviceTimeWindow = 32
	// minServiceTimes is how many must have ended before a request is refused on
	// the estimate's word: its standard error is then about a third of it when
	// service times are exponential.
	minServiceTimes = 8
	// initialServiceTime is the milliseconds a request holds a slot until one has
	// ended: today's upstreams answer a probe in about 25 ms.
	initialServiceTime = 25
	// maxStep bounds the time counted between two calls. A driver looks
	// for expired waiters more often; a longer gap means that this process was
	// paused, and what it missed says nothing about its upstream.
	maxStep = clock.Second
)

// advance counts the time since the last call for the slots in use.
func (d *serviceTime) advance(now clock.Millis, running int) {
	if now <= d.now {
		return
	}
	d.busyTime += float64(min(now-d.now, maxStep)) * float64(running)
	d.now = now
}

// release counts one request that ended.
func (d *serviceTime) release() {
	const kept = 1 - 1.0/serviceTimeWindow
	d.busyTime *= kept
	d.ended = d.ended*kept + 1
}

// mean estimates the milliseconds that a request holds a slot.
func (d *serviceTime) mean() float64 {
	if d.ended < 1 {
		return max(d.busyTime, initialServiceTime)
	}
	return d.busyTime / d.ended
}

// isReliable says whether requests may be refused on the estimate's word.
func (d *serviceTime) isReliable() bool {
	return d.ended >= minServiceTimes
}

// meetsDeadline says whether a request that gets its slot after the wait, in
// milliseconds, has the time left that requests usually take. Work that its
// caller won't wait for only delays the rest.
func (d *serviceTime) meetsDeadline(wait float64, deadline clock.Millis) bool {
	if !d.isReliable() {
		return deadline > d.now
	}
	return float64(d.now)+wait+max(d.mean(), 1) <= float64(deadline)
}
