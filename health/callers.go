package health

import "math"

const (
	// maxCallers bounds the callers whose outcomes are counted separately. The share
	// of a rarer caller is overestimated, by at most a sixteenth.
	maxCallers = 16
	// callerWindow is the number of outcomes after which all counts are halved.
	callerWindow = 256
	// callerShareFactor times a caller's share of the outcomes is the part of a test's
	// threshold that the caller may contribute. At 2.5, the callers of a service with
	// three of them may together contribute 2.5 thresholds, enough for an ejection.
	callerShareFactor = 2.5
	// maxBadCallers bounds the callers whose bad outcomes are counted separately. An
	// ejection takes 4 to 30 bad outcomes, so few callers share a counter.
	maxBadCallers = 16
)

// callerStats holds the counts that bound what one caller contributes to the evidence.
// Without a bound, the bad requests of one caller would look like a failing upstream.
// The bound grows with the caller's share of the outcomes: a service with few callers
// still gets verdicts, and a caller with less than a third of the outcomes never ejects
// an upstream alone.
type callerStats struct {
	outcomes [maxCallers]callerCount
	total    int
	failed   [maxBadCallers]callerCount
	slow     [maxBadCallers]callerCount
}

type callerCount struct {
	name  string
	count int
}

// countCaller increments the counter of the caller called name and returns the counter.
// A new caller takes over the counter with the lowest count and keeps that count (the
// space-saving algorithm), so that a count is never too low.
func countCaller(counts []callerCount, name string) *callerCount {
	smallest := &counts[0]
	for i := range counts {
		c := &counts[i]
		if c.count > 0 && c.name == name {
			c.count++
			return c
		}
		if c.count < smallest.count {
			smallest = c
		}
	}
	smallest.name = name
	smallest.count++
	return smallest
}

// recordOutcome counts an outcome and returns its caller's share of the recent outcomes.
func (c *callerStats) recordOutcome(name string) float64 {
	c.total++
	if c.total > callerWindow {
		c.total /= 2
		for i := range c.outcomes {
			c.outcomes[i].count /= 2
		}
	}
	return float64(countCaller(c.outcomes[:], name).count) / float64(c.total)
}

// maxContribution returns how many bad outcomes a caller with callerShare of all outcomes
// may contribute to a test that has counted bad of them and needs about required to
// reach its threshold.
func maxContribution(callerShare, required float64, bad int) int {
	share := callerShareFactor * callerShare
	if share >= 1 {
		return math.MaxInt
	}
	return int(math.Ceil(share * max(required, float64(bad))))
}
