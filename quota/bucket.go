// Package quota decides how many requests of a client account a fleet of nodes admits
// together, though its nodes share no state. One node, the account's home, grants all of
// them; the others ask it, and remember enough to help a home that knows nothing yet and
// to go on for a while where none can be asked.
//
// It has no I/O, clocks or goroutines: instants come in, decisions go out.
package quota

import (
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// Limit is what an account may send.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is how many requests may come at once.
	Burst float64
}

// depth is the size of a bucket. One below a request would never admit any.
func (l Limit) depth() float64 {
	return max(l.Burst, 1)
}

// fallbackShare is the part of a limit that another node grants in the home's place: the home
// may go on for those that reach it.
const fallbackShare = 0.5

// Fallback is what a node grants while the homes before it are out of its reach. A small burst
// stays whole: half of it would refuse two requests of an account that come together.
func (l Limit) Fallback() Limit {
	return Limit{Rate: fallbackShare * l.Rate, Burst: max(fallbackShare*l.Burst, min(l.Burst, minInitial))}
}

const (
	// initialShare is the part of its burst with which a home begins that knows nothing of
	// the account, leastStart the requests that it grants in any case: a home before it
	// may have granted a whole burst a moment ago.
	initialShare = 0.5
	minInitial   = 4
	// failoverShare is the same for a home that hears of one that granted within the last
	// recently, and that has itself granted nothing for restingAfter.
	failoverShare = 0.25
	recentWindow  = 2 * clock.Second
	idleTimeout   = 500 * clock.Millis(1)
)

// bucket holds the requests that an account may send now, at its home.
type bucket struct {
	limit       Limit
	level       float64
	at          clock.Millis
	lastRequest clock.Millis // when it was asked last
	retryAfter  limit.RetrySchedule
}

func newBucket(now clock.Millis, l Limit) *bucket {
	start := min(max(initialShare*l.depth(), minInitial), l.depth())
	return &bucket{limit: l, level: start, at: now, lastRequest: now - idleTimeout}
}

// refill brings the level up to date, and to an edited limit.
func (b *bucket) refill(now clock.Millis, l Limit) {
	if now > b.at {
		b.level += b.limit.Rate * (now - b.at).Seconds()
		b.at = now
	}
	b.limit = l
	b.level = min(b.level, l.depth())
}

// applyHint takes in how much another home had left, as one who asked it says.
func (b *bucket) applyHint(now clock.Millis, h Hint) {
	isResting := now-b.lastRequest >= idleTimeout
	b.lastRequest = now
	if !h.Known {
		return
	}
	b.level = min(b.level, h.maxLeft(b.limit))
	if isResting && h.Age <= recentWindow {
		b.level = min(b.level, max(failoverShare*b.limit.depth(), 1))
	}
}

// take grants up to count requests.
func (b *bucket) take(count int) int {
	granted := min(count, int(math.Floor(max(b.level, 0))))
	b.level -= float64(granted)
	return granted
}

// scheduleRetries returns when each of count refused requests may come back, one after the other.
func (b *bucket) scheduleRetries(now clock.Millis, count int, random *rand.Rand) []clock.Millis {
	if count == 0 {
		return nil
	}
	gap := float64(clock.Second) / b.limit.Rate
	after := make([]clock.Millis, count)
	for i := range after {
		after[i] = b.retryAfter.Next(now, (1-b.level)*gap, gap, random)
	}
	return after
}

// Hint is what a node that asks knows of the account from another home, which it asked
// before this one.
type Hint struct {
	Known bool
	// Left is how many requests that home would have granted, some time ago.
	Left float64
	Age  clock.Millis
}

// maxLeft is the most that can be left by now.
func (h Hint) maxLeft(l Limit) float64 {
	return max(h.Left, 0) + l.Rate*max(h.Age, 0).Seconds()
}
