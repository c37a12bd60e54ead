package health

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// The hypotheses of the statistical tests. docs/MEASURES.md has the detection times.
const (
	// minTypicalFailed is the lowest share of failures that counts as typical. Without
	// it, three failures in an hour would eject an upstream of a service that hardly ever
	// fails.
	minTypicalFailed = 0.01
	// unknownTypicalFailed is the minimum while no baseline is known and during a cold
	// start: with that little information, only an upstream that fails about every third
	// request or more is ejected.
	unknownTypicalFailed = 0.05
	// outageFailed is the typical share from which on failures are no evidence against
	// one upstream, because the service as a whole is failing.
	outageFailed = 0.5
	// mildOdds and severeOdds are the factors by which the odds of a failure grow in a
	// failing upstream: from 1% to 10% and to 40%. There are two alternatives because
	// one that suits 10% needs half as many outcomes again at 100%.
	mildOdds   = 11
	severeOdds = 66
	// typicalSlow is the share of good answers above Baseline.Tail. It is a little over
	// the nominal tenth because medians of small samples vary. outlierSlow is the share
	// that an upstream reaches which answers one request in three too late.
	typicalSlow = 0.12
	outlierSlow = 0.35
	// defaultTailFactor times Baseline.Latency stands in for an unknown Baseline.Tail.
	defaultTailFactor = 3
	// minLatencyExcess is the lowest excess over the typical latency that counts as slow:
	// a new connection and a hop to another failure domain take about 1 ms each, and
	// latencies are whole milliseconds.
	minLatencyExcess clock.Millis = 5
)

// When an unanswered request is overdue.
const (
	// overdueFactor times the slow threshold is the age of an overdue request. Of
	// log-normal latencies with a sigma of 1, 0.4% take longer: less than
	// minTypicalFailed.
	overdueFactor = 4
	// overdueMin is longer than the usual pauses of a healthy process, such as those of
	// a garbage collector.
	overdueMin clock.Millis = 250
	// overdueMax bounds the time to detect a hang in a slow service.
	overdueMax = 10 * clock.Second
	// overdueDefault applies while no baseline is known.
	overdueDefault = 2 * clock.Second
)

// Hold-off and recovery.
const (
	// holdOffBase is the first hold-off. A false ejection costs one upstream for that
	// long.
	holdOffBase = 5 * clock.Second
	// holdOffDoublings bounds the growth of the hold-off, to 320 s.
	holdOffDoublings = 6
	// holdOffJitter varies hold-offs, so that upstreams that were ejected together don't
	// return together.
	holdOffJitter = 0.2
	// trialRequests is the maximum number of requests of a trial. trialPasses good ones
	// pass it and trialFailures bad ones fail it: an upstream that still fails 30%
	// passes one trial in nine, and a healthy one fails one in 180.
	trialRequests = 12
	trialPasses   = 10
	trialFailures = 2
	// trialSlow is the number of slow answers that fail a trial if the evidence of the
	// ejection had slow answers.
	trialSlow = 4
	// TrialShare is the share of its normal load for which an upstream on trial is
	// chosen, the same as at the start of its ramp. If that is ten requests a second, its
	// trial ends after some 10 s. Its gate admits no more than trialRequests, whoever
	// sends them.
	TrialShare = rampInitialShare
	// trialTimeout ends a trial that gets too few repeatable requests. The ramp that
	// follows sends few requests at first and ejects on less evidence.
	trialTimeout = 30 * clock.Second
	// rampWindow is the time over which the share of load grows from rampInitialShare.
	rampWindow       = 10 * clock.Second
	rampInitialShare = 0.1
	// headStart is the fraction of their thresholds at which the tests start in a ramp
	// (fast initial response) and after a failed probe.
	headStart = 1.0 / 3
	// relapseWindow and relapseGood are the time in use and the number of good answers
	// after which the count of relapses, and so the hold-off, is reduced by one step.
	relapseWindow = clock.Minute
	relapseGood   = 50
)

// Cold starts.
const (
	// coldWindow is the time after a start or an idle period in which slow answers are no
	// evidence and failures are tested as without a baseline.
	coldWindow = 30 * clock.Second
	// idleTimeout is the time without an outcome after which caches and connections are
	// assumed to be cold.
	idleTimeout = clock.Minute
	// lateJoinOutcomes detects an upstream that joins a running service: if a baseline is
	// known before the upstream had as many outcomes, the service ran before it.
	lateJoinOutcomes = 10
	// shedWindow is the time after a shed request in which slow answers are attributed to
	// load.
	shedWindow = clock.Second
)

// tuning holds the parameters that depend on the caution setting.
type tuning struct {
	// mild, severe and slow are the thresholds of the three tests.
	mild, severe, slow float64
	// burst is the time in which at most maxBurstBad bad outcomes count.
	burst clock.Millis
	// minBaselines is the number of baselines, newer than the suspicion, that must be
	// received before an ejection. One is enough: its median age shows that half of the
	// other gates have published since.
	minBaselines int
	// maxWait is the time after which an ejection doesn't need them. They may not arrive
	// with little traffic, with every slot occupied by a hung request, or without a
	// baseline.
	maxWait clock.Millis
}

const (
	// suspicionThreshold is the fraction of a threshold from which on the detector waits
	// for updates of the baseline. A fault common to all upstreams shows in the local
	// outcomes at the same time as elsewhere, and entries take time to carry it here.
	suspicionThreshold = 0.38
	// baselineRiseFactor is the rise of the baseline that restarts the wait.
	baselineRiseFactor = 1.1
)

// maxBurstBad bounds the evidence of one burst: a connection reset or a pause fails all
// requests in flight together, yet is a single event.
const maxBurstBad = 2

// tuningOf returns the parameters for a caution setting. docs/operators/caution.md lists
// the costs of each setting.
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
