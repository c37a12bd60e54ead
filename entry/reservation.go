package entry

import (
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// reservation is a slot that a gate reserves for the request's next attempt.
type reservation struct {
	attempt attempt
	untried int
	valid   bool
}

// retryElsewhere reserves a slot at another upstream for a request whose run is most
// likely hung. The run is given up only once a slot is reserved, because without one the
// better chance is to keep waiting. It returns the result of the current attempt, or
// false if the wait continues.
func (r *request) retryElsewhere(w *waiter, untried int) (result, bool) {
	if !r.isRetryEligible(untried) {
		return result{}, false
	}
	now := r.entry.config.Now()
	reachedUpstream := r.reachedUpstream
	r.reachedUpstream = true // a second run is a retry and counts against the retry budget
	a, remaining, ok := r.reserveSlot(now, maxProbedGates, 0)
	r.reachedUpstream = reachedUpstream
	if !ok {
		return result{}, false
	}
	if e, came := w.poll(); came && e.kind != hung {
		r.releaseSlot(&a)
		if out, ok := r.resultOfEvent(e); ok {
			return out, true
		}
		return result{}, false
	}
	out := result{kind: retry.Failed, reason: string(wire.ReasonHung)}
	if !r.canRetryElsewhere(&out, remaining) {
		r.releaseSlot(&a)
		return result{}, false
	}
	r.reservation = reservation{attempt: a, untried: remaining, valid: true}
	return out, true
}

// canRetryElsewhere decides on the retry before the current run is given up: if the retry
// were denied afterwards, the request would be lost.
func (r *request) canRetryElsewhere(o *result, untried int) bool {
	a := r.retryAttempt(o, untried+1) // the reserved slot itself is untried
	a.Runs++
	return r.decideRetry(a).Retry
}

// isRetryEligible reports whether the request may be sent to another upstream while its
// run is in progress, and has enough time left for that.
func (r *request) isRetryEligible(untried int) bool {
	isLimitReached := r.route.MaxAttempts > 0 && r.runs+1 >= r.route.MaxAttempts
	if r.config.Caution != table.ShortEpisodes || !r.repeatable || isLimitReached || r.candidatesLeft(untried) <= 0 {
		return false
	}
	return r.deadline-r.entry.config.Now() > r.typicalLatency().Median
}

// takeReservation returns the reservation and clears it.
func (r *request) takeReservation() (reservation, bool) {
	n := r.reservation
	r.reservation = reservation{}
	return n, n.valid
}

// dropReservation releases the reserved slot, if there is one.
func (r *request) dropReservation() {
	if n, ok := r.takeReservation(); ok {
		r.releaseSlot(&n.attempt)
	}
}

// releaseSlot releases a reserved slot and ends its attempt.
func (r *request) releaseSlot(a *attempt) {
	a.member.gate.ReleaseReservation(&wire.ReleaseReservation{ID: r.id, Attempt: a.number, Upstream: a.upstream.Name})
	r.service.endAttempt(r.entry.config.Now(), a.member, &result{})
}
