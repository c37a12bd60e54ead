package entry

import (
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Depart makes the entry stop at a given time, shortly before the node closes its callers'
// connections. Requests that arrive until then have no later deadline.
func (e *Entry) Depart(stop departure.Stop) {
	e.departure.Store(&stop)
	time.AfterFunc(max(stop.At-e.config.Now(), 0).Duration(), e.Stop)
}

// plannedStop returns when the entry stops; the zero value unless the node is leaving.
func (e *Entry) plannedStop() departure.Stop {
	if stop := e.departure.Load(); stop != nil {
		return *stop
	}
	return departure.Stop{}
}

// Stop makes the entry answer all requests now. Those that wait are refused, and the gates of those
// that were sent are asked for the outcome.
func (e *Entry) Stop() {
	e.stopOnce.Do(func() { close(e.stopped) })
}

// latestDeadline returns the deadline of a request that arrives now, which ends before the entry
// stops.
func (e *Entry) latestDeadline(deadline clock.Millis) clock.Millis {
	if stop := e.plannedStop(); stop.IsSet() {
		return min(deadline, stop.At)
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

// mayOutlastEntry reports whether a run that begins now may still be at work when the entry stops.
func (r *request) mayOutlastEntry(now clock.Millis) bool {
	stop := r.entry.plannedStop()
	return stop.IsSet() && !stop.AllowsRequest(now, r.departureRun())
}

// departureRun describes a run that the request begins. Its deadline is that of the caller and of the route: the
// request's own ends with the entry at the latest.
func (r *request) departureRun() departure.Run {
	return departure.Run{Arrived: r.started, Deadline: r.started + r.budget, Typical: r.routeLatency()}
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
