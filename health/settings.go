package health

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// The hypotheses of the tests. docs/MEASURES.md has the figures.
const (
	// minTypicalFailed is the lowest share of failures that is held for usual. A
	// service that hardly ever fails would else lose an upstream to three
	// failures in an hour.
	minTypicalFailed = 0.01
	// unknownFailed takes its place while no baseline is known and in a cold
	// start: only an upstream that fails about every third request or more is
	// set aside on that little knowledge.
	unknownFailed = 0.05
	// outageFailed is the usual share from which on failures tell nothing about
	// one upstream: the service as a whole is failing.
	outageFailed = 0.5
	// mildOdds and severeOdds are how many times the odds of a failure grow
	// in a sick upstream: from 1% to 10% and to 40%. Two alternatives because
	// one that suits 10% needs half as many outcomes again at 100%.
	mildOdds   = 11
	severeOdds = 66
	// typicalSlow is the share of good answers above Baseline.Tail, a little
	// over the tenth that it is meant to be since medians of small samples
	// scatter; sickSlow is the share that an upstream which answers one
	// request in three too late reaches.
	typicalSlow = 0.12
	outlierSlow = 0.35
	// tailFactor replaces an untold Baseline.Tail.
	tailFactor = 3
	// minLatencyExcess is the least lateness that counts: a new connection and a
	// hop to another failure domain take about 1 ms each, and latencies are
	// whole milliseconds.
	minLatencyExcess clock.Millis = 5
)

// When an unanswered request is overdue.
const (
	// overdueFactor is how many times Baseline.Tail it may take. Of log-normal
	// latencies with a sigma of 1, 0.4% take longer: less than usualFailed.
	overdueFactor = 4
	// overdueMin is above common pauses of a healthy process, such as those
	// of a garbage collector.
	overdueMin clock.Millis = 250
	// overdueMax bounds the time to find a hang in a slow service.
	overdueMax = 10 * clock.Second
	// overdueDefault holds while no baseline is known.
	overdueDefault = 2 * clock.Second
)

// Hold-off and return.
const (
	// holdOffBase is the first hold-off: a false ejection costs one upstream
	// for that long.
	holdOffBase = 5 * clock.Second
	// holdOffDoublings bounds its growth, to 320 s.
	holdOffDoublings = 6
	// holdOffJitter spreads hold-offs, so that upstreams set aside together
	// don't return together.
	holdOffJitter = 0.2
	// trialRequests bounds the requests of a trial, trialPasses of them must be
	// good, and trialFailures bad ones end it: an upstream that still fails
	// 30% passes one trial in nine, and a healthy one fails one in 180.
	trialRequests = 12
	trialPasses   = 10
	trialFailures = 2
	// trialSlow slow answers end a trial after a set aside for slowness.
	trialSlow = 4
	// TrialShare is the part of its work that an upstream on trial is chosen for, as at
	// the start of its ramp: with ten requests a second for it its trial ends after some
	// 10 s, and its gate takes no more than trialPlaces whoever sends.
	TrialShare = rampInitialShare
	// trialTimeout ends a trial that gets too few repeatable requests. The ramp
	// that follows gives little work and judges it by less evidence.
	trialTimeout = 30 * clock.Second
	// rampWindow is how long the share of work grows, from rampFirst.
	rampWindow       = 10 * clock.Second
	rampInitialShare = 0.1
	// headStart is the part of the threshold at which the tests start in a
	// ramp (fast initial response) and after a failed probe.
	headStart = 1.0 / 3
	// relapseWindow and forgiveGood are the time in use and the good answers
	// that take one relapse off the hold-off.
	relapseWindow = clock.Minute
	relapseGood   = 50
)

// Cold starts.
const (
	// coldWindow is how long after a start or an idle time slow answers are no
	// evidence and failures are judged as without a baseline.
	coldWindow = 30 * clock.Second
	// idleTimeout without an outcome lets caches and connections go cold.
	idleTimeout = clock.Minute
	// joinOutcomes tells a late joiner: if a baseline is known before the
	// upstream had as many outcomes, the service lived before it.
	joinOutcomes = 10
	// shedWindow is how long after a shed request slow answers are put down to
	// load.
	shedWindow = clock.Second
)

// tuning is what a caution sets.
type tuning struct {
	// mild, severe and slow are the thresholds of the three tests.
	mild, severe, slow float64
	// burst is the span in which at most burstBad bad outcomes count.
	burst clock.Millis
	// minBaselines is how many baselines, younger than the first strong suspicion,
	// the judge must hear before a verdict. One is enough: its median age
	// says that half of the other gates were heard since.
	minBaselines int
	// maxWait replaces them where none come: with little traffic, with every
	// slot held by a hang, or without a baseline.
	maxWait clock.Millis
}

const (
	// suspicionThreshold is the part of a threshold from which on the judge waits for
	// news of the service. What ails all upstreams at once shows here no
	// sooner than there, and entries have to carry it.
	suspicionThreshold = 0.38
	// baselineRiseFactor is the rise of the baseline that starts the wait anew.
	baselineRiseFactor = 1.1
)

// maxBurstBad bounds the evidence of one burst: a connection reset or a pause
// fails all requests in flight at once, yet is one event.
const maxBurstBad = 2

// tuningOf returns the caution's thresholds. The costs of each stand in
// docs/operators/caution.md.
func tuningOf(caution table.Caution) tuning {
	switch caution {
	case table.Fast:
		return tuning{mild: 8, severe: 10, slow: 10, burst: 50, minBaselines: 1, maxWait: clock.Second}
	case table.Cautious:
		return tuning{mild: 11, severe: 11.5, slow: 12, burst: 200, minBaselines: 1, maxWait: 2 * clock.Second}
	default:
		return tuning{mild: 9.5, severe: 11, slow: 11, burst: 100, minBaselines: 1, maxWait: 1500}
	}
}
