package retry

import "fuchsiapick.example/fuchsiapick/clock"

const (
	// GrantedShare is the part of the service's bound that gates grant. The rest
	// covers the calls that repeated runs make again, which count as retries at the
	// service that is called and can't be told from first calls.
	GrantedShare = 0.55
	// likelyFailureShare is the part of a quota open to retries that will more
	// likely fail than not, so that they can't take all of it.
	likelyFailureShare = 0.5
	// restartShare is the part of Extra open to a quota younger than its window: the
	// processes before it may have spent theirs just before they were killed. With all
	// upstreams killed twice in one window, the service's bound still holds.
	restartShare = 0.4
)

// QuotaConfig is what a Quota is made from.
type QuotaConfig struct {
	// Share is the share of requests, from 0 to 1, that may be sent again, and Extra
	// how many more in each Window, both of the whole service.
	Share  float64
	Extra  float64
	Window clock.Millis
	// Upstreams is the number of upstreams among which Extra is divided.
	Upstreams int
}

// Quota bounds the retries that arrive at one upstream. In each span of the
// length of the window they are at most a part of Share x its own first arrivals +
// Extra / Parts. Summed over the upstreams of a service that is at most a part of
// Share x the service's requests + Extra, without a word between them. It is not safe
// for concurrent use.
type Quota struct {
	config  QuotaConfig
	started clock.Millis
	window  *window // nil without a Window: retries are not bounded here
}

// NewQuota makes a Quota of a process that started at an instant.
func NewQuota(made clock.Millis, c QuotaConfig) *Quota {
	q := &Quota{started: made}
	q.Adjust(c)
	return q
}

// Adjust puts an edit of the bound in force. What was counted stays: begun anew with
// each edit, the window would allow more than the bound.
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

// Allows reports whether one more retry stays within the bound, or, for one that will
// likely fail, within the part of it that is open to such retries.
func (q *Quota) Allows(now clock.Millis, likelyFails bool) bool {
	if q.window == nil {
		return true
	}
	bound, spent := q.usage(now)
	if likelyFails {
		bound *= likelyFailureShare
	}
	return spent+1 <= bound
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

// RetryAfter is when the oldest retry leaves the window, so that another may be sent.
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

// Usage is how many retries the window holds, and how many it may.
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
