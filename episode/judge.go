package episode

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// Detector gives a Filter the form of health.Judge, so that a gate can work with
// either. It is not safe for concurrent use.
type Detector struct {
	filter   *Filter
	trials   Trials
	outcomes outcomeCounts
	evidence health.Evidence
	state    health.State
}

// outcomeCounts counts the outcomes since the upstream was last sound.
type outcomeCounts struct {
	since                     clock.Millis
	outcomes, failed, overdue int
}

// NewDetector returns a judge that holds its upstream for sound.
func NewDetector() *Detector {
	return &Detector{filter: New(0)}
}

// SetBaseline does nothing: what is usual here doesn't move with the others,
// half of which may be in an episode.
func (*Detector) SetBaseline(health.Baseline) {}

// LocalBaseline tells no figures of its own; Status carries the probability.
func (*Detector) LocalBaseline() health.Baseline { return health.Baseline{} }

// OverdueAfter is the age at which a request without an answer is evidence.
func (*Detector) OverdueAfter() clock.Millis { return overdueAfter }

// Admit reports whether the upstream may be given a request.
func (j *Detector) Admit(now clock.Millis, repeatable bool) bool {
	return j.trials.Admit(now, j.filter.Probability(now), repeatable)
}

// Observe takes one outcome of a run that wasn't told of before, and reports whether the
// state changed.
func (j *Detector) Observe(now clock.Millis, o health.Observation) bool {
	if resultOf(o) == Neutral {
		return false
	}
	return j.End(now, j.Begin(now, TypicalLatency{}), o)
}

// Begin takes in that the upstream was given a run, and how long such runs usually take.
func (j *Detector) Begin(now clock.Millis, u TypicalLatency) *Run {
	j.trials.RecordStart(now)
	return j.filter.Begin(now, u)
}

// End takes in what became of a run, and reports whether the state changed.
func (j *Detector) End(now clock.Millis, r *Run, o health.Observation) bool {
	result := resultOf(o)
	j.filter.End(now, r, result)
	if result != Neutral {
		j.recordResult(now, result)
		j.trials.RecordResult(result == Good)
	}
	before := j.state
	j.updateState(now)
	return j.state != before
}

// NextCheck returns when to look next at a run that has come to no end.
func (j *Detector) NextCheck(now clock.Millis, r *Run) clock.Millis {
	return j.filter.NextCheck(now, r)
}

// HangProbability is the probability that a run will come to no end of its own.
func (j *Detector) HangProbability(now clock.Millis, r *Run) float64 {
	return j.filter.HangProbability(now, r)
}

func resultOf(o health.Observation) Result {
	switch o.Result {
	case health.Good:
		return Good
	case health.Failed:
		if o.IsTruncated {
			return Broken
		}
		return Failed
	case health.Overdue, health.ShortDeadline, health.Cancelled:
		return Stopped
	case health.Shed:
		return Shed
	default:
		return Neutral
	}
}

func (j *Detector) recordResult(now clock.Millis, r Result) {
	if j.state == health.InUse && r == Good {
		j.outcomes = outcomeCounts{since: now}
	}
	j.outcomes.outcomes++
	switch r {
	case Failed, Broken:
		j.outcomes.failed++
	case Overdue, Stopped:
		j.outcomes.overdue++
	case Good, Shed, Neutral:
	}
}

// updateState brings the state up to date.
func (j *Detector) updateState(now clock.Millis) {
	p := j.filter.Probability(now)
	next := health.InUse
	if p >= EjectThreshold {
		next = health.Ejected
	}
	if next == health.Ejected && j.state != health.Ejected {
		j.evidence = health.Evidence{
			Since:     j.outcomes.since,
			At:        now,
			Outcomes:  j.outcomes.outcomes,
			Failed:    j.outcomes.failed,
			Overdue:   j.outcomes.overdue,
			Score:     p,
			Threshold: EjectThreshold,
			Reason:    fmt.Sprintf("%d of %d outcomes failed", j.outcomes.failed, j.outcomes.outcomes),
		}
	}
	j.state = next
}

// NeedsRequest reports whether the upstream has got no request for too long.
func (j *Detector) NeedsRequest(now clock.Millis) bool {
	return j.trials.Due(now, j.filter.Probability(now))
}

// Status is the verdict at an instant. Its severity is the probability.
func (j *Detector) Status(now clock.Millis) health.Status {
	j.updateState(now)
	return health.Status{
		State:    j.state,
		Severity: j.filter.Probability(now),
		Share:    1,
		Evidence: j.evidence,
	}
}
