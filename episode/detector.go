package episode

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// Detector wraps a Filter in the methods of health.Detector, so that a gate can use either.
// It is not safe for concurrent use.
type Detector struct {
	filter   *Filter
	trials   Trials
	outcomes outcomeCounts
	evidence health.Evidence
	state    health.State
}

// outcomeCounts counts the outcomes since the last good one while the upstream was in use.
type outcomeCounts struct {
	since                     clock.Millis
	outcomes, failed, overdue int
}

// NewDetector returns a Detector for an upstream that is assumed to be healthy.
func NewDetector() *Detector {
	return &Detector{filter: New(0)}
}

// SetBaseline does nothing: this detector doesn't compare with the service's other
// upstreams, half of which may be in an episode.
func (*Detector) SetBaseline(health.Baseline) {}

// LocalBaseline returns an unknown baseline; Status carries the probability instead.
func (*Detector) LocalBaseline() health.Baseline { return health.Baseline{} }

// OverdueAfter returns the age from which a request without an answer is evidence.
func (*Detector) OverdueAfter() clock.Millis { return overdueAfter }

// Admit reports whether the upstream may be sent a request now.
func (d *Detector) Admit(now clock.Millis, repeatable bool) bool {
	return d.trials.Admit(now, d.filter.Probability(now), repeatable)
}

// Observe records the outcome of a run without an earlier call of Begin, and reports
// whether the state changed.
func (d *Detector) Observe(now clock.Millis, o health.Observation) bool {
	if resultOf(o) == Neutral {
		return false
	}
	return d.End(now, d.Begin(now, TypicalLatency{}), o)
}

// Begin records that a run starts at the upstream, and its typical latency.
func (d *Detector) Begin(now clock.Millis, typical TypicalLatency) *Run {
	d.trials.RecordStart(now)
	return d.filter.Begin(now, typical)
}

// End records the outcome of a run, and reports whether the state changed.
func (d *Detector) End(now clock.Millis, r *Run, o health.Observation) bool {
	result := resultOf(o)
	d.filter.End(now, r, result)
	if result != Neutral {
		d.recordResult(now, result)
		d.trials.RecordResult(result == Good)
	}
	before := d.state
	d.updateState(now)
	return d.state != before
}

// NextCheck returns the instant at which to check an unfinished run again.
func (d *Detector) NextCheck(now clock.Millis, r *Run) clock.Millis {
	return d.filter.NextCheck(now, r)
}

// HangProbability returns the probability that a run hangs, that is, never ends by itself.
func (d *Detector) HangProbability(now clock.Millis, r *Run) float64 {
	return d.filter.HangProbability(now, r)
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

func (d *Detector) recordResult(now clock.Millis, r Result) {
	if d.state == health.InUse && r == Good {
		d.outcomes = outcomeCounts{since: now}
	}
	d.outcomes.outcomes++
	switch r {
	case Failed, Broken:
		d.outcomes.failed++
	case Overdue, Stopped:
		d.outcomes.overdue++
	case Good, Shed, Neutral:
	}
}

// updateState derives the state from the probability at now, and keeps the evidence of an
// ejection.
func (d *Detector) updateState(now clock.Millis) {
	p := d.filter.Probability(now)
	next := health.InUse
	if p >= EjectThreshold {
		next = health.Ejected
	}
	if next == health.Ejected && d.state != health.Ejected {
		d.evidence = health.Evidence{
			Since:     d.outcomes.since,
			At:        now,
			Outcomes:  d.outcomes.outcomes,
			Failed:    d.outcomes.failed,
			Overdue:   d.outcomes.overdue,
			Score:     p,
			Threshold: EjectThreshold,
			Reason:    fmt.Sprintf("%d of %d outcomes failed", d.outcomes.failed, d.outcomes.outcomes),
		}
	}
	d.state = next
}

// NeedsRequest reports whether the upstream has had no request for too long.
func (d *Detector) NeedsRequest(now clock.Millis) bool {
	return d.trials.Due(now, d.filter.Probability(now))
}

// Status returns the verdict at now. Its severity is the probability of an episode.
func (d *Detector) Status(now clock.Millis) health.Status {
	d.updateState(now)
	return health.Status{
		State:    d.state,
		Severity: d.filter.Probability(now),
		Share:    1,
		Evidence: d.evidence,
	}
}
