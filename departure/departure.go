// Package departure decides how a node leaves, and which requests it still takes while it does.
//
// It answers the load of a rolling restart: callers follow the instance list and readiness checks
// some seconds late, and while many nodes leave, the upstreams beside them are needed. What a node
// takes meanwhile it must not cut when it stops.
package departure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
)

const (
	// maxCallerDrain bounds how long a leaving node still accepts callers' requests, the linger
	// time included. Half of the grace period bounds it as well, so that accepted requests can finish
	// within the grace period. The node doesn't stop earlier because the instance list lags and
	// callers that follow it need some seconds.
	maxCallerDrain = 5 * clock.Second
	// minCallerDrain is how long it accepts them even if its routes allow more time than is left. It ends
	// before estimateSpan, so that requests on connections that were just accepted come early.
	minCallerDrain = estimateSpan - 100*clock.Millis(1)
	// gateShare is the part of the grace period for which the gates of a leaving node still accept
	// requests. The rest is for these requests to finish.
	gateShare = 1.0 / 3
	// maxExitMargin is the part of the grace period that is reserved for the exit of the process. A
	// process that is still there after the grace period is killed, together with connections
	// that were just answered.
	maxExitMargin = 300 * clock.Millis(1)
	// maxReplyMargin is how long before the node stops the last runs of requests that may run only
	// once have ended, so that their replies arrive before the links close. maxAnswerMargin is how long
	// before it the entry begins to answer the requests that are not served yet: as long as asking
	// a gate for an outcome takes, twice, and the way of the answer.
	maxReplyMargin  = 50 * clock.Millis(1)
	maxAnswerMargin = 150 * clock.Millis(1)
	// exitMarginShare, replyMarginShare and answerMarginShare divide a short grace period: the margins
	// are at most these fractions of it.
	exitMarginShare   = 10
	replyMarginShare  = 40
	answerMarginShare = 20
)

// Plan is the course of a node's departure.
type Plan struct {
	Begins clock.Millis
	// GatesClose is until when gates accept requests. While many nodes are restarted in turn, the slots
	// beside the leaving ones would otherwise be idle, and callers would be refused, for as
	// long as those nodes linger.
	GatesClose clock.Millis
	// CallersLinger is until when callers are served in any case, CallersClose until when at the latest.
	CallersLinger, CallersClose clock.Millis
	// EntryStops is when the entry answers the requests that are not served yet, GatesStop when the
	// last runs of requests that may run only once have to end, and Stops when all others are cut.
	EntryStops, GatesStop, Stops clock.Millis
}

// Config configures a departure.
type Config struct {
	// Grace is the grace period, Linger the time for which callers are served in any case.
	Grace, Linger clock.Millis
	// ShortestTimeout is the shortest of the timeouts of the node's routes.
	ShortestTimeout clock.Millis
}

// NewPlan returns the plan of a departure that begins now. The callers' port closes once requests of no route
// could be taken any more: a caller that finds it closed goes to another node at once.
func NewPlan(now clock.Millis, c Config) Plan {
	span := c.Grace - ExitMargin(c.Grace)
	entryStops := span - min(span/answerMarginShare, maxAnswerMargin)
	useful := max(entryStops-c.ShortestTimeout, minCallerDrain)
	return Plan{
		Begins:        now,
		GatesClose:    now + min(c.Linger, clock.Millis(gateShare*float64(c.Grace))),
		CallersLinger: now + c.Linger,
		CallersClose:  now + max(min(maxCallerDrain, c.Grace/2, useful), c.Linger),
		EntryStops:    now + entryStops,
		GatesStop:     now + span - min(span/replyMarginShare, maxReplyMargin),
		Stops:         now + span,
	}
}

// ExitMargin returns the part of a grace period that is kept for the exit of the process.
func ExitMargin(grace clock.Millis) clock.Millis {
	return min(grace/exitMarginShare, maxExitMargin)
}

// Entry returns the stop of the node's entry.
func (p Plan) Entry() Stop {
	return Stop{Begins: p.Begins, At: p.EntryStops}
}

// Gates returns the stop of the node's gates.
func (p Plan) Gates() Stop {
	return Stop{Begins: p.Begins, At: p.GatesStop}
}

const (
	// estimateSpan is how long after its departure has begun a node takes requests by an estimate of how
	// long they run. Most callers still choose this node then, and refusing all whose deadline is after
	// its end would cost them a retry each. The few that come later have other nodes.
	estimateSpan = 2500 * clock.Millis(1)
	// outlastShare is the share of a route's runs that may take longer than estimated.
	outlastShare = 0.01
)

// Stop tells when a part of a leaving node stops and ends what still runs. The zero value stands for
// a node that isn't leaving.
type Stop struct {
	Begins clock.Millis // when the departure begins
	At     clock.Millis
}

// Run is a run that would begin now.
type Run struct {
	Arrived  clock.Millis           // when its request arrived at the node
	Deadline clock.Millis           // when it ends at the latest, without the node's stop
	Typical  episode.TypicalLatency // of the runs of its route
	// HasOtherNodes reports whether the run is begun elsewhere if the node ends it.
	HasOtherNodes bool
}

// IsSet reports whether the node is leaving.
func (s Stop) IsSet() bool {
	return s.At > 0
}

// Outlasts reports whether a request may still run when its node stops, by its deadline alone.
func (s Stop) Outlasts(deadline clock.Millis) bool {
	return s.IsSet() && deadline > s.At
}

// AllowsRequest reports whether an entry may send a caller's request. It may if the request's deadline is
// before the entry stops. A request that arrives early in the departure may also be sent if nearly all
// runs of its route would end in time.
func (s Stop) AllowsRequest(now clock.Millis, r Run) bool {
	if !s.Outlasts(r.Deadline) {
		return true
	}
	return s.isEarly(r.Arrived) && r.Typical.IsKnown() && s.endsInTime(now, r.Typical)
}

// StartBy returns the latest instant at which a request that waits for a slot may start.
func (s Stop) StartBy(r Run) clock.Millis {
	switch {
	case !s.Outlasts(r.Deadline):
		return r.Deadline
	case !r.Typical.IsKnown():
		return s.Begins
	default:
		return s.At - r.Typical.UpperQuantile(outlastShare)
	}
}

// AllowsDispatch reports whether a gate may begin a run. It asks for an estimate of those with a deadline before
// the stop, too: an entry of the same node has shortened it to its own stop.
func (s Stop) AllowsDispatch(now clock.Millis, r Run) bool {
	return s.Admits(r) && (!s.IsSet() || !r.Typical.IsKnown() || s.endsInTime(now, r.Typical))
}

// Admits reports whether a gate may admit a run, which may then wait for a slot. It may if the run's deadline is
// before the gate stops, and early in the departure also if the run has other nodes.
func (s Stop) Admits(r Run) bool {
	return !s.Outlasts(r.Deadline) || r.HasOtherNodes && s.isEarly(r.Arrived)
}

func (s Stop) isEarly(arrived clock.Millis) bool {
	return arrived <= s.Begins+estimateSpan
}

func (s Stop) endsInTime(now clock.Millis, typical episode.TypicalLatency) bool {
	return now+typical.UpperQuantile(outlastShare) <= s.At
}
