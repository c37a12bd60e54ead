package entry

import (
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// StopAt makes the entry stop at the given time, shortly before the node closes its callers'
// connections. Requests that arrive until then have no later deadline.
func (e *Entry) StopAt(at clock.Millis) {
	e.stopsAt.Store(int64(at))
	time.AfterFunc(max(at-e.config.Now(), 0).Duration(), e.Stop)
}

// Stop makes the entry answer all requests now. Those that wait are refused, and the gates of those
// that were sent are asked for the outcome.
func (e *Entry) Stop() {
	e.stopOnce.Do(func() { close(e.stopped) })
}

// latestDeadline returns the deadline of a request that arrives now, which ends before the entry
// stops.
func (e *Entry) latestDeadline(deadline clock.Millis) clock.Millis {
	if at := clock.Millis(e.stopsAt.Load()); at > 0 {
		return min(deadline, at)
	}
	return deadline
}

// isStopped reports whether the request must be answered now, as the node stops.
func (r *request) isStopped() bool {
	select {
	case <-r.entry.stopped:
		return true
	default:
		return false
	}
}

// outlastShare is the share of a route's runs that may take longer than a leaving entry expects of one that it
// still sends.
const outlastShare = 0.01

// mayOutlastEntry reports whether a run that begins now may still be at work when the entry stops.
func (r *request) mayOutlastEntry(now clock.Millis) bool {
	at := clock.Millis(r.entry.stopsAt.Load())
	return at > 0 && now+r.longestRun(now) > at
}

// longestRun returns how long a run that begins now takes at most: until its caller's time is over, or as long
// as nearly all runs on its route.
func (r *request) longestRun(now clock.Millis) clock.Millis {
	left := max(r.started+r.budget-now, 0)
	if typical := r.routeLatency(); typical.IsKnown() {
		return min(typical.UpperQuantile(outlastShare), left)
	}
	return left
}

// mustEnd reports whether no further upstream may be tried: the caller has disconnected, or the node
// stops.
func (r *request) mustEnd() bool {
	return r.isCallerGone() || r.isStopped()
}

// stop makes the wait for an outcome end as at the request's deadline, since the node stops: the gate
// is asked for the outcome, and revokes a dispatch that has not begun.
func (r *request) stop(wait *dispatchWait) {
	now := r.entry.config.Now()
	r.deadline = min(r.deadline, now+r.resolveTimeout())
	wait.until, wait.stopped = min(wait.until, now), nil
}

// stoppedAnswer is the final answer to a request that is not served before the node stops.
func (r *request) stoppedAnswer() finalAnswer {
	return r.unserved(string(wire.ReasonLeaving), r.service.retryAfter(r.entry.config.Now()))
}
