package health

import (
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	usualFailed = 0.01
	sickFailed  = 0.10
	threshold   = 12
	holdOff     = 5 * clock.Second
	rampSpan    = 10 * clock.Second
	trialPlaces = 10
	overdueMin  = clock.Second
)

// Judge holds the verdict on one upstream. It isn't safe for concurrent use.
type Judge struct {
	config   Config
	baseline Baseline
	state    State
	score    float64
	until    clock.Millis
	places   int
	passed   int
	relapses int
	pending  Evidence
	evidence Evidence
}

// New returns a judge that holds its upstream for healthy.
func New(config Config) *Judge {
	return &Judge{config: config}
}

// SetBaseline replaces what is usual for the service.
func (j *Judge) SetBaseline(b Baseline) {
	j.baseline = b
}

// OverdueAfter returns the age at which an unanswered request is overdue.
func (j *Judge) OverdueAfter() clock.Millis {
	return max(overdueMin, 10*j.baseline.Latency)
}

// Observe takes one outcome and reports whether the state changed.
func (j *Judge) Observe(now clock.Millis, o Observation) (changed bool) {
	before := j.state
	j.advance(now)
	switch o.Result {
	case Good:
		j.good()
	case Failed, Overdue:
		j.bad(now, o.Result)
	default:
	}
	return j.state != before
}

func (j *Judge) good() {
	j.pending.Outcomes++
	j.score = max(0, j.score+math.Log((1-sickFailed)/(1-usualFailed)))
	if j.state == Trial {
		j.passed++
	}
}

func (j *Judge) bad(now clock.Millis, r Result) {
	if j.score == 0 {
		j.pending = Evidence{Since: now}
	}
	j.pending.Outcomes++
	if r == Failed {
		j.pending.Failed++
	} else {
		j.pending.Overdue++
	}
	j.score += math.Log(sickFailed / usualFailed)
	if j.state != Aside && (j.score >= threshold || j.state == Trial) {
		j.setAside(now)
	}
}

func (j *Judge) setAside(now clock.Millis) {
	j.evidence = j.pending
	j.evidence.At = now
	j.evidence.Score = j.score
	j.evidence.Threshold = threshold
	j.evidence.Baseline = j.baseline
	j.evidence.Reason = "its share of failures is above the service's"
	j.state = Aside
	j.relapses++
	j.until = now + holdOff
	j.score = 0
}

func (j *Judge) advance(now clock.Millis) {
	if j.state == Aside && now >= j.until {
		j.state, j.places, j.passed = Trial, trialPlaces, 0
	}
	if j.state == Trial && j.passed >= trialPlaces {
		j.state, j.until = Ramp, now+rampSpan
	}
	if j.state == Ramp && now >= j.until {
		j.state, j.until = InUse, 0
	}
}

// Status returns the verdict at now. Time alone moves it from hold-off to
// trial and from ramp to in use.
func (j *Judge) Status(now clock.Millis) Status {
	j.advance(now)
	s := Status{State: j.state, Until: j.until, Relapses: j.relapses, Evidence: j.evidence}
	s.Severity = min(1, j.score/threshold)
	switch j.state {
	case InUse:
		s.Share = 1
	case Ramp:
		s.Share = 1 - float64(j.until-now)/float64(rampSpan)
	default:
		s.Severity = 1
	}
	return s
}

// Admit reports whether the upstream may be given one more request now. In a
// trial it takes one of the places left, for repeatable requests only.
func (j *Judge) Admit(now clock.Millis, repeatable bool) bool {
	j.advance(now)
	switch j.state {
	case Aside:
		return false
	case Trial:
		if !repeatable || j.places == 0 {
			return false
		}
		j.places--
		return true
	default:
		return true
	}
}

// Probed takes the answer of a probe. It may start suspicion or end a
// hold-off, and never sets aside or readmits by itself.
func (j *Judge) Probed(now clock.Millis, ok bool) {
	j.advance(now)
	if !ok && j.state == InUse {
		j.score = max(j.score, threshold/4.0)
	}
}

// Own returns the upstream's own recent share of failures and median latency.
func (j *Judge) Own() Baseline {
	return Baseline{}
}

// Median returns the medians over the known baselines of a service's gates.
func Median(all []Baseline) Baseline {
	var failed []float64
	var latency []clock.Millis
	for _, b := range all {
		if b.Known {
			failed = append(failed, b.Failed)
			latency = append(latency, b.Latency)
		}
	}
	if len(failed) == 0 {
		return Baseline{}
	}
	slices.Sort(failed)
	slices.Sort(latency)
	return Baseline{Known: true, Failed: failed[len(failed)/2], Latency: latency[len(latency)/2]}
}
