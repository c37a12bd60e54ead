package health

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// recovery is how far a set aside upstream is on its way back: hold-off,
// trial, ramp, in use.
type recovery struct {
	state State
	// since and until bound the state; until is 0 if it doesn't end by time.
	since, until clock.Millis
	relapses     int
	wasEjected   bool
	holdOff      clock.Millis
	// rampPending asks for a ramp at the next advance.
	rampPending bool

	trialsLeft, passed, failed, slow int
	// probeFailed says that probes can tell this fault from health.
	probeFailed bool
	probesOK    int

	// goodOutcomes and goodSince are the good service since the last relapse was
	// forgiven.
	goodOutcomes int
	goodSince    clock.Millis
}

func (c *recovery) requestRamp() {
	c.rampPending = c.state == InUse
}

func (c *recovery) enter(s State, now, span clock.Millis) {
	c.state, c.since, c.until = s, now, 0
	if span > 0 {
		c.until = now + span
	}
}

// releaseTrial frees the place of a trial whose request told nothing.
func (c *recovery) releaseTrial() {
	if c.state == Trial {
		c.trialsLeft = min(c.trialsLeft+1, trialRequests)
	}
}

// advance moves the state by time alone.
func (j *Detector) advance(now clock.Millis) {
	j.now = max(j.now, now)
	c := &j.recovery
	if c.rampPending {
		c.rampPending = false
		j.startCold()
		c.enter(Ramp, j.now, rampWindow)
	}
	if c.state == Ejected && j.now >= c.until {
		c.trialsLeft, c.passed, c.failed, c.slow = trialRequests, 0, 0, 0
		c.enter(Trial, j.now, trialTimeout)
		j.restart(0)
	}
	if c.state == Trial && j.now >= c.until {
		j.startRamp()
	}
	if c.state == Ramp && j.now >= c.until {
		c.enter(InUse, j.now, 0)
		c.goodOutcomes, c.goodSince = 0, j.now
	}
	if j.coldUntil != 0 && j.now >= j.coldUntil {
		j.coldUntil = 0
		j.applyBaseline()
	}
}

// startRamp ends a trial. The tests get a head start, for what passed a trial of
// ten is not yet known to be healthy.
func (j *Detector) startRamp() {
	j.recovery.enter(Ramp, j.now, rampWindow)
	j.restart(headStart)
}

// startCold begins a cold start.
func (j *Detector) startCold() {
	if j.now == 0 && j.local.outcomes == 0 {
		return
	}
	j.coldUntil = j.now + coldWindow
	j.slowSamples = 0
	j.slow.restart(0)
	j.applyBaseline()
}

func (j *Detector) eject() {
	j.completeEvidence()
	c := &j.recovery
	if c.wasEjected {
		c.relapses++
	}
	c.wasEjected = true
	c.probeFailed, c.probesOK = false, 0
	growth := math.Exp2(float64(min(c.relapses, holdOffDoublings)))
	jitter := 1 + holdOffJitter*(2*j.random.Float64()-1)
	c.holdOff = clock.Millis(float64(holdOffBase) * growth * jitter)
	c.enter(Ejected, j.now, c.holdOff)
	j.coldUntil = 0
	j.restart(0)
}

// recordTrial takes an outcome of a trial. Requests sent before it don't count.
func (j *Detector) recordTrial(o Observation, failed, slow bool) {
	c := &j.recovery
	if j.now-o.Latency < c.since {
		return
	}
	switch {
	case failed:
		c.failed++
	case o.Result == Good:
		c.passed++
	}
	if slow {
		c.slow++
	}
	lame := c.slow >= trialSlow && j.evidence.Slow > 0
	switch {
	case c.failed >= trialFailures+int(trialRequests*2*j.typicalFailed) || lame:
		j.eject()
	case c.passed >= trialPasses:
		j.startRamp()
	}
}

// reduceRelapses takes a relapse off after good service.
func (j *Detector) reduceRelapses(bad bool) {
	c := &j.recovery
	if c.state != InUse || bad || !c.wasEjected {
		return
	}
	c.goodOutcomes++
	if c.goodOutcomes < relapseGood || j.now-c.goodSince < max(relapseWindow, c.holdOff) {
		return
	}
	c.goodOutcomes, c.goodSince = 0, j.now
	if c.relapses == 0 {
		c.wasEjected = false
		return
	}
	c.relapses--
}

// Status returns the verdict at now. Time alone moves it from hold-off to
// trial and from ramp to in use.
func (j *Detector) Status(now clock.Millis) Status {
	j.advance(now)
	c := &j.recovery
	s := Status{State: c.state, Until: c.until, Relapses: c.relapses, Evidence: j.evidence}
	switch c.state {
	case InUse:
		s.Share = 1
		s.Severity = j.progress() / 2
	case Ramp:
		grown := float64(j.now-c.since) / float64(rampWindow)
		s.Share = rampInitialShare + (1-rampInitialShare)*grown
		s.Severity = j.progress() / 2
	case Trial:
		s.Share = TrialShare
		s.Severity = 0.5 + j.ejectedSeverity()/2
	default:
		s.Severity = 0.5 + j.ejectedSeverity()/2
	}
	return s
}

// ejectedSeverity grades upstreams that are set aside from 0 to 1: by the recent
// failures, which requests served in spite of the verdict keep fresh, and by
// the slow answers before the verdict at half their share.
func (j *Detector) ejectedSeverity() float64 {
	slow := float64(j.evidence.Slow) / float64(max(1, j.evidence.Outcomes))
	return max(j.local.shortFailed, slow/2)
}

// Admit reports whether the upstream may be given one more request now. In a
// trial it takes one of the places left, for repeatable requests only.
func (j *Detector) Admit(now clock.Millis, repeatable bool) bool {
	j.advance(now)
	c := &j.recovery
	switch c.state {
	case Ejected:
		return false
	case Trial:
		if !repeatable || c.trialsLeft == 0 {
			return false
		}
		c.trialsLeft--
		return true
	default:
		return true
	}
}

// probesNeeded in a row end a hold-off.
const probesNeeded = 2

// RecordProbe takes the answer of a probe. A failed one starts suspicion: the
// tests get a head start, once. Good ones end a hold-off after half of it,
// but only if probes have failed in it: those that a sick upstream answers
// anyway say nothing. Neither ever sets aside or readmits by itself.
func (j *Detector) RecordProbe(now clock.Millis, ok bool) {
	j.advance(now)
	c := &j.recovery
	switch {
	case c.state == Ejected && !ok:
		c.probeFailed, c.probesOK = true, 0
	case c.state == Ejected:
		c.probesOK++
		if c.probeFailed && c.probesOK >= probesNeeded {
			c.until = min(c.until, max(j.now, c.since+c.holdOff/2))
			j.advance(now)
		}
	case c.state == InUse && !ok && !j.mild.running():
		j.mild.restart(headStart * j.tuning.mild)
	}
}
