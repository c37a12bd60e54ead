// Package overload measures routing, queues and retries of one service under
// load, in virtual time: entries and gates as plain values that the decision
// packages drive, beside the usual rules as baselines. One seed gives the same
// figures on every run.
package overload

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Routing is how an entry picks an upstream.
type Routing uint8

// The values of Routing.
const (
	// TwoChoices is package choice.
	TwoChoices Routing = iota
	// RoundRobin takes each upstream in turn.
	RoundRobin
)

// Retries is when an entry sends a request again.
type Retries uint8

// The values of Retries.
const (
	// Budget is package retry.
	Budget Retries = iota
	// Unlimited sends again after each refusal and each Timeout.
	Unlimited
	// NoRetries never sends again.
	NoRetries
)

// Queue is how a gate queues requests.
type Queue uint8

// The values of Queue.
const (
	// DeadlineBound is package limit; what runs is cancelled at its deadline.
	DeadlineBound Queue = iota
	// Unbounded queues everything and runs it to its end, wanted or not.
	Unbounded
)

// RetryAfter is when refused callers come back.
type RetryAfter uint8

// The values of Comeback.
const (
	// Never means that a refused caller gives up.
	Never RetryAfter = iota
	// Computed is the RetryAfter of the refusal.
	Computed
	// Rounded is that in whole seconds, as the HTTP header says it.
	Rounded
	// Jittered is that and up to a second that the caller adds at random.
	Jittered
	// Constant is one second for all.
	Constant
)

// Config describes one run.
type Config struct {
	Seed      uint64
	Entries   int
	Upstreams int
	Domains   int
	Slots     int
	Waiting   int
	// Service is the mean time a request holds a slot; times are exponential.
	Service clock.Millis
	// Slow multiplies the times of the first upstream; 0 means 1.
	Slow int
	// EjectAt is when all entries set the first upstream aside; 0 means never.
	EjectAt clock.Millis
	// Load is the work offered as a share of the service's capacity.
	Load float64
	// Burst is the requests more that arrive within Service at a fifth of Span.
	Burst    int
	Deadline clock.Millis
	// Hop is the time one way between failure domains.
	Hop     clock.Millis
	Span    clock.Millis
	Routing Routing
	Queue   Queue
	Retries Retries
	// Share is the budget's share of requests.
	Share float64
	// Timeout is after how long a baseline sends an unanswered request again;
	// 0 means never.
	Timeout clock.Millis
	// Hedge is after how long a second copy is sent, from the budget; 0 means
	// never.
	Hedge      clock.Millis
	RetryAfter RetryAfter
}

// Result is what one run gave. A request that comes back counts once.
type Result struct {
	Requests int
	Served   int
	// Refused were told "not run" last, Late got no answer in time.
	Refused int
	Late    int
	// Attempts counts messages to gates, Refusals those answered "not run".
	Attempts int
	Refusals int
	// Useful is the slot time of requests answered in time, Wasted that of all
	// others, as shares of the capacity over Span.
	Useful float64
	Wasted float64
	// Waits are the times to the answer beyond the request's own, sorted.
	Waits []clock.Millis
}

// PerRequest returns the attempts for each request.
func (r *Result) PerRequest() float64 {
	return float64(r.Attempts) / float64(max(r.Requests, 1))
}

// Wait returns a quantile, from 0 to 1, of the waits of served requests.
func (r *Result) Wait(quantile float64) clock.Millis {
	if len(r.Waits) == 0 {
		return 0
	}
	i := int(quantile * float64(len(r.Waits)))
	return r.Waits[min(i, len(r.Waits)-1)]
}

// Run plays one run.
func Run(c Config) Result {
	w := newWorld(c)
	w.arrivals()
	w.events.run()
	capacity := float64(c.Upstreams*c.Slots) * float64(c.Span)
	w.result.Useful /= capacity
	w.result.Wasted /= capacity
	slices.Sort(w.result.Waits)
	return w.result
}
