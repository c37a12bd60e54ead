package entry

import (
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// next is a place that is kept for the request's next try.
type next struct {
	attempt attempt
	untried int
	isKept  bool
}

// moveOn looks for a place at another upstream for a request whose run most likely comes to
// no end. The run is given up only once there is one: without it, waiting on is the better
// chance.
func (r *request) moveOn(w *waiter, untried int) (result, bool) {
	if !r.isMovable(untried) {
		return result{}, false
	}
	now := r.entry.config.Now()
	arrived := r.arrived
	r.arrived = true // a second run is one more of the retry budget
	a, left, ok := r.gather(now, mostSurveyed, 0)
	r.arrived = arrived
	if !ok {
		return result{}, false
	}
	if e, came := w.poll(); came && e.kind != stalled {
		r.waive(&a)
		if out, ok := r.told(e); ok {
			return out, true
		}
		return result{}, false
	}
	out := result{kind: retry.Failed, reason: string(wire.ReasonStalled)}
	if !r.mayMove(&out, left) {
		r.waive(&a)
		return result{}, false
	}
	r.next = next{attempt: a, untried: left, isKept: true}
	return out, true
}

// mayMove decides about the retry that moving the request is. A run that was given up for one
// that is denied would be lost.
func (r *request) mayMove(o *result, untried int) bool {
	a := r.attempted(o, untried+1) // the place itself is one that wasn't tried
	a.Runs++
	return r.service.retry(r.entry.config.Now(), a).Retry
}

// isMovable reports whether the request may be sent to one more upstream while its run is
// under way, and has time for it.
func (r *request) isMovable(untried int) bool {
	isBound := r.route.Attempts > 0 && r.ran+1 >= r.route.Attempts
	if r.config.Caution != table.Brief || !r.repeatable || isBound || r.placesLeft(untried) <= 0 {
		return false
	}
	return r.deadline-r.entry.config.Now() > r.usual().Median
}

// takeNext returns the place that is kept, once.
func (r *request) takeNext() (next, bool) {
	n := r.next
	r.next = next{}
	return n, n.isKept
}

// dropNext lets go of the place that is kept, if there is one.
func (r *request) dropNext() {
	if n, ok := r.takeNext(); ok {
		r.waive(&n.attempt)
	}
}

// waive lets go of a place that was kept.
func (r *request) waive(a *attempt) {
	a.member.target.Waive(&wire.Waive{ID: r.id, Attempt: a.number, Upstream: a.upstream.Name})
	r.service.ended(r.entry.config.Now(), a.member, &result{})
}
