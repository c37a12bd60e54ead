package limit

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// RetrySchedule spreads the instants at which refused callers are to retry. If each
// got the same delay, callers refused in one burst would return in one burst and be
// refused again. Instead, each caller gets an instant after that of the caller before, at
// the rate at which work completes. The zero value is ready to use.
type RetrySchedule struct {
	// latest is the instant assigned last, in milliseconds.
	latest float64
}

const (
	// minRetryAfter keeps a caller from retrying before its refusal has reached it: a
	// round trip to callers at 8 ms one way, rounded up.
	minRetryAfter = 20
	// maxRetryAfter bounds the delay while the estimate is unbounded (a hung upstream
	// completes no work) and under lasting overload.
	maxRetryAfter = float64(30 * clock.Second)
	// jitterShare is the part of the delay that is added at random, so that callers of
	// several entries and gates that computed the same delay don't retry together.
	jitterShare = 0.25
)

// Next returns the delay after which a refused caller may retry. Before jitter, it is at
// least first milliseconds, ends interval milliseconds or more after the instant assigned
// to the previous caller, and is at most maxRetryAfter.
func (s *RetrySchedule) Next(now clock.Millis, first, interval float64, random *rand.Rand) clock.Millis {
	at := float64(now)
	s.latest = max(s.latest+interval, at+first, at+minRetryAfter)
	s.latest = min(s.latest, at+maxRetryAfter)
	delay := s.latest - at
	return clock.Millis(delay * (1 + jitterShare*random.Float64()))
}
