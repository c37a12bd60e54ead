package retry

import "fuchsiapick.example/fuchsiapick/clock"

const (
	// GrantedShare is the part of the service's bound that gates grant. The rest
	// covers calls that a repeated run makes again: at the called service they are
	// retries, but can't be distinguished from first calls.
	GrantedShare = 0.55
	// likelyFailureShare is the part of a quota that is open to retries that are more
	// likely to fail than to succeed, so that they can't use all of it.
	likelyFailureShare = 0.5
	// restartShare is the part of Extra that a quota younger than its window may use:
	// the process that ran before may have spent its own quota just before it was
	// killed. With this share the service's bound holds even if all its upstreams are
	// killed twice in one window.
	restartShare = 0.4
	// shortageShare is the part of the bound below which, by priority, only requests of
	// priority 0 and 1 are retried. Their retries wait least and are lost at most cost;
	// while half is left, there is room for all.
	shortageShare = 0.5
	// reserveStep is the part of the bound that each rank leaves to the next more urgent
	// one. There are four ranks below shortageShare: priority 0 and 1, and in each of them
	// the requests that may run only once, which can't be retried after a run, before the
	// repeatable ones.
	reserveStep = shortageShare / 4
)

// QuotaConfig configures a Quota.
type QuotaConfig struct {
	// Share is the share of requests, from 0 to 1, that may be retried, and Extra the
	// number of further retries allowed in each Window. Both apply to the whole service.
	Share  float64
	Extra  float64
	Window clock.Millis
	// Upstreams is the number of upstreams among which Extra is divided.
	Upstreams int
	// ByPriority admits retries by priority once less than shortageShare of the bound is
	// left.
	ByPriority bool
	// Rounding, from 0 to 1, is added to the bound before it is compared with whole numbers of
	// retries. A bound of 3.8 grants three retries with 0, and four with 0.2 or more. If the
	// values of a service's upstreams are spread evenly, they grant the sum of their bounds.
	Rounding float64
}

// Quota bounds the retries that arrive at one upstream. In any period as long as the
// window it allows at most GrantedShare x (Share x the upstream's own first arrivals +
// Extra / Upstreams) + Rounding. Summed over the upstreams of a service, that is at most
// GrantedShare x (Share x the service's requests + Extra), and the upstreams needn't
// communicate for it. A Quota isn't safe for concurrent use.
type Quota struct {
	config  QuotaConfig
	started clock.Millis
	window  *window // nil without a Window: this Quota doesn't bound retries
}

// NewQuota returns the Quota of a process that started at the given instant.
func NewQuota(started clock.Millis, c QuotaConfig) *Quota {
	q := &Quota{started: started}
	q.Adjust(c)
	return q
}

// Adjust applies a changed configuration. Unless the window's length changes, the Quota
// keeps its counts: if each change cleared them, a window could hold more retries than
// the bound.
func (q *Quota) Adjust(c QuotaConfig) {
	if c.Window != q.config.Window {
		q.window = nil
		if c.Window > 0 {
			q.window = newWindow(c.Window)
		}
	}
	q.config = c
}

// RecordRequest counts a request's first arrival at the upstream.
func (q *Quota) RecordRequest(now clock.Millis) {
	if q.window != nil {
		q.window.addRequest(now)
	}
}

// Claim describes a retry that asks for a part of the bound.
type Claim struct {
	// LikelyFails means that the upstream more likely fails the retry than not. Such
	// retries may use likelyFailureShare of the bound.
	LikelyFails bool
	// Priority ranks requests, 0 is the most urgent. Repeatable means that the request may
	// run more than once. Both count only if the Quota is ByPriority.
	Priority   int
	Repeatable bool
}

// Allows reports whether the bound has room for one more retry of the most urgent requests.
func (q *Quota) Allows(now clock.Millis, likelyFails bool) bool {
	return q.Rule(now, Claim{LikelyFails: likelyFails}) == Granted
}

// Rule decides whether the bound has room for a retry. It counts nothing.
func (q *Quota) Rule(now clock.Millis, c Claim) Ruling {
	if q.window == nil {
		return Granted
	}
	bound, spent := q.usage(now)
	switch {
	case spent+1 > bound+q.config.Rounding:
		return DeniedQuota
	case q.config.ByPriority && bound-spent < c.reserve()*bound:
		return DeniedPriority
	case c.LikelyFails && spent+1 > bound*likelyFailureShare+q.config.Rounding:
		return DeniedLikelyFails
	default:
		return Granted
	}
}

// reserve returns the part of the bound that a retry leaves to more urgent ones.
func (c Claim) reserve() float64 {
	step := 2 * max(c.Priority, 0)
	if c.Repeatable {
		step++
	}
	return min(float64(step)*reserveStep, shortageShare)
}

// Spend counts a retry that is sent now. It returns false, and counts none, if the
// bound has no room for it.
func (q *Quota) Spend(now clock.Millis) bool {
	if !q.Allows(now, false) {
		return false
	}
	if q.window != nil {
		q.window.addRetry(now)
	}
	return true
}

// RetryAfter returns the time until the oldest retry leaves the window, which makes room
// for another one, and at least minRetryAfter.
func (q *Quota) RetryAfter(now clock.Millis) clock.Millis {
	if q.window == nil {
		return minRetryAfter
	}
	oldest := q.window.oldestRetryAge(now)
	if oldest == 0 {
		return minRetryAfter
	}
	return max(q.config.Window+q.window.bucketWidth-oldest, minRetryAfter)
}

// Usage returns the number of retries in the window and the bound on them, both 0 if
// retries aren't bounded.
func (q *Quota) Usage(now clock.Millis) (spent, bound float64) {
	if q.window == nil {
		return 0, 0
	}
	bound, spent = q.usage(now)
	return spent, bound
}

func (q *Quota) usage(now clock.Millis) (bound, spent float64) {
	requests, spent := q.window.sums(now)
	extra := q.config.Extra / float64(max(q.config.Upstreams, 1))
	if now-q.started < q.config.Window {
		extra *= restartShare
	}
	return GrantedShare * (q.config.Share*requests + extra), spent
}
