package health

import (
	"fmt"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Detector detects failures of one upstream. It isn't safe for concurrent use.
type Detector struct {
	tuning tuning
	random *rand.Rand
	now    clock.Millis

	baseline Baseline
	local    localStats
	callers  callerStats

	// mild and severe test for failed and overdue outcomes, slow for slow answers.
	mild, severe, slow cusum
	// slowSamples is the number of retained latency samples that the slow test has used.
	slowSamples int
	// typicalFailed is the share of failures, and slowThreshold the latency, that
	// outcomes are compared with. replayedThreshold is the slow threshold at the last
	// replay of the slow test, or a lower one since; a rise above it causes a replay.
	typicalFailed                    float64
	slowThreshold, replayedThreshold clock.Millis

	// burstEnd is the end of the current burst; burstFailed and burstSlow count the bad
	// outcomes that it has contributed to the evidence.
	burstEnd               clock.Millis
	burstFailed, burstSlow int

	// isSuspected is true while the score is at or above suspicionThreshold, since
	// suspectedSince. freshBaselines counts the baselines received since then that are
	// also newer than it.
	isSuspected    bool
	suspectedSince clock.Millis
	freshBaselines int
	// referenceBaseline is the baseline at suspectedSince.
	referenceBaseline Baseline

	coldUntil clock.Millis
	lastEnd   clock.Millis
	lastShed  clock.Millis
	// stuck is true if no request has ended since one became overdue.
	stuck   bool
	hasShed bool

	pending  Evidence
	evidence Evidence
	recovery recovery
}

// New returns a Detector for an upstream that is assumed to be healthy.
func New(config Config) *Detector {
	d := &Detector{
		tuning: tuningOf(config.Caution),
		random: rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
	}
	d.slow.setShares(typicalSlow, outlierSlow)
	d.applyBaseline()
	return d
}

// isCold reports whether the upstream has just started or was just idle for longer
// than idleTimeout.
func (d *Detector) isCold() bool {
	return d.now < d.coldUntil
}

// Observe takes the outcome of one request and reports whether the state changed.
func (d *Detector) Observe(now clock.Millis, o Observation) (changed bool) {
	before := d.recovery.state
	d.advance(now)
	switch o.Result {
	case Good, Failed, Overdue:
		if o.StillOverdue && !d.stuck {
			break
		}
		d.stuck = o.Result == Overdue
		d.recordOutcome(o)
	case Shed:
		d.lastShed, d.hasShed = d.now, true
		d.recovery.releaseTrial()
	default:
		d.recovery.releaseTrial()
	}
	return d.recovery.state != before
}

// recordOutcome takes an outcome that is evidence and ejects the upstream if a test
// reaches its threshold.
func (d *Detector) recordOutcome(o Observation) {
	if d.now-d.lastEnd > idleTimeout {
		d.startCold()
	}
	d.lastEnd = d.now
	bad := o.Result != Good
	callerShare := d.callers.recordOutcome(o.Caller)
	d.local.recordOutcome(bad)
	d.endBurst(o.Result)
	countedFailed := bad && d.admitFailed(o, callerShare)
	countedSlow := d.recordLatency(o, callerShare)
	d.recordEvidence(o.Result, countedSlow)
	if !bad || countedFailed {
		d.mild.add(bad)
		d.severe.add(bad)
	}
	if !d.mild.isPositive() {
		clear(d.callers.failed[:])
	}
	if d.recovery.state == Trial {
		d.recordTrial(o, countedFailed, countedSlow)
		return
	}
	if d.ready() && d.thresholdReached() && d.recovery.state != Ejected {
		d.eject()
	}
	d.reduceRelapses(bad)
}

// admitFailed reports whether a bad outcome counts as evidence, given how much its
// caller and the current burst have contributed already. It counts the outcome for both.
func (d *Detector) admitFailed(o Observation, callerShare float64) bool {
	if d.burstFailed >= maxBurstBad {
		return false
	}
	t := countCaller(d.callers.failed[:], o.Caller)
	if !o.StillOverdue && t.count > maxContribution(callerShare, d.tuning.mild/d.mild.badWeight, d.mild.bad) {
		return false
	}
	d.startBurst()
	d.burstFailed++
	return true
}

// endBurst resets the counts of a burst after its end. A good answer also resets the
// count of failures: an event that fails all requests in flight lets no answer through.
func (d *Detector) endBurst(r Result) {
	if d.now >= d.burstEnd {
		d.burstFailed, d.burstSlow = 0, 0
	}
	if r == Good {
		d.burstFailed = 0
	}
}

// startBurst begins a burst unless one is in progress.
func (d *Detector) startBurst() {
	if d.now >= d.burstEnd {
		d.burstEnd = d.now + d.tuning.burst
	}
}

// recordLatency takes the latency of an answer, or the age of an overdue request, and
// reports whether it was slow and counted as evidence.
func (d *Detector) recordLatency(o Observation, callerShare float64) (counted bool) {
	if o.Result == Failed {
		return false
	}
	s := sample{latency: o.Latency}
	if o.Result == Overdue {
		s.latency = max(o.Latency, d.OverdueAfter())
	}
	slow := d.slowThreshold > 0 && s.latency > d.slowThreshold
	s.excluded = d.isCold() || d.hasShed && d.now-d.lastShed < shedWindow
	if slow && !s.excluded {
		s.excluded = !d.admitSlow(o.Caller, callerShare)
	}
	d.local.addSample(s)
	d.slowSamples = min(d.slowSamples+1, latencySamples)
	if d.slowThreshold == 0 || s.excluded {
		return false
	}
	if !slow {
		d.burstSlow = 0
	}
	d.slow.add(slow)
	if !d.slow.isPositive() {
		clear(d.callers.slow[:])
	}
	return slow
}

// admitSlow does for a slow answer what admitFailed does for a failure.
func (d *Detector) admitSlow(caller string, callerShare float64) bool {
	if d.burstSlow >= maxBurstBad {
		return false
	}
	t := countCaller(d.callers.slow[:], caller)
	if t.count > maxContribution(callerShare, d.tuning.slow/d.slow.badWeight, d.slow.bad) {
		return false
	}
	d.startBurst()
	d.burstSlow++
	return true
}

// recordEvidence updates the counts that explain an ejection. They start anew while the
// scores of the mild and the slow test are zero.
func (d *Detector) recordEvidence(r Result, slow bool) {
	if !d.mild.isPositive() && !d.slow.isPositive() {
		d.pending = Evidence{Since: d.now}
	}
	d.pending.Outcomes++
	switch {
	case r == Failed:
		d.pending.Failed++
	case r == Overdue:
		d.pending.Overdue++
	case slow:
		d.pending.Slow++
	}
}

// ready reports whether the upstream has been suspected for long enough to have received
// whether the service's other upstreams fail as well.
func (d *Detector) ready() bool {
	wasSuspected := d.isSuspected
	d.isSuspected = d.progress() >= suspicionThreshold
	if !d.referenceBaseline.Known {
		d.referenceBaseline = d.baseline // the first known baseline is no rise
	}
	if d.isSuspected && !wasSuspected || d.baselineRose() {
		d.suspectedSince, d.freshBaselines, d.referenceBaseline = d.now, 0, d.baseline
	}
	return d.isSuspected && (d.freshBaselines >= d.tuning.minBaselines || d.now-d.suspectedSince >= d.tuning.maxWait)
}

// baselineRose reports whether the service's baseline has become worse since
// suspectedSince. While it does, the failures seen here may be those of a common fault.
func (d *Detector) baselineRose() bool {
	return max(d.baseline.Failed, minTypicalFailed) > baselineRiseFactor*max(d.referenceBaseline.Failed, minTypicalFailed) ||
		d.baseline.Tail > clock.Millis(baselineRiseFactor*float64(d.referenceBaseline.Tail))
}

func (d *Detector) thresholdReached() bool {
	return d.progress() >= 1
}

// progress returns the score of the test that is closest to its threshold, as a fraction
// of that threshold.
func (d *Detector) progress() float64 {
	if d.typicalFailed >= outageFailed {
		return max(0, d.slow.score()/d.tuning.slow)
	}
	return max(0,
		d.mild.score()/d.tuning.mild,
		d.severe.score()/d.tuning.severe,
		d.slow.score()/d.tuning.slow)
}

// restart restarts all tests and drops the evidence. The mild and the slow test start at
// initialShare of their thresholds, the severe test at zero.
func (d *Detector) restart(initialShare float64) {
	d.mild.restart(initialShare * d.tuning.mild)
	d.severe.restart(0)
	d.slow.restart(initialShare * d.tuning.slow)
	d.slowSamples = 0
	d.pending = Evidence{Since: d.now}
	clear(d.callers.failed[:])
	clear(d.callers.slow[:])
}

// completeEvidence turns the pending counts into the evidence of an ejection, with the
// score and threshold of the test that is closest to its threshold.
func (d *Detector) completeEvidence() {
	e := d.pending
	e.At = d.now
	e.Baseline = d.baseline
	e.Score, e.Threshold = d.mild.score(), d.tuning.mild
	if s := d.severe.score(); s/d.tuning.severe > e.Score/e.Threshold {
		e.Score, e.Threshold = s, d.tuning.severe
	}
	if s := d.slow.score(); s/d.tuning.slow > e.Score/e.Threshold {
		e.Score, e.Threshold = s, d.tuning.slow
	}
	e.Reason = fmt.Sprintf("%d failed, %d overdue and %d slow of %d outcomes in %v; usual are %.1f%% failed",
		e.Failed, e.Overdue, e.Slow, e.Outcomes, e.At-e.Since, 100*d.typicalFailed)
	if d.slowThreshold > 0 {
		e.Reason += fmt.Sprintf(" and nine answers in ten within %v", d.slowThreshold)
	}
	d.evidence = e
}
