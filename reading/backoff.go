package reading

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Spans of a Backoff.
const (
	// defaultBackoff is the first span: a platform that only stumbled is read
	// again soon. What keeps a large fleet from calling too often is its Plan.
	defaultBackoff = clock.Second / 4
	// defaultBackoffMax is the longest span. With what a plan adds at the size
	// designed for, six seconds, a platform that is back is read by every node
	// that watches it well within the 19 seconds in which a change is to be in
	// force.
	defaultBackoffMax = 10 * clock.Second
)

// Backoff draws the spans between failed calls. When a platform comes back,
// nodes that wait alike call it together and may bring it down again. Each
// span is drawn from 0 to a bound that doubles with each failure, so that the
// calls of many nodes come evenly.
type Backoff struct {
	first, longest clock.Millis
	rand           *rand.Rand
	failures       int
}

// BackoffConfig describes a Backoff.
type BackoffConfig struct {
	// First and Longest bound the spans of the first and of later failures; 0
	// stands for a quarter of a second and for ten seconds.
	First, Longest clock.Millis
	// Seed draws the spans; nodes have different ones.
	Seed uint64
}

// NewBackoff returns a Backoff that has seen no failure.
func NewBackoff(config BackoffConfig) *Backoff {
	if config.First <= 0 {
		config.First = defaultBackoff
	}
	if config.Longest <= 0 {
		config.Longest = defaultBackoffMax
	}
	return &Backoff{
		first:   min(config.First, config.Longest),
		longest: config.Longest,
		rand:    rand.New(rand.NewPCG(config.Seed, backoffStream)),
	}
}

// Next returns the span to wait after one more failure, at least one
// millisecond.
func (b *Backoff) Next() clock.Millis {
	bound := b.longest
	if b.failures < maxDoublings {
		bound = min(bound, b.first<<b.failures)
	}
	b.failures++
	return 1 + clock.Millis(b.rand.Int64N(int64(bound)))
}

// maxDoublings keeps the doubled span from overflowing.
const maxDoublings = 20

// Reset is told that a call succeeded.
func (b *Backoff) Reset() {
	b.failures = 0
}
