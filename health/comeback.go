package health

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// comeback is how far a set aside upstream is on its way back: hold-off,
// trial, ramp, in use.
type comeback struct {
	state State
	// since and until bound the state; until is 0 if it doesn't end by time.
	since, until clock.Millis
	relapses     int
	ever         bool
	hold         clock.Millis
	// joining asks for a ramp at the next advance.
	joining bool

	places, passed, failed, slow int
	// probeFailed says that probes can tell this fault from health.
	probeFailed bool
	probesOK    int

	// goods and goodSince are the good service since the last relapse was
	// forgiven.
	goods     int
	goodSince clock.Millis
}

func (c *comeback) join() {
	c.joining = c.state == InUse
}

func (c *comeback) enter(s State, now, span clock.Millis) {
	c.state, c.since, c.until = s, now, 0
	if span > 0 {
		c.until = now + span
	}
}

// giveBack frees the place of a trial whose request told nothing.
func (c *comeback) giveBack() {
	if c.state == Trial {
		c.places = min(c.places+1, trialPlaces)
	}
}

// advance moves the state by time alone.
func (j *Judge) advance(now clock.Millis) {
	j.now = max(j.now, now)
	c := &j.back
	if c.joining {
		c.joining = false
		j.warmUp()
		c.enter(Ramp, j.now, rampSpan)
	}
	if c.state == Aside && j.now >= c.until {
		c.places, c.passed, c.failed, c.slow = trialPlaces, 0, 0, 0
		c.enter(Trial, j.now, trialSpan)
		j.restart(0)
	}
	if c.state == Trial && j.now >= c.until {
		j.ramp()
	}
	if c.state == Ramp && j.now >= c.until {
		c.enter(InUse, j.now, 0)
		c.goods, c.goodSince = 0, j.now
	}
	if j.coldUntil != 0 && j.now >= j.coldUntil {
		j.coldUntil = 0
		j.retune()
	}
}

// ramp ends a trial. The tests get a head start, for what passed a trial of
// ten is not yet known to be healthy.
func (j *Judge) ramp() {
	j.back.enter(Ramp, j.now, rampSpan)
	j.restart(headStart)
}

// warmUp begins a cold start.
func (j *Judge) warmUp() {
	if j.now == 0 && j.own.outcomes == 0 {
		return
	}
	j.coldUntil = j.now + coldSpan
	j.slowSamples = 0
	j.slow.restart(0)
	j.retune()
}

func (j *Judge) setAside() {
	j.explain()
	c := &j.back
	if c.ever {
		c.relapses++
	}
	c.ever = true
	c.probeFailed, c.probesOK = false, 0
	growth := math.Exp2(float64(min(c.relapses, holdOffDoublings)))
	jitter := 1 + holdOffJitter*(2*j.random.Float64()-1)
	c.hold = clock.Millis(float64(holdOffBase) * growth * jitter)
	c.enter(Aside, j.now, c.hold)
	j.coldUntil = 0
	j.restart(0)
}

// weighTrial takes an outcome of a trial. Requests sent before it don't count.
func (j *Judge) weighTrial(o Observation, failed, slow bool) {
	c := &j.back
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
	case c.failed >= trialFailures+int(trialPlaces*2*j.usual) || lame:
		j.setAside()
	case c.passed >= trialPasses:
		j.ramp()
	}
}

// forgive takes a relapse off after good service.
func (j *Judge) forgive(bad bool) {
	c := &j.back
	if c.state != InUse || bad || !c.ever {
		return
	}
	c.goods++
	if c.goods < forgiveGood || j.now-c.goodSince < max(forgiveSpan, c.hold) {
		return
	}
	c.goods, c.goodSince = 0, j.now
	if c.relapses == 0 {
		c.ever = false
		return
	}
	c.relapses--
}

// Status returns the verdict at now. Time alone moves it from hold-off to
// trial and from ramp to in use.
func (j *Judge) Status(now clock.Millis) Status {
	j.advance(now)
	c := &j.back
	s := Status{State: c.state, Until: c.until, Relapses: c.relapses, Evidence: j.evidence}
	switch c.state {
	case InUse:
		s.Share = 1
		s.Severity = j.progress() / 2
	case Ramp:
		grown := float64(j.now-c.since) / float64(rampSpan)
		s.Share = rampFirst + (1-rampFirst)*grown
		s.Severity = j.progress() / 2
	case Trial:
		s.Share = TrialShare
		s.Severity = 0.5 + j.illness()/2
	default:
		s.Severity = 0.5 + j.illness()/2
	}
	return s
}

// illness grades upstreams that are set aside from 0 to 1: by the recent
// failures, which requests served in spite of the verdict keep fresh, and by
// the slow answers before the verdict at half their share.
func (j *Judge) illness() float64 {
	slow := float64(j.evidence.Slow) / float64(max(1, j.evidence.Outcomes))
	return max(j.own.quick, slow/2)
}

// Admit reports whether the upstream may be given one more request now. In a
// trial it takes one of the places left, for repeatable requests only.
func (j *Judge) Admit(now clock.Millis, repeatable bool) bool {
	j.advance(now)
	c := &j.back
	switch c.state {
	case Aside:
		return false
	case Trial:
		if !repeatable || c.places == 0 {
			return false
		}
		c.places--
		return true
	default:
		return true
	}
}

// probesNeeded in a row end a hold-off.
const probesNeeded = 2

// Probed takes the answer of a probe. A failed one starts suspicion: the
// tests get a head start, once. Good ones end a hold-off after half of it,
// but only if probes have failed in it: those that a sick upstream answers
// anyway say nothing. Neither ever sets aside or readmits by itself.
func (j *Judge) Probed(now clock.Millis, ok bool) {
	j.advance(now)
	c := &j.back
	switch {
	case c.state == Aside && !ok:
		c.probeFailed, c.probesOK = true, 0
	case c.state == Aside:
		c.probesOK++
		if c.probeFailed && c.probesOK >= probesNeeded {
			c.until = min(c.until, max(j.now, c.since+c.hold/2))
			j.advance(now)
		}
	case c.state == InUse && !ok && !j.mild.running():
		j.mild.restart(headStart * j.tuning.mild)
	}
}
