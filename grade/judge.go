package grade

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// overdueAfter is when a request without an answer counts as evidence: three
// times what the slowest kind of today's requests takes on average (1.7 s), which
// one in two hundred of them exceeds.
const overdueAfter = 5 * clock.Second

// Judge gives a Filter the form of health.Judge, so that a gate can work with
// either. It is not safe for concurrent use.
type Judge struct {
	filter   *Filter
	trials   Trials
	outcomes tally
	evidence health.Evidence
	state    health.State
}

// tally counts the outcomes since the upstream was last sound.
type tally struct {
	since                     clock.Millis
	outcomes, failed, overdue int
}

// NewJudge returns a judge that holds its upstream for sound.
func NewJudge() *Judge {
	return &Judge{filter: New(0)}
}

// SetBaseline does nothing: what is usual here doesn't move with the others,
// half of which may be in an episode.
func (*Judge) SetBaseline(health.Baseline) {}

// Own tells no figures of its own; Status carries the probability.
func (*Judge) Own() health.Baseline { return health.Baseline{} }

// OverdueAfter is the age at which a request without an answer is evidence.
func (*Judge) OverdueAfter() clock.Millis { return overdueAfter }

// Admit reports whether the upstream may be given a request.
func (j *Judge) Admit(now clock.Millis, repeatable bool) bool {
	return j.trials.Admit(now, j.filter.Probability(now), repeatable)
}

// Observe takes one outcome and reports whether the state changed.
func (j *Judge) Observe(now clock.Millis, o health.Observation) bool {
	r, ok := resultOf(o)
	if !ok || o.Again {
		return false
	}
	j.count(now, r)
	if o.Lasted {
		j.filter.ObserveLasted(now, r)
	} else {
		j.filter.Observe(now, r)
	}
	j.trials.Ended(r == Good)
	before := j.state
	j.note(now)
	return j.state != before
}

// Began takes in that the upstream was sent a request.
func (j *Judge) Began(now clock.Millis) {
	j.trials.Began(now)
}

// Lasting takes in that a run has outlasted those of an episode.
func (j *Judge) Lasting(now clock.Millis) {
	j.filter.Lasting(now)
	j.note(now)
}

func resultOf(o health.Observation) (Result, bool) {
	switch o.Result {
	case health.Good:
		return Good, true
	case health.Failed:
		if o.IsTorn {
			return Broken, true
		}
		return Failed, true
	case health.Overdue:
		return Overdue, true
	case health.Shed:
		return Shed, true
	default:
		return 0, false
	}
}

func (j *Judge) count(now clock.Millis, r Result) {
	if j.state == health.InUse && r == Good {
		j.outcomes = tally{since: now}
	}
	j.outcomes.outcomes++
	switch r {
	case Failed, Broken:
		j.outcomes.failed++
	case Overdue:
		j.outcomes.overdue++
	case Good, Shed:
	}
}

// note brings the state up to date.
func (j *Judge) note(now clock.Millis) {
	p := j.filter.Probability(now)
	next := health.InUse
	if p >= Aside {
		next = health.Aside
	}
	if next == health.Aside && j.state != health.Aside {
		j.evidence = health.Evidence{
			Since:     j.outcomes.since,
			At:        now,
			Outcomes:  j.outcomes.outcomes,
			Failed:    j.outcomes.failed,
			Overdue:   j.outcomes.overdue,
			Score:     p,
			Threshold: Aside,
			Reason:    fmt.Sprintf("%d of %d outcomes failed", j.outcomes.failed, j.outcomes.outcomes),
		}
	}
	j.state = next
}

// Wants reports whether the upstream has got no request for too long.
func (j *Judge) Wants(now clock.Millis) bool {
	return j.trials.Due(now, j.filter.Probability(now))
}

// Status is the verdict at an instant. Its severity is the probability.
func (j *Judge) Status(now clock.Millis) health.Status {
	j.note(now)
	return health.Status{
		State:    j.state,
		Severity: j.filter.Probability(now),
		Share:    1,
		Evidence: j.evidence,
	}
}
