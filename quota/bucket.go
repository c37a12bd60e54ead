// Package quota limits the requests that a client account sends through a fleet of nodes
// that share no state. One node, the account's home, grants the requests of all nodes. The
// other nodes request quota from the home and keep what it returned: this helps a new home
// that knows nothing of the account, and lets a node admit requests for a while when it can
// reach no home.
//
// The package has no I/O, clocks or goroutines: callers pass in the time and act on the
// decisions.
package quota

import (
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// Limit is the quota of an account.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is how many requests may be sent at the same time.
	Burst float64
}

// depth returns the capacity of a bucket. A capacity below 1 would never admit a request.
func (l Limit) depth() float64 {
	return max(l.Burst, 1)
}

// Part returns a part of the limit. A small burst is not reduced: a part of it would refuse two
// requests of an account that arrive together.
func (l Limit) Part(share float64) Limit {
	return Limit{Rate: share * l.Rate, Burst: max(share*l.Burst, min(l.Burst, minInitial))}
}

const (
	// initialShare is the part of the burst that a home without a record of the account
	// starts with, minInitial the number of requests that it grants in any case: an earlier
	// home may have just granted a whole burst.
	initialShare = 0.5
	minInitial   = 4
	// failoverShare is the part of the burst that a home is limited to when it has had no
	// requests for idleTimeout and a hint says that another home granted requests within
	// recentWindow.
	failoverShare = 0.25
	recentWindow  = 2 * clock.Second
	idleTimeout   = 500 * clock.Millis(1)
)

// bucket is the token bucket of an account at its home.
type bucket struct {
	limit       Limit
	level       float64 // requests that may be sent at refilledAt
	refilledAt  clock.Millis
	lastRequest clock.Millis // time of the last request for quota
	retryAfter  limit.RetrySchedule
}

// newBucket returns the bucket of an account that the home has no record of.
func newBucket(now clock.Millis, l Limit) *bucket {
	initial := min(max(initialShare*l.depth(), minInitial), l.depth())
	return &bucket{limit: l, level: initial, refilledAt: now, lastRequest: now - idleTimeout}
}

// refill adds the tokens since the last refill and applies a limit that may have been
// edited.
func (b *bucket) refill(now clock.Millis, l Limit) {
	if now > b.refilledAt {
		b.level += b.limit.Rate * (now - b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.limit = l
	b.level = min(b.level, l.depth())
}

// applyHint lowers the level to what another home can have left, by the hint of the node
// that requests quota.
func (b *bucket) applyHint(now clock.Millis, h Hint) {
	isIdle := now-b.lastRequest >= idleTimeout
	b.lastRequest = now
	if !h.Known {
		return
	}
	b.level = min(b.level, h.maxLeft(b.limit))
	if isIdle && h.Age <= recentWindow {
		b.level = min(b.level, max(failoverShare*b.limit.depth(), 1))
	}
}

// take grants up to count requests and returns how many.
func (b *bucket) take(count int) int {
	granted := min(count, int(math.Floor(max(b.level, 0))))
	b.level -= float64(granted)
	return granted
}

// scheduleRetries returns the time until each of count refused requests may be sent again,
// in ascending order.
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

// Hint is what a requesting node knows of an account from the home that granted its last
// requests.
type Hint struct {
	Known bool
	// Left is how many more requests that home would have granted, Age ago.
	Left float64
	Age  clock.Millis
}

// maxLeft returns how many requests that home can have left now, at most.
func (h Hint) maxLeft(l Limit) float64 {
	return max(h.Left, 0) + l.Rate*max(h.Age, 0).Seconds()
}
