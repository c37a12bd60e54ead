// Package retry decides whether a request whose attempt failed is sent again: only if the
// request was not run or may run more than once, and only within a budget that is a share
// of the service's requests.
package retry

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Result is how an attempt ended.
type Result uint8

// The values of Result.
const (
	// NotRun means that the request was refused and not run.
	NotRun Result = iota
	// Failed means that the request ran, or may have run, and failed.
	Failed
	// NoResponse means that no response came.
	NoResponse
)

// Attempt describes the last attempt of a request and the attempts before it.
type Attempt struct {
	Result Result
	// RefusedForLoad says that the gate refused the attempt for load.
	RefusedForLoad bool
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Attempts is the number of attempts so far, Refused the number of refusals by gates
	// since an upstream last received the request, and Shed the number of refusals by
	// upstreams.
	Attempts, Refused, Shed int
	// Runs is the number of attempts that an upstream ran, or may have run, and MaxRuns
	// the route's limit on it; 0 means that the route sets no limit.
	Runs, MaxRuns int
	// Remaining is the time left until the request's deadline.
	Remaining clock.Millis
	// RetryAfter is the gate's estimate of the time after which to retry; 0 if unknown.
	RetryAfter clock.Millis
	// Untried is the number of usable upstreams not yet tried.
	Untried int
}

// Reason is why a request isn't sent again.
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

// Decision says whether to send a request again after an attempt.
type Decision struct {
	Retry bool
	// Reason is set when Retry is false.
	Reason Reason
	// RetryAfter is the time after which the caller may retry. It is set when Retry is
	// false, but for NotRepeatable.
	RetryAfter clock.Millis
	// Ruling is the budget's part in the decision, empty if it had none. With GateQuotas
	// the Budget grants nothing: gates do, and count it.
	Ruling Ruling
}

// Config configures a Budget.
type Config struct {
	// Share is the share of requests, from 0 to 1, that may be sent again.
	Share float64
	// GateQuotas says that the quotas of the gates bound the retries, so that the Budget
	// refuses none for their number or for overload.
	GateQuotas bool
	// Seed makes the jitter of RetryAfter reproducible.
	Seed uint64
}

const (
	// MinBurst is the number of retries that an idle service may make beyond its
	// share. It lets a few callers that meet a failing upstream before it is ejected
	// (which takes six outcomes of an upstream that fails every request) succeed
	// elsewhere.
	MinBurst = 5
	// MaxBurst is the same for a busy service, and the bound over any window.
	MaxBurst = 20
	// burstWindow is the time over which a service's requests determine its burst,
	// between MinBurst and MaxBurst. With many entries, each sees few requests of a
	// service; if their bursts didn't follow the traffic, together they would be
	// many times what the service can serve.
	burstWindow = 10 * clock.Second
	// MaxAttempts bounds the attempts of one request. If a third of the upstreams fails
	// and the choice is random, 1 request in 27 meets failing ones three times.
	MaxAttempts = 3
	// MaxRefused bounds the attempts while refusals cost no work: an entry may not yet
	// know that several upstreams are ejected, and learns each by such a refusal.
	MaxRefused = 8
	// MinRemaining is the remaining time below which a further attempt can't be
	// answered: two round trips between failure domains (1 ms one way), rounded up.
	MinRemaining clock.Millis = 5
)

// Budget bounds the retries of one service at one entry. It isn't safe for concurrent
// use.
type Budget struct {
	share      float64
	gateQuotas bool
	random     *rand.Rand
	tokens     float64
	requests   decayingCounter
	overload   overloadMeter
}

// New returns a Budget with the burst of an idle service.
func New(c Config) *Budget {
	return &Budget{
		share:      min(max(c.Share, 0), 1),
		gateQuotas: c.GateQuotas,
		random:     rand.New(rand.NewPCG(c.Seed, 0)),
		tokens:     MinBurst,
		requests:   decayingCounter{timeConstant: burstWindow},
		overload:   newOverloadMeter(),
	}
}

// RecordRequest counts a first attempt, which adds Share of a retry to the budget.
func (b *Budget) RecordRequest(now clock.Millis) {
	b.requests.add(now)
	burst := min(max(b.share*b.requests.value, MinBurst), MaxBurst)
	b.tokens = min(b.tokens+b.share, burst)
}

// RecordReply counts a gate's reply to an attempt: whether the gate refused it for load
// or accepted it. The caller must record every attempt that a gate answered.
func (b *Budget) RecordReply(now clock.Millis, refusedForLoad bool) {
	b.overload.add(now, refusedForLoad)
}

// Decide says whether to send the request again. If so, and if the retry costs budget,
// Decide takes it from the budget.
func (b *Budget) Decide(now clock.Millis, a Attempt) Decision {
	reason := b.denialReason(now, a)
	ruling := b.rulingOf(a, reason)
	if reason != "" {
		return Decision{Reason: reason, RetryAfter: b.retryAfter(now, reason, a.RetryAfter), Ruling: ruling}
	}
	if ruling == Granted {
		b.tokens--
	}
	return Decision{Retry: true, Ruling: ruling}
}

// isExhausted reports whether a retry after the attempt costs more than the budget has.
func (b *Budget) isExhausted(a Attempt) bool {
	return !b.gateQuotas && a.costsBudget() && b.tokens < 1
}

// costsBudget reports whether a retry after the attempt costs budget: the attempt caused
// work at an upstream or was refused for load. An attempt that was refused for another
// reason (upstream ejected, leaving or rate limited, connection refused) caused no work: a retry
// doesn't multiply load, and without it a request would fail that other upstreams have room for.
func (a Attempt) costsBudget() bool {
	return a.Result != NotRun || a.RefusedForLoad
}

// attemptsExhausted reports whether the request has used all its attempts. A route's limit
// (MaxRuns) counts runs only, not refusals.
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

// denialReason returns the reason not to send the request again, "" if there is none.
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
	// minRetryAfter is the shortest time that the HTTP header Retry-After can express.
	minRetryAfter = clock.Second
	// maxRetryAfter bounds the time in which an idle service earns a retry.
	maxRetryAfter = 30 * clock.Second
)

// retryAfter returns the time after which the caller may retry: the gate's estimate if
// there is one, else a time that depends on the reason, with jitter. It returns 0 for
// NotRepeatable, as a retry isn't safe if the request may have run.
func (b *Budget) retryAfter(now clock.Millis, reason Reason, gateRetryAfter clock.Millis) clock.Millis {
	delay := minRetryAfter
	switch {
	case reason == NotRepeatable:
		return 0
	case gateRetryAfter > 0:
		return gateRetryAfter
	case reason == ServiceFull:
		delay = overloadWindow
	case reason == NoBudget:
		delay = b.refillTime(now)
	}
	return b.AddJitter(min(max(delay, minRetryAfter), maxRetryAfter))
}

// AddJitter lengthens a delay at random by up to a half, so that callers refused at the
// same time don't all retry at the same time.
func (b *Budget) AddJitter(delay clock.Millis) clock.Millis {
	return delay + clock.Millis(b.random.Int64N(int64(delay)/2+1))
}

// refillTime returns the time until the budget has a whole retry at the service's present
// rate of requests, at most maxRetryAfter.
func (b *Budget) refillTime(now clock.Millis) clock.Millis {
	perMilli := b.share * b.requests.read(now) / float64(burstWindow)
	delay := (1 - b.tokens) / perMilli
	if delay < float64(maxRetryAfter) {
		return clock.Millis(delay)
	}
	return maxRetryAfter
}
