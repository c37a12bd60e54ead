package episode

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// TypicalLatency is how long the runs of a route take at sound upstreams, as a log-normal
// distribution. The zero value says that nothing is known.
type TypicalLatency struct {
	Median clock.Millis
	// Spread is the standard deviation of the logarithm.
	Spread float64
	// HangShare is how the upstreams of the service fail.
	HangShare HangShare
}

const (
	// minSpread keeps a few like runs from making the next one look late.
	minSpread = 0.3
	// tailShare of the runs of any upstream take tailFactor times as long as usual.
	tailShare  = 0.01
	tailFactor = 5
	// minSurvival bounds what one run's age can show.
	minSurvival = 1e-4
)

// IsKnown reports whether anything is known.
func (u TypicalLatency) IsKnown() bool {
	return u.Median > 0
}

// Survival is the share of runs at sound upstreams that last longer than an age.
func (u TypicalLatency) Survival(age clock.Millis) float64 {
	return max(u.bodySurvival(age), tailShare*u.bodySurvival(age/tailFactor), minSurvival)
}

// UpperQuantile is the age beyond which a share of the runs lasts.
func (u TypicalLatency) UpperQuantile(share float64) clock.Millis {
	if share < tailShare {
		return tailFactor * u.bodyQuantile(share/tailShare)
	}
	return u.bodyQuantile(share)
}

// bodySurvival is Beyond of all runs but those of the tail.
func (u TypicalLatency) bodySurvival(age clock.Millis) float64 {
	if age <= 0 {
		return 1
	}
	deviation := (math.Log(float64(age)) - math.Log(float64(max(u.Median, 1)))) / max(u.Spread, minSpread)
	return math.Erfc(deviation/math.Sqrt2) / 2
}

func (u TypicalLatency) bodyQuantile(share float64) clock.Millis {
	deviation := math.Sqrt2 * math.Erfcinv(2*share)
	return clock.Millis(float64(max(u.Median, 1)) * math.Exp(deviation*max(u.Spread, minSpread)))
}

const (
	// targetShare is the part of a route's target that its runs are taken to last before any
	// was seen, targetSpread how widely they are taken to differ.
	targetShare  = 0.33
	targetSpread = 0.7
	// priorRuns is how many runs that guess counts for.
	priorRuns = 0.5
	// profileWindow is how many of the last runs are remembered.
	profileWindow = 200
)

// LatencyProfile learns how long the runs of one route usually take. The zero value is ready; it is not
// safe for concurrent use.
type LatencyProfile struct {
	// runs is how many were seen, sum and squares those of their times' logarithms.
	runs, sum, squares float64
}

// Observe takes in how long a run took at an upstream that served it.
func (p *LatencyProfile) Observe(took clock.Millis) {
	const kept = 1 - 1.0/profileWindow
	x := math.Log(float64(max(took, 1)))
	p.runs, p.sum, p.squares = p.runs*kept+1, p.sum*kept+x, p.squares*kept+x*x
}

// Estimate is what is known of a route with a target, 0 for none.
func (p *LatencyProfile) Estimate(target clock.Millis) TypicalLatency {
	if target <= 0 {
		if p.runs < 1 {
			return TypicalLatency{}
		}
		target = clock.Millis(math.Exp(p.sum/p.runs) / targetShare)
	}
	guess := math.Log(max(targetShare*float64(target), 1))
	weight := priorRuns + p.runs
	mean := (priorRuns*guess + p.sum) / weight
	scatter := max(p.squares-2*mean*p.sum+p.runs*mean*mean, 0)
	variance := (targetSpread*targetSpread + priorRuns*(guess-mean)*(guess-mean) + scatter) / (1 + p.runs)
	return TypicalLatency{Median: max(clock.Millis(math.Round(math.Exp(mean))), 1), Spread: math.Sqrt(variance)}
}
