package limit

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// RetrySchedule spreads the instants at which refused callers are told to come
// back. Were each told the same span, those refused in one burst would come
// back as one burst and be refused again; instead each gets the place after
// the one before, at the rate at which work drains. The zero value is ready.
type RetrySchedule struct {
	// last is the instant given last, in milliseconds.
	last float64
}

const (
	// minRetryAfter keeps a caller from coming back before its refusal has
	// reached it: a round trip to callers at 8 ms one way, rounded up.
	minRetryAfter = 20
	// maxRetryAfter bounds the promise while the estimate is unbounded (an
	// upstream that hangs drains nothing) and under lasting overload.
	maxRetryAfter = float64(30 * clock.Second)
	// jitterShare is the part of the span added at random, so that callers of
	// several entries and gates that computed alike don't meet.
	jitterShare = 0.25
)

// Next returns the span until the next place: at least first milliseconds
// from now and gap after the place given last.
func (c *RetrySchedule) Next(now clock.Millis, first, gap float64, random *rand.Rand) clock.Millis {
	at := float64(now)
	c.last = max(c.last+gap, at+first, at+minRetryAfter)
	c.last = min(c.last, at+maxRetryAfter)
	span := c.last - at
	return clock.Millis(span * (1 + jitterShare*random.Float64()))
}
