package health

import (
	"fmt"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Judge holds the verdict on one upstream. It isn't safe for concurrent use.
type Judge struct {
	tuning tuning
	random *rand.Rand
	now    clock.Millis

	baseline Baseline
	own      own
	callers  callers

	// mild and severe test for failed and overdue outcomes, slow for late
	// answers.
	mild, severe, slow cusum
	// slowSamples is how many of the own latencies the slow test has seen.
	slowSamples int
	// usual is the share of failures that is compared with, tail the latency.
	usual          float64
	tail, rewalked clock.Millis

	// burstEnd, burstFailed and burstSlow bound the evidence of one burst.
	burstEnd               clock.Millis
	burstFailed, burstSlow int

	// suspected is when the suspicion became strong, told the count of the
	// baselines heard since that are younger.
	strong    bool
	suspected clock.Millis
	told      int
	// calm is the baseline that the wait for news began with.
	calm Baseline

	coldUntil clock.Millis
	lastEnd   clock.Millis
	lastShed  clock.Millis
	// stuck says that nothing has ended since a request became overdue.
	stuck bool
	shed  bool

	pending  Evidence
	evidence Evidence
	back     comeback
}

// New returns a judge that holds its upstream for healthy.
func New(config Config) *Judge {
	j := &Judge{
		tuning: tuningOf(config.Caution),
		random: rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
	}
	j.slow.compare(usualSlow, sickSlow)
	j.retune()
	return j
}

// cold reports whether the upstream has just started or was idle for long.
func (j *Judge) cold() bool {
	return j.now < j.coldUntil
}

// Observe takes one outcome and reports whether the state changed.
func (j *Judge) Observe(now clock.Millis, o Observation) (changed bool) {
	before := j.back.state
	j.advance(now)
	switch o.Result {
	case Good, Failed, Overdue:
		if o.Again && !j.stuck {
			break
		}
		j.stuck = o.Result == Overdue
		j.weigh(o)
	case Shed:
		j.lastShed, j.shed = j.now, true
		j.back.giveBack()
	default:
		j.back.giveBack()
	}
	return j.back.state != before
}

func (j *Judge) weigh(o Observation) {
	if j.now-j.lastEnd > idleSpan {
		j.warmUp()
	}
	j.lastEnd = j.now
	bad := o.Result != Good
	part := j.callers.note(o.Caller)
	j.own.count(bad)
	j.endBurst(o.Result)
	countedFailed := bad && j.admitFailed(o, part)
	countedSlow := j.weighLatency(o, part)
	j.record(o.Result, countedSlow)
	if !bad || countedFailed {
		j.mild.add(bad)
		j.severe.add(bad)
	}
	if !j.mild.running() {
		clear(j.callers.failed[:])
	}
	if j.back.state == Trial {
		j.weighTrial(o, countedFailed, countedSlow)
		return
	}
	if j.ripe() && j.over() && j.back.state != Aside {
		j.setAside()
	}
	j.forgive(bad)
}

// admitFailed reports whether a bad outcome counts, given what its caller and
// the present burst have contributed already.
func (j *Judge) admitFailed(o Observation, part float64) bool {
	if j.burstFailed >= burstBad {
		return false
	}
	t := credit(j.callers.failed[:], o.Caller)
	if !o.Again && t.count > allowance(part, j.tuning.mild/j.mild.up, j.mild.bad) {
		return false
	}
	j.startBurst()
	j.burstFailed++
	return true
}

// endBurst forgets a burst after its span or at the first good answer: what
// fails all requests in flight at once lets none through.
func (j *Judge) endBurst(r Result) {
	if j.now >= j.burstEnd {
		j.burstFailed, j.burstSlow = 0, 0
	}
	if r == Good {
		j.burstFailed = 0
	}
}

func (j *Judge) startBurst() {
	if j.now >= j.burstEnd {
		j.burstEnd = j.now + j.tuning.burst
	}
}

// weighLatency takes the latency of an answer, or the age of an overdue
// request, and reports whether it was slow and counted.
func (j *Judge) weighLatency(o Observation, part float64) (counted bool) {
	if o.Result == Failed {
		return false
	}
	s := sample{latency: o.Latency}
	if o.Result == Overdue {
		s.latency = max(o.Latency, j.OverdueAfter())
	}
	slow := j.tail > 0 && s.latency > j.tail
	s.excused = j.cold() || j.shed && j.now-j.lastShed < shedSpan
	if slow && !s.excused {
		s.excused = !j.admitSlow(o.Caller, part)
	}
	j.own.sample(s)
	j.slowSamples = min(j.slowSamples+1, latencies)
	if j.tail == 0 || s.excused {
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

func (j *Judge) admitSlow(caller string, part float64) bool {
	if j.burstSlow >= burstBad {
		return false
	}
	t := credit(j.callers.slow[:], caller)
	if t.count > allowance(part, j.tuning.slow/j.slow.up, j.slow.bad) {
		return false
	}
	j.startBurst()
	j.burstSlow++
	return true
}

// record keeps the counts that a set aside is explained with.
func (j *Judge) record(r Result, slow bool) {
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

// ripe reports whether the judge has suspected its upstream for long enough
// to have heard whether the others ail as well.
func (j *Judge) ripe() bool {
	was := j.strong
	j.strong = j.progress() >= strong
	if !j.calm.Known {
		j.calm = j.baseline // the first one told is no rise
	}
	if j.strong && !was || j.stirred() {
		j.suspected, j.told, j.calm = j.now, 0, j.baseline
	}
	return j.strong && (j.told >= j.tuning.told || j.now-j.suspected >= j.tuning.wait)
}

// stirred reports whether the service's own figures have got worse in the
// wait. While they do, what is seen here may be on its way everywhere.
func (j *Judge) stirred() bool {
	return max(j.baseline.Failed, usualFailed) > stirFactor*max(j.calm.Failed, usualFailed) ||
		j.baseline.Tail > clock.Millis(stirFactor*float64(j.calm.Tail))
}

func (j *Judge) over() bool {
	return j.progress() >= 1
}

// progress returns the nearest test's score as a part of its threshold.
func (j *Judge) progress() float64 {
	if j.usual >= lostFailed {
		return max(0, j.slow.score()/j.tuning.slow)
	}
	return max(0,
		j.mild.score()/j.tuning.mild,
		j.severe.score()/j.tuning.severe,
		j.slow.score()/j.tuning.slow)
}

// restart ends all tests; those that find weak evidence start at head parts
// of their thresholds.
func (j *Judge) restart(head float64) {
	j.mild.restart(head * j.tuning.mild)
	j.severe.restart(0)
	j.slow.restart(head * j.tuning.slow)
	j.slowSamples = 0
	j.pending = Evidence{Since: j.now}
	clear(j.callers.failed[:])
	clear(j.callers.slow[:])
}

// explain completes the evidence of a set aside.
func (j *Judge) explain() {
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
		e.Failed, e.Overdue, e.Slow, e.Outcomes, e.At-e.Since, 100*j.usual)
	if j.tail > 0 {
		e.Reason += fmt.Sprintf(" and nine answers in ten within %v", j.tail)
	}
	j.evidence = e
}
