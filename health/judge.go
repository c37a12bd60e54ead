package health

import (
	"fmt"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Detector holds the verdict on one upstream. It isn't safe for concurrent use.
type Detector struct {
	tuning tuning
	random *rand.Rand
	now    clock.Millis

	baseline Baseline
	local    localStats
	callers  callerStats

	// mild and severe test for failed and overdue outcomes, slow for late
	// answers.
	mild, severe, slow cusum
	// slowSamples is how many of the own latencies the slow test has seen.
	slowSamples int
	// typicalFailed is the share of failures that is compared with, tail the latency.
	typicalFailed                    float64
	slowThreshold, replayedThreshold clock.Millis

	// burstEnd, burstFailed and burstSlow bound the evidence of one burst.
	burstEnd               clock.Millis
	burstFailed, burstSlow int

	// suspected is when the suspicion became strong, told the count of the
	// baselines heard since that are younger.
	isSuspected    bool
	suspectedSince clock.Millis
	freshBaselines int
	// referenceBaseline is the baseline that the wait for news began with.
	referenceBaseline Baseline

	coldUntil clock.Millis
	lastEnd   clock.Millis
	lastShed  clock.Millis
	// stuck says that nothing has ended since a request became overdue.
	stuck bool
	shed  bool

	pending  Evidence
	evidence Evidence
	recovery recovery
}

// New returns a judge that holds its upstream for healthy.
func New(config Config) *Detector {
	j := &Detector{
		tuning: tuningOf(config.Caution),
		random: rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
	}
	j.slow.setShares(typicalSlow, outlierSlow)
	j.applyBaseline()
	return j
}

// cold reports whether the upstream has just started or was idle for long.
func (j *Detector) cold() bool {
	return j.now < j.coldUntil
}

// Observe takes one outcome and reports whether the state changed.
func (j *Detector) Observe(now clock.Millis, o Observation) (changed bool) {
	before := j.recovery.state
	j.advance(now)
	switch o.Result {
	case Good, Failed, Overdue:
		if o.StillOverdue && !j.stuck {
			break
		}
		j.stuck = o.Result == Overdue
		j.recordOutcome(o)
	case Shed:
		j.lastShed, j.shed = j.now, true
		j.recovery.releaseTrial()
	default:
		j.recovery.releaseTrial()
	}
	return j.recovery.state != before
}

func (j *Detector) recordOutcome(o Observation) {
	if j.now-j.lastEnd > idleTimeout {
		j.startCold()
	}
	j.lastEnd = j.now
	bad := o.Result != Good
	part := j.callers.recordOutcome(o.Caller)
	j.local.recordOutcome(bad)
	j.endBurst(o.Result)
	countedFailed := bad && j.admitFailed(o, part)
	countedSlow := j.recordLatency(o, part)
	j.recordEvidence(o.Result, countedSlow)
	if !bad || countedFailed {
		j.mild.add(bad)
		j.severe.add(bad)
	}
	if !j.mild.running() {
		clear(j.callers.failed[:])
	}
	if j.recovery.state == Trial {
		j.recordTrial(o, countedFailed, countedSlow)
		return
	}
	if j.ready() && j.thresholdReached() && j.recovery.state != Ejected {
		j.eject()
	}
	j.reduceRelapses(bad)
}

// admitFailed reports whether a bad outcome counts, given what its caller and
// the present burst have contributed already.
func (j *Detector) admitFailed(o Observation, part float64) bool {
	if j.burstFailed >= maxBurstBad {
		return false
	}
	t := countCaller(j.callers.failed[:], o.Caller)
	if !o.StillOverdue && t.count > maxContribution(part, j.tuning.mild/j.mild.badWeight, j.mild.bad) {
		return false
	}
	j.startBurst()
	j.burstFailed++
	return true
}

// endBurst forgets a burst after its span or at the first good answer: what
// fails all requests in flight at once lets none through.
func (j *Detector) endBurst(r Result) {
	if j.now >= j.burstEnd {
		j.burstFailed, j.burstSlow = 0, 0
	}
	if r == Good {
		j.burstFailed = 0
	}
}

func (j *Detector) startBurst() {
	if j.now >= j.burstEnd {
		j.burstEnd = j.now + j.tuning.burst
	}
}

// recordLatency takes the latency of an answer, or the age of an overdue
// request, and reports whether it was slow and counted.
func (j *Detector) recordLatency(o Observation, part float64) (counted bool) {
	if o.Result == Failed {
		return false
	}
	s := sample{latency: o.Latency}
	if o.Result == Overdue {
		s.latency = max(o.Latency, j.OverdueAfter())
	}
	slow := j.slowThreshold > 0 && s.latency > j.slowThreshold
	s.excluded = j.cold() || j.shed && j.now-j.lastShed < shedWindow
	if slow && !s.excluded {
		s.excluded = !j.admitSlow(o.Caller, part)
	}
	j.local.addSample(s)
	j.slowSamples = min(j.slowSamples+1, latencySamples)
	if j.slowThreshold == 0 || s.excluded {
		return false
	}
	if !slow {
		j.burstSlow = 0
	}
	j.slow.add(slow)
	if !j.slow.running() {
		clear(j.callers.slow[:])
	}
	return slow
}

func (j *Detector) admitSlow(caller string, part float64) bool {
	if j.burstSlow >= maxBurstBad {
		return false
	}
	t := countCaller(j.callers.slow[:], caller)
	if t.count > maxContribution(part, j.tuning.slow/j.slow.badWeight, j.slow.bad) {
		return false
	}
	j.startBurst()
	j.burstSlow++
	return true
}

// recordEvidence keeps the counts that a set aside is explained with.
func (j *Detector) recordEvidence(r Result, slow bool) {
	if !j.mild.running() && !j.slow.running() {
		j.pending = Evidence{Since: j.now}
	}
	j.pending.Outcomes++
	switch {
	case r == Failed:
		j.pending.Failed++
	case r == Overdue:
		j.pending.Overdue++
	case slow:
		j.pending.Slow++
	}
}

// ready reports whether the judge has suspected its upstream for long enough
// to have heard whether the others ail as well.
func (j *Detector) ready() bool {
	was := j.isSuspected
	j.isSuspected = j.progress() >= suspicionThreshold
	if !j.referenceBaseline.Known {
		j.referenceBaseline = j.baseline // the first one told is no rise
	}
	if j.isSuspected && !was || j.baselineRose() {
		j.suspectedSince, j.freshBaselines, j.referenceBaseline = j.now, 0, j.baseline
	}
	return j.isSuspected && (j.freshBaselines >= j.tuning.minBaselines || j.now-j.suspectedSince >= j.tuning.maxWait)
}

// baselineRose reports whether the service's own figures have got worse in the
// wait. While they do, what is seen here may be on its way everywhere.
func (j *Detector) baselineRose() bool {
	return max(j.baseline.Failed, minTypicalFailed) > baselineRiseFactor*max(j.referenceBaseline.Failed, minTypicalFailed) ||
		j.baseline.Tail > clock.Millis(baselineRiseFactor*float64(j.referenceBaseline.Tail))
}

func (j *Detector) thresholdReached() bool {
	return j.progress() >= 1
}

// progress returns the nearest test's score as a part of its threshold.
func (j *Detector) progress() float64 {
	if j.typicalFailed >= outageFailed {
		return max(0, j.slow.score()/j.tuning.slow)
	}
	return max(0,
		j.mild.score()/j.tuning.mild,
		j.severe.score()/j.tuning.severe,
		j.slow.score()/j.tuning.slow)
}

// restart ends all tests; those that find weak evidence start at head parts
// of their thresholds.
func (j *Detector) restart(head float64) {
	j.mild.restart(head * j.tuning.mild)
	j.severe.restart(0)
	j.slow.restart(head * j.tuning.slow)
	j.slowSamples = 0
	j.pending = Evidence{Since: j.now}
	clear(j.callers.failed[:])
	clear(j.callers.slow[:])
}

// completeEvidence completes the evidence of a set aside.
func (j *Detector) completeEvidence() {
	e := j.pending
	e.At = j.now
	e.Baseline = j.baseline
	e.Score, e.Threshold = j.mild.score(), j.tuning.mild
	if s := j.severe.score(); s/j.tuning.severe > e.Score/e.Threshold {
		e.Score, e.Threshold = s, j.tuning.severe
	}
	if s := j.slow.score(); s/j.tuning.slow > e.Score/e.Threshold {
		e.Score, e.Threshold = s, j.tuning.slow
	}
	e.Reason = fmt.Sprintf("%d failed, %d overdue and %d slow of %d outcomes in %v; usual are %.1f%% failed",
		e.Failed, e.Overdue, e.Slow, e.Outcomes, e.At-e.Since, 100*j.typicalFailed)
	if j.slowThreshold > 0 {
		e.Reason += fmt.Sprintf(" and nine answers in ten within %v", j.slowThreshold)
	}
	j.evidence = e
}
