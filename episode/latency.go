package episode

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// TypicalLatency is the distribution of the latency of a route's runs at healthy upstreams,
// a log-normal one with a tail. The zero value means that it is unknown.
type TypicalLatency struct {
	Median clock.Millis
	// Spread is the standard deviation of the logarithm.
	Spread float64
	// HangShare is the share of failing runs that hang at the service's upstreams.
	HangShare HangShare
}

const (
	// minSpread keeps a few runs of similar latency from making the next one look slow.
	minSpread = 0.3
	// tailShare is the share of runs that take tailFactor times as long as the others, at
	// any upstream.
	tailShare  = 0.01
	tailFactor = 5
	// minSurvival bounds the evidence of one run's age.
	minSurvival = 1e-4
)

// IsKnown reports whether the distribution is known.
func (t TypicalLatency) IsKnown() bool {
	return t.Median > 0
}

// Survival returns the share of runs at healthy upstreams that last longer than age.
func (t TypicalLatency) Survival(age clock.Millis) float64 {
	return max(t.logNormalSurvival(age), tailShare*t.logNormalSurvival(age/tailFactor), minSurvival)
}

// UpperQuantile returns the age that the given share of runs exceeds.
func (t TypicalLatency) UpperQuantile(share float64) clock.Millis {
	if share < tailShare {
		return tailFactor * t.logNormalQuantile(share/tailShare)
	}
	return t.logNormalQuantile(share)
}

// logNormalSurvival is Survival without the runs of the tail.
func (t TypicalLatency) logNormalSurvival(age clock.Millis) float64 {
	if age <= 0 {
		return 1
	}
	deviation := (math.Log(float64(age)) - math.Log(float64(max(t.Median, 1)))) / max(t.Spread, minSpread)
	return math.Erfc(deviation/math.Sqrt2) / 2
}

// logNormalQuantile is UpperQuantile without the runs of the tail.
func (t TypicalLatency) logNormalQuantile(share float64) clock.Millis {
	deviation := math.Sqrt2 * math.Erfcinv(2*share)
	return clock.Millis(float64(max(t.Median, 1)) * math.Exp(deviation*max(t.Spread, minSpread)))
}

const (
	// targetFraction of a route's target latency is the prior median, targetSpread the
	// prior spread, before any run has ended.
	targetFraction = 0.33
	targetSpread   = 0.7
	// priorWeight is the number of runs that the prior counts for.
	priorWeight = 0.5
	// profileWindow is the number of recent runs over which the profile is averaged.
	profileWindow = 200
)

// LatencyProfile learns the typical latency of one route's runs. The zero value is ready to
// use. It is not safe for concurrent use.
type LatencyProfile struct {
	// count is the number of runs, sum and squares the sums of the logarithms of their
	// latencies and of their squares. Older runs are weighted down.
	count, sum, squares float64
}

// Observe records the latency of a run that was served.
func (p *LatencyProfile) Observe(took clock.Millis) {
	const decay = 1 - 1.0/profileWindow
	x := math.Log(float64(max(took, 1)))
	p.count, p.sum, p.squares = p.count*decay+1, p.sum*decay+x, p.squares*decay+x*x
}

// Estimate returns the typical latency of a route with a target latency, 0 for none. It is
// unknown without a target and without runs.
func (p *LatencyProfile) Estimate(target clock.Millis) TypicalLatency {
	if target <= 0 {
		if p.count < 1 {
			return TypicalLatency{}
		}
		target = clock.Millis(math.Exp(p.sum/p.count) / targetFraction)
	}
	priorMean := math.Log(max(targetFraction*float64(target), 1))
	weight := priorWeight + p.count
	mean := (priorWeight*priorMean + p.sum) / weight
	squaredDeviations := max(p.squares-2*mean*p.sum+p.count*mean*mean, 0)
	variance := (targetSpread*targetSpread + priorWeight*(priorMean-mean)*(priorMean-mean) + squaredDeviations) / (1 + p.count)
	return TypicalLatency{Median: max(clock.Millis(math.Round(math.Exp(mean))), 1), Spread: math.Sqrt(variance)}
}
