// Package speed learns from the runs of one upstream how fast it is compared to its service,
// and from how many concurrent requests it slows down.
package speed

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// speedWindow is the number of recent runs over which the speed is averaged.
	speedWindow = 32
	// priorRuns is the number of runs of average speed that the prior counts for. Without it
	// the first runs, which are often slow in a new process, would take all load from it.
	priorRuns = 4
	// maxLogRatio bounds the logarithm of one run's time relative to the typical one: a run
	// of the tail of run times must not stand for the next 32.
	maxLogRatio = 2
	// maxSpeed bounds the speed and, inverted, the slowness. An upstream that gets no less
	// than a quarter of its load has enough runs to show that it has recovered.
	maxSpeed = 4
)

// Run is a run that the upstream has served.
type Run struct {
	// Took is the time that the run took, Typical the median of its route at all upstreams
	// of the service; 0 if that isn't known.
	Took, Typical clock.Millis
	// Concurrent is the number of requests at the upstream when the run began, with it.
	Concurrent int
}

// Estimate is what is known of an upstream.
type Estimate struct {
	// Speed is relative to the service: 1 is average, 2 twice as fast.
	Speed float64
	// Concurrency is the largest number of concurrent requests with which the upstream
	// doesn't slow down; 0 if it isn't known to slow down.
	Concurrency int
}

// Learner learns the speed and the concurrency of one process. The zero value is ready to
// use. It is not safe for concurrent use.
type Learner struct {
	// runs is the number of runs in the average, at most speedWindow. mean is the average of
	// the logarithm of the time relative to the typical one, over the runs that were not
	// slowed down by others.
	runs, mean float64
	levels     Levels
}

// Observe records a run. A run without a typical time says nothing about the speed.
func (l *Learner) Observe(r Run) {
	if r.Typical <= 0 {
		return
	}
	ratio := LogRatio(r)
	l.levels.Observe(r.Concurrent, ratio)
	if knee := l.levels.Knee(); knee > 0 && r.Concurrent > knee {
		return
	}
	l.runs = min(l.runs+1, speedWindow)
	l.mean += (ratio - l.mean) / (l.runs + priorRuns)
}

// Estimate returns the current estimate. Without runs it is a speed of 1.
func (l *Learner) Estimate() Estimate {
	return Estimate{
		Speed:       min(max(math.Exp(-l.mean), 1.0/maxSpeed), maxSpeed),
		Concurrency: l.levels.Knee(),
	}
}

// LogRatio returns the bounded logarithm of a run's time relative to the typical one.
func LogRatio(r Run) float64 {
	ratio := math.Log(float64(max(r.Took, 1)) / float64(max(r.Typical, 1)))
	return min(max(ratio, -maxLogRatio), maxLogRatio)
}

// noticeableSpeed is the relative change of the speed that other nodes are told of. With a
// spread of run times of 0.4, chance alone moves the average over 32 runs by 0.05.
const noticeableSpeed = 0.1

// IsNoticeable reports whether the estimate differs so much from an earlier one that entries
// would choose differently.
func (e Estimate) IsNoticeable(earlier Estimate) bool {
	return e.Concurrency != earlier.Concurrency || math.Abs(e.Speed-earlier.Speed) > noticeableSpeed*earlier.Speed
}
