// Package overload measures routing, queues and retries of one service under load, in
// virtual time. Simulated entries and gates use the project's packages choice, retry and
// limit, or the rules of common proxies as baselines. The same seed gives the same figures
// on every run.
package overload

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Routing is how an entry chooses an upstream.
type Routing uint8

// The values of Routing.
const (
	// TwoChoices uses package choice.
	TwoChoices Routing = iota
	// RoundRobin uses the upstreams in turn.
	RoundRobin
)

// Retries is the rule by which an entry sends a request again.
type Retries uint8

// The values of Retries.
const (
	// Budget uses package retry.
	Budget Retries = iota
	// Unlimited sends a request again after each refusal and each Timeout.
	Unlimited
	// NoRetries never sends a request again.
	NoRetries
)

// Queue is how a gate queues requests.
type Queue uint8

// The values of Queue.
const (
	// DeadlineBound uses package limit. Running requests are cancelled at their deadline.
	DeadlineBound Queue = iota
	// Unbounded queues all requests and runs them to their end, also when their
	// callers no longer wait.
	Unbounded
)

// RetryAfter is when the caller of a refused request sends it again.
type RetryAfter uint8

// The values of RetryAfter.
const (
	// Never means that the caller gives up.
	Never RetryAfter = iota
	// Computed is the time that the refusal gives as RetryAfter.
	Computed
	// Rounded is the computed time rounded up to whole seconds, as in the HTTP
	// header.
	Rounded
	// Jittered is the rounded time plus a random part of a second.
	Jittered
	// Constant is one second for all callers.
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
	// Service is the mean time that a request holds a slot. Times have an
	// exponential distribution.
	Service clock.Millis
	// Slow multiplies the service times of the first upstream; 0 means 1.
	Slow int
	// EjectAt is when all entries eject the first upstream; 0 means never.
	EjectAt clock.Millis
	// Load is the offered load as a share of the service's capacity.
	Load float64
	// Burst is the number of additional requests that arrive at a fifth of Span,
	// within Service.
	Burst    int
	Deadline clock.Millis
	// Hop is the one-way network delay between failure domains. Within a failure
	// domain there is none.
	Hop clock.Millis
	// Span is how long requests arrive.
	Span    clock.Millis
	Routing Routing
	Queue   Queue
	Retries Retries
	// Share is the share of requests that the retry budget allows as retries.
	Share float64
	// Timeout is the time after which an unanswered request is sent again, as
	// baselines do; 0 means never.
	Timeout clock.Millis
	// Hedge is the time after which a second copy of an unanswered request is sent,
	// which counts against the retry budget; 0 means never.
	Hedge      clock.Millis
	RetryAfter RetryAfter
}

// Result holds the figures of one run. A request that its caller sends again counts
// once.
type Result struct {
	Requests int
	Served   int
	// Refused counts requests whose last answer was "not run", Late those that got
	// no answer before their deadline.
	Refused int
	Late    int
	// Attempts counts the attempts sent to gates, Refusals those that were answered
	// "not run".
	Attempts int
	Refusals int
	// Useful is the slot time of requests answered before their deadline, Wasted
	// that of all other attempts, both as shares of the capacity over Span.
	Useful float64
	Wasted float64
	// Waits holds the response times without the service times, sorted.
	Waits []clock.Millis
}

// PerRequest returns the mean number of attempts per request.
func (r *Result) PerRequest() float64 {
	return float64(r.Attempts) / float64(max(r.Requests, 1))
}

// Wait returns the quantile, from 0 to 1, of the waits of served requests, or 0 if there
// are none.
func (r *Result) Wait(quantile float64) clock.Millis {
	if len(r.Waits) == 0 {
		return 0
	}
	i := int(quantile * float64(len(r.Waits)))
	return r.Waits[min(i, len(r.Waits)-1)]
}

// Run simulates one run.
func Run(c Config) Result {
	s := newSimulation(c)
	s.scheduleArrivals()
	s.scheduler.run()
	capacity := float64(c.Upstreams*c.Slots) * float64(c.Span)
	s.result.Useful /= capacity
	s.result.Wasted /= capacity
	slices.Sort(s.result.Waits)
	return s.result
}
