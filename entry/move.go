package entry

import (
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// reservation is a place that is kept for the request's next try.
type reservation struct {
	attempt attempt
	untried int
	valid   bool
}

// retryElsewhere looks for a place at another upstream for a request whose run most likely comes to
// no end. The run is given up only once there is one: without it, waiting on is the better
// chance.
func (r *request) retryElsewhere(w *waiter, untried int) (result, bool) {
	if !r.isRetryEligible(untried) {
		return result{}, false
	}
	now := r.entry.config.Now()
	arrived := r.reachedUpstream
	r.reachedUpstream = true // a second run is one more of the retry budget
	a, left, ok := r.reserveSlot(now, maxProbedGates, 0)
	r.reachedUpstream = arrived
	if !ok {
		return result{}, false
	}
	if e, came := w.poll(); came && e.kind != stalled {
		r.releaseSlot(&a)
		if out, ok := r.resultOfEvent(e); ok {
			return out, true
		}
		return result{}, false
	}
	out := result{kind: retry.Failed, reason: string(wire.ReasonHung)}
	if !r.canRetryElsewhere(&out, left) {
		r.releaseSlot(&a)
		return result{}, false
	}
	r.reservation = reservation{attempt: a, untried: left, valid: true}
	return out, true
}

// canRetryElsewhere decides about the retry that moving the request is. A run that was given up for one
// that is denied would be lost.
func (r *request) canRetryElsewhere(o *result, untried int) bool {
	a := r.retryAttempt(o, untried+1) // the place itself is one that wasn't tried
	a.Runs++
	return r.service.decideRetry(r.entry.config.Now(), a).Retry
}

// isRetryEligible reports whether the request may be sent to one more upstream while its run is
// under way, and has time for it.
func (r *request) isRetryEligible(untried int) bool {
	isBound := r.route.MaxAttempts > 0 && r.ran+1 >= r.route.MaxAttempts
	if r.config.Caution != table.ShortEpisodes || !r.repeatable || isBound || r.candidatesLeft(untried) <= 0 {
		return false
	}
	return r.deadline-r.entry.config.Now() > r.typicalLatency().Median
}

// takeReservation returns the place that is kept, once.
func (r *request) takeReservation() (reservation, bool) {
	n := r.reservation
	r.reservation = reservation{}
	return n, n.valid
}

// dropReservation lets go of the place that is kept, if there is one.
func (r *request) dropReservation() {
	if n, ok := r.takeReservation(); ok {
		r.releaseSlot(&n.attempt)
	}
}

// releaseSlot lets go of a place that was kept.
func (r *request) releaseSlot(a *attempt) {
	a.member.gate.ReleaseReservation(&wire.ReleaseReservation{ID: r.id, Attempt: a.number, Upstream: a.upstream.Name})
	r.service.endAttempt(r.entry.config.Now(), a.member, &result{})
}
