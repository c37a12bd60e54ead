// Package retry decides whether a request that got no answer is sent again:
// only what was not run or may run more than once, within a budget that is a
// share of the service's requests.
package retry

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Result says how an attempt ended.
type Result uint8

// The values of Result.
const (
	// NotRun means that the gate refused it and it was not run.
	NotRun Result = iota
	// Failed means that it ran, or may have run, and failed.
	Failed
	// Silent means that no answer came.
	Silent
)

// Attempt describes the last attempt of a request.
type Attempt struct {
	Result Result
	// ForLoad says that the gate refused it for load.
	ForLoad bool
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Tried is the number of attempts so far.
	Tried int
	// Remaining is the time left until the request's deadline.
	Remaining clock.Millis
	// RetryAfter is when to come back, as the gate computed it; 0 if unknown.
	RetryAfter clock.Millis
	// Untried is the number of usable upstreams not yet tried.
	Untried int
}

// Reason says why a request isn't sent again.
type Reason string

// The values of Reason.
const (
	NoBudget      Reason = "budget"
	NotRepeatable Reason = "not repeatable"
	NoTime        Reason = "deadline"
	ServiceFull   Reason = "service full"
	TooMany       Reason = "attempts"
	NowhereLeft   Reason = "nowhere left"
)

// Decision is the answer for one attempt.
type Decision struct {
	Retry bool
	// Why is set when Retry is false.
	Why Reason
	// RetryAfter is when the caller may come back, set when Retry is false.
	RetryAfter clock.Millis
}

// Config is what a Budget is made from.
type Config struct {
	// Share is the share of requests, from 0 to 1, that may be sent again.
	Share float64
	// Seed makes the jitter of RetryAfter repeatable.
	Seed uint64
}

const (
	// Burst is how many retries a service may make beyond its share.
	Burst = 10
	// MostAttempts bounds the attempts of one request.
	MostAttempts = 3
	// LeastRemaining is the time below which a further attempt can't be
	// answered: a cross-domain round trip at both hops.
	LeastRemaining clock.Millis = 5
)

// Budget holds the retries of one service at one entry. It is not safe for
// concurrent use.
type Budget struct {
	share   float64
	random  *rand.Rand
	tokens  float64
	refused int
}

// New makes a Budget with its whole burst.
func New(c Config) *Budget {
	return &Budget{share: c.Share, random: rand.New(rand.NewPCG(c.Seed, 0)), tokens: Burst}
}

// Request counts a first attempt, which earns its share of a retry.
func (b *Budget) Request(_ clock.Millis) {
	b.tokens = min(b.tokens+b.share, Burst)
}

// Refused tells whether a gate refused an attempt for load (true) or took it.
func (b *Budget) Refused(_ clock.Millis, full bool) {
	if full {
		b.refused++
		return
	}
	b.refused = 0
}

// Decide says whether to send the request again, and takes it from the budget
// if so.
func (b *Budget) Decide(_ clock.Millis, a Attempt) Decision {
	if why := b.against(a); why != "" {
		return Decision{Why: why, RetryAfter: b.retryAfter(a)}
	}
	b.tokens--
	return Decision{Retry: true}
}

func (b *Budget) against(a Attempt) Reason {
	switch {
	case a.Result != NotRun && !a.Repeatable:
		return NotRepeatable
	case a.Untried <= 0:
		return NowhereLeft
	case a.Tried >= MostAttempts:
		return TooMany
	case a.Remaining < LeastRemaining:
		return NoTime
	case b.refused >= fullAfter:
		return ServiceFull
	case b.tokens < 1:
		return NoBudget
	default:
		return ""
	}
}

// fullAfter is how many refusals for load in a row say that a service is full.
const fullAfter = 8

func (b *Budget) retryAfter(a Attempt) clock.Millis {
	span := max(a.RetryAfter, clock.Second)
	return span + clock.Millis(b.random.Int64N(int64(span)))
}
