package entry

import (
	"time"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// largeBody is the size, in bytes, from which a gate in another failure
	// domain is asked for a slot first: a question and its answer take some 150
	// bytes. On a busy day two gates were asked for each request; with the whole
	// request each time, 22 MB crossed between domains in place of 8 MB.
	largeBody = 1 << 10
	// enquiryTime is how long an answer may take: some fifty round trips, after
	// which the next gate is asked.
	enquiryTime = 100 * clock.Millis(1)
)

// enquires reports whether the gate is to be asked before the request is sent.
func (r *request) enquires(a *attempt) bool {
	return a.bounded && a.patience == 0 && len(r.body) >= largeBody &&
		a.upstream.Domain != r.entry.config.Domain
}

// enquire asks the gate for a slot. Without one the result says why, and nothing
// was sent.
func (r *request) enquire(a *attempt) (result, bool) {
	answers := make(chan *wire.Hold, 1)
	question := &wire.Enquiry{
		ID: r.id, Attempt: r.attempts, Upstream: a.upstream.Name,
		Repeatable: r.repeatable, Forced: a.forced, Priority: r.route.Priority,
	}
	err := a.member.target.Enquire(question, func(h *wire.Hold) { answers <- h })
	if err != nil {
		return result{}, true // the dispatch itself waits for a link
	}
	timer := time.NewTimer(enquiryTime.Duration())
	defer timer.Stop()
	select {
	case h := <-answers:
		full := h.Reason == wire.ReasonFull
		return result{kind: retry.NotRun, reason: string(h.Reason), after: h.RetryAfter, full: full}, h.Held
	case <-timer.C:
		a.member.target.ForgetEnquiry(r.id, r.attempts)
		return result{kind: retry.NotRun, reason: account.ReasonUnreachable}, false
	case <-r.left:
		a.member.target.ForgetEnquiry(r.id, r.attempts)
		return result{kind: retry.NotRun, reason: string(wire.ReasonLeft)}, false
	}
}
