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
	// NoResponse means that no answer came.
	NoResponse
)

// Attempt describes the last attempt of a request.
type Attempt struct {
	Result Result
	// RefusedForLoad says that the gate refused it for load.
	RefusedForLoad bool
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Attempts is the number of attempts so far, Refused that of the refusals by gates
	// since an upstream last got the request, Shed that of refusals by upstreams.
	Attempts, Refused, Shed int
	// Runs is how many of them an upstream ran, or may have run, and MostRan
	// the bound that the route sets on that; 0 means none.
	Runs, MaxRuns int
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
	NoBudget         Reason = "budget"
	NotRepeatable    Reason = "not repeatable"
	DeadlineTooShort Reason = "deadline"
	ServiceFull      Reason = "service full"
	TooManyAttempts  Reason = "attempts"
	NoUpstreamLeft   Reason = "nowhere left"
)

// Decision is the answer for one attempt.
type Decision struct {
	Retry bool
	// Reason is set when Retry is false.
	Reason Reason
	// RetryAfter is when the caller may come back, set when Retry is false.
	RetryAfter clock.Millis
}

// Config is what a Budget is made from.
type Config struct {
	// Share is the share of requests, from 0 to 1, that may be sent again.
	Share float64
	// GateQuotas says that the gates' quotas bound the retries: the budget refuses none.
	GateQuotas bool
	// Seed makes the jitter of RetryAfter repeatable.
	Seed uint64
}

const (
	// MinBurst is how many retries an idle service may make beyond its
	// share: a handful of callers that meet a sick upstream before its verdict
	// (six outcomes of an upstream that fails all) are served elsewhere.
	MinBurst = 5
	// MaxBurst is how many a busy one may, and the bound over any window.
	MaxBurst = 20
	// burstWindow is the time over which a service's requests set its burst
	// between the two. Many entries before one service see few requests each;
	// with a burst that doesn't follow the traffic, theirs would add up to
	// many times what the service can serve.
	burstWindow = 10 * clock.Second
	// MaxAttempts bounds the attempts of one request: of those that meet a
	// sick third of the upstreams at random, 1 in 27 does so three times.
	MaxAttempts = 3
	// MaxRefused bounds them while refusals cost no work: several verdicts
	// may be new to an entry at once, each learned by such a refusal.
	MaxRefused = 8
	// MinRemaining is the time below which a further attempt can't be
	// answered: two cross-domain round trips (1 ms one way), rounded up.
	MinRemaining clock.Millis = 5
)

// Budget holds the retries of one service at one entry. It is not safe for
// concurrent use.
type Budget struct {
	share      float64
	gateQuotas bool
	random     *rand.Rand
	tokens     float64
	requests   decayingCounter
	overload   overloadMeter
}

// New makes a Budget with the burst of an idle service.
func New(c Config) *Budget {
	return &Budget{
		share:      min(max(c.Share, 0), 1),
		gateQuotas: c.GateQuotas,
		random:     rand.New(rand.NewPCG(c.Seed, 0)),
		tokens:     MinBurst,
		requests:   decayingCounter{span: burstWindow},
		overload:   newOverloadMeter(),
	}
}

// RecordRequest counts a first attempt, which earns its share of a retry.
func (b *Budget) RecordRequest(now clock.Millis) {
	b.requests.add(now, 1)
	most := min(max(b.share*b.requests.value, MinBurst), MaxBurst)
	b.tokens = min(b.tokens+b.share, most)
}

// RecordReply tells whether a gate refused an attempt for load (true) or took it
// (false). It is to be told of each attempt that a gate answered.
func (b *Budget) RecordReply(now clock.Millis, full bool) {
	b.overload.add(now, full)
}

// Decide says whether to send the request again, and takes it from the budget
// if so.
func (b *Budget) Decide(now clock.Millis, a Attempt) Decision {
	why := b.denialReason(now, a)
	if why != "" {
		return Decision{Reason: why, RetryAfter: b.retryAfter(now, why, a.RetryAfter)}
	}
	if !b.gateQuotas && a.costsBudget() {
		b.tokens--
	}
	return Decision{Retry: true}
}

// isExhausted reports whether the budget has nothing left for the attempt.
func (b *Budget) isExhausted(a Attempt) bool {
	return !b.gateQuotas && a.costsBudget() && b.tokens < 1
}

// costsBudget reports whether the attempt took work from an upstream or met a full
// one. One that was refused otherwise (set aside, leaving, connection refused)
// took none: sending it on doesn't multiply load, and to hold it back would lose
// a request that other upstreams have room for.
func (a Attempt) costsBudget() bool {
	return a.Result != NotRun || a.RefusedForLoad
}

// attemptsExhausted reports whether the request has had all its attempts. A route's bound is one
// on runs: refusals by gates don't use it up.
func (a Attempt) attemptsExhausted() bool {
	switch {
	case a.MaxRuns > 0:
		return a.Runs >= a.MaxRuns || max(a.Refused, a.Shed) >= MaxRefused
	case a.costsBudget():
		return a.Attempts >= MaxAttempts
	default:
		return a.Attempts >= MaxRefused
	}
}

// denialReason returns the reason not to send the request again, "" if there is
// none.
func (b *Budget) denialReason(now clock.Millis, a Attempt) Reason {
	switch {
	case a.Result != NotRun && !a.Repeatable:
		return NotRepeatable
	case a.Untried <= 0:
		return NoUpstreamLeft
	case a.attemptsExhausted():
		return TooManyAttempts
	case a.Remaining < MinRemaining:
		return DeadlineTooShort
	case !b.gateQuotas && b.overload.overloaded(now):
		return ServiceFull
	case b.isExhausted(a):
		return NoBudget
	default:
		return ""
	}
}

// Bounds of a computed RetryAfter before jitter.
const (
	// minRetryAfter is the least that the HTTP header can say.
	minRetryAfter = clock.Second
	// maxRetryAfter bounds the time in which an idle service earns a retry.
	maxRetryAfter = 30 * clock.Second
)

// retryAfter is when the caller may come back: what the gate computed from its
// queue, else what the reason lets expect, with jitter. It is 0 where coming
// back isn't safe, for the request may have run.
func (b *Budget) retryAfter(now clock.Millis, why Reason, gate clock.Millis) clock.Millis {
	span := minRetryAfter
	switch {
	case why == NotRepeatable:
		return 0
	case gate > 0:
		return gate
	case why == ServiceFull:
		span = overloadWindow
	case why == NoBudget:
		span = b.refillTime(now)
	}
	return b.AddJitter(min(max(span, minRetryAfter), maxRetryAfter))
}

// AddJitter lengthens a span by up to a half, so that callers who are refused together
// don't come back as one wave.
func (b *Budget) AddJitter(span clock.Millis) clock.Millis {
	return span + clock.Millis(b.random.Int64N(int64(span)/2+1))
}

// refillTime is the time in which the service earns what a retry lacks, at its
// present rate of requests.
func (b *Budget) refillTime(now clock.Millis) clock.Millis {
	perMilli := b.share * b.requests.read(now) / float64(burstWindow)
	span := (1 - b.tokens) / perMilli
	if span < float64(maxRetryAfter) {
		return clock.Millis(span)
	}
	return maxRetryAfter
}
