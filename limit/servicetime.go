package limit

import "fuchsiapick.example/fuchsiapick/clock"

// serviceTime estimates how long a request holds a slot: the time that slots were in use
// over the number of requests that completed (Little's law). Unlike the time between two
// completions, the estimate is also right while slots are idle, and it grows while
// requests hang and none completes.
type serviceTime struct {
	updatedAt clock.Millis
	// busyTime is the slot-milliseconds in use and completed the number of requests
	// completed, both decayed: they cover about the last serviceTimeWindow requests.
	busyTime  float64
	completed float64
}

const (
	// serviceTimeWindow is the number of recent requests that the estimate covers: about
	// ten for each slot of the smaller of today's upstreams (3 slots), so that
	// one request that takes ten times as long changes it by less than a third.
	serviceTimeWindow = 32
	// minServiceTimes is the number of requests that must have completed before the
	// estimate may be a reason to refuse a request: its standard error is then about a
	// third of it if service times are exponential.
	minServiceTimes = 8
	// initialServiceTime is the estimate in milliseconds until a request has completed:
	// today's upstreams answer a probe in about 25 ms.
	initialServiceTime = 25
	// maxStep bounds the time counted between two calls. The gate looks for expired
	// waiters more often than that; a longer gap means that this process was paused,
	// and the gap says nothing about the upstream.
	maxStep = clock.Second
)

// advance counts the time since the last call for the slots in use.
func (t *serviceTime) advance(now clock.Millis, running int) {
	if now <= t.updatedAt {
		return
	}
	t.busyTime += float64(min(now-t.updatedAt, maxStep)) * float64(running)
	t.updatedAt = now
}

// release counts one completed request.
func (t *serviceTime) release() {
	const decay = 1 - 1.0/serviceTimeWindow
	t.busyTime *= decay
	t.completed = t.completed*decay + 1
}

// mean returns the estimated milliseconds that a request holds a slot.
func (t *serviceTime) mean() float64 {
	if t.completed < 1 {
		return max(t.busyTime, initialServiceTime)
	}
	return t.busyTime / t.completed
}

// isReliable reports whether enough requests have completed to refuse others on the basis
// of the estimate.
func (t *serviceTime) isReliable() bool {
	return t.completed >= minServiceTimes
}

// meetsDeadline reports whether a request that gets its slot after wait milliseconds likely
// completes before its deadline. Work that its caller has abandoned only delays other work.
// Until the estimate is reliable, a deadline in the future is enough.
func (t *serviceTime) meetsDeadline(wait float64, deadline clock.Millis) bool {
	if !t.isReliable() {
		return deadline > t.updatedAt
	}
	return float64(t.updatedAt)+wait+max(t.mean(), 1) <= float64(deadline)
}
