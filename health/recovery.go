package health

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// recovery is the state machine of an ejected upstream: hold-off, trial, ramp, in use.
type recovery struct {
	state State
	// since and until are the start and end of the state. until is 0 if the state has
	// no time limit.
	since, until clock.Millis
	relapses     int
	wasEjected   bool
	holdOff      clock.Millis
	// rampPending requests a ramp at the next call of advance.
	rampPending bool

	trialsLeft, passed, failed, slow int
	// probeFailed is true if a probe has failed during this hold-off, so that probes
	// are known to detect the fault.
	probeFailed bool
	probesOK    int

	// goodOutcomes counts the good outcomes since goodSince, when relapses was last
	// reduced or the upstream came into use.
	goodOutcomes int
	goodSince    clock.Millis
}

// requestRamp requests a ramp for an upstream that is in use.
func (r *recovery) requestRamp() {
	r.rampPending = r.state == InUse
}

// enter changes to state s for span, or without a time limit if span is 0.
func (r *recovery) enter(s State, now, span clock.Millis) {
	r.state, r.since, r.until = s, now, 0
	if span > 0 {
		r.until = now + span
	}
}

// releaseTrial allows another request in place of one whose outcome is no evidence.
func (r *recovery) releaseTrial() {
	if r.state == Trial {
		r.trialsLeft = min(r.trialsLeft+1, trialRequests)
	}
}

// advance applies the state changes that are due by now.
func (d *Detector) advance(now clock.Millis) {
	d.now = max(d.now, now)
	r := &d.recovery
	if r.rampPending {
		r.rampPending = false
		d.startCold()
		r.enter(Ramp, d.now, rampWindow)
	}
	if r.state == Ejected && d.now >= r.until {
		r.trialsLeft, r.passed, r.failed, r.slow = trialRequests, 0, 0, 0
		r.enter(Trial, d.now, trialTimeout)
		d.restart(0)
	}
	if r.state == Trial && d.now >= r.until {
		d.startRamp()
	}
	if r.state == Ramp && d.now >= r.until {
		r.enter(InUse, d.now, 0)
		r.goodOutcomes, r.goodSince = 0, d.now
	}
	if d.coldUntil != 0 && d.now >= d.coldUntil {
		d.coldUntil = 0
		d.applyBaseline()
	}
}

// startRamp ends a trial. The tests get a head start, because a trial of ten requests
// doesn't prove that the upstream is healthy.
func (d *Detector) startRamp() {
	d.recovery.enter(Ramp, d.now, rampWindow)
	d.restart(headStart)
}

// startCold begins a cold start, unless the clock is at 0 and the upstream had no outcome.
func (d *Detector) startCold() {
	if d.now == 0 && d.local.outcomes == 0 {
		return
	}
	d.coldUntil = d.now + coldWindow
	d.slowSamples = 0
	d.slow.restart(0)
	d.applyBaseline()
}

// eject starts a hold-off, which grows with each relapse.
func (d *Detector) eject() {
	d.completeEvidence()
	r := &d.recovery
	if r.wasEjected {
		r.relapses++
	}
	r.wasEjected = true
	r.probeFailed, r.probesOK = false, 0
	growth := math.Exp2(float64(min(r.relapses, holdOffDoublings)))
	jitter := 1 + holdOffJitter*(2*d.random.Float64()-1)
	r.holdOff = clock.Millis(float64(holdOffBase) * growth * jitter)
	r.enter(Ejected, d.now, r.holdOff)
	d.coldUntil = 0
	d.restart(0)
}

// recordTrial counts the outcome of a trial request and ends the trial once the counts
// decide it. It ignores requests that were sent before the trial.
func (d *Detector) recordTrial(o Observation, failed, slow bool) {
	r := &d.recovery
	if d.now-o.Latency < r.since {
		return
	}
	switch {
	case failed:
		r.failed++
	case o.Result == Good:
		r.passed++
	}
	if slow {
		r.slow++
	}
	tooSlow := r.slow >= trialSlow && d.evidence.Slow > 0
	switch {
	case r.failed >= trialFailures+int(trialRequests*2*d.typicalFailed) || tooSlow:
		d.eject()
	case r.passed >= trialPasses:
		d.startRamp()
	}
}

// reduceRelapses decrements the count of relapses after enough good outcomes over a long
// enough time in use.
func (d *Detector) reduceRelapses(bad bool) {
	r := &d.recovery
	if r.state != InUse || bad || !r.wasEjected {
		return
	}
	r.goodOutcomes++
	if r.goodOutcomes < relapseGood || d.now-r.goodSince < max(relapseWindow, r.holdOff) {
		return
	}
	r.goodOutcomes, r.goodSince = 0, d.now
	if r.relapses == 0 {
		r.wasEjected = false
		return
	}
	r.relapses--
}

// Status returns the verdict at now. The changes from hold-off to trial and from ramp to
// in use need no outcome.
func (d *Detector) Status(now clock.Millis) Status {
	d.advance(now)
	r := &d.recovery
	s := Status{State: r.state, Until: r.until, Relapses: r.relapses, Evidence: d.evidence}
	switch r.state {
	case InUse:
		s.Share = 1
		s.Severity = d.progress() / 2
	case Ramp:
		elapsed := float64(d.now-r.since) / float64(rampWindow)
		s.Share = rampInitialShare + (1-rampInitialShare)*elapsed
		s.Severity = d.progress() / 2
	case Trial:
		s.Share = TrialShare
		s.Severity = 0.5 + d.ejectedSeverity()/2
	default:
		s.Severity = 0.5 + d.ejectedSeverity()/2
	}
	return s
}

// ejectedSeverity returns how badly an ejected upstream serves, from 0 to 1. It is the
// share of recent failures, which requests that are served under the floor keep
// current, or half the share of slow answers before the ejection if that is higher.
func (d *Detector) ejectedSeverity() float64 {
	slow := float64(d.evidence.Slow) / float64(max(1, d.evidence.Outcomes))
	return max(d.local.shortFailed, slow/2)
}

// Admit reports whether the upstream may be sent one more request now. During a trial it
// admits a limited number of requests, all of them repeatable, and counts them.
func (d *Detector) Admit(now clock.Millis, repeatable bool) bool {
	d.advance(now)
	r := &d.recovery
	switch r.state {
	case Ejected:
		return false
	case Trial:
		if !repeatable || r.trialsLeft == 0 {
			return false
		}
		r.trialsLeft--
		return true
	default:
		return true
	}
}

// probesNeeded is the number of good probes without a failed one that can end a hold-off.
const probesNeeded = 2

// RecordProbe takes the result of a health check, a probe. A failed one gives the tests a head
// start, once. Good probes end a hold-off after half of it, but only if a probe has
// failed during it: a faulty upstream that always answers its probes proves nothing by
// them. No probe ejects or readmits an upstream by itself.
func (d *Detector) RecordProbe(now clock.Millis, ok bool) {
	d.advance(now)
	r := &d.recovery
	switch {
	case r.state == Ejected && !ok:
		r.probeFailed, r.probesOK = true, 0
	case r.state == Ejected:
		r.probesOK++
		if r.probeFailed && r.probesOK >= probesNeeded {
			r.until = min(r.until, max(d.now, r.since+r.holdOff/2))
			d.advance(now)
		}
	case r.state == InUse && !ok && !d.mild.isPositive():
		d.mild.restart(headStart * d.tuning.mild)
	}
}
