package health

import "math"

const (
	// maxCallers bounds the callers whose shares are told apart. The share
	// of a rarer caller is overstated, by at most a sixteenth.
	maxCallers = 16
	// callerWindow is the count of outcomes after which shares are halved.
	callerWindow = 256
	// callerFactor times its part of the outcomes is the part of a threshold
	// that a caller may contribute. At 2.5, the callers of a service with
	// three of them may contribute 2.5 thresholds together: enough to judge.
	callerFactor = 2.5
	// maxBadCallers bounds the callers whose bad outcomes are told apart. Sets
	// aside take 4 to 30 bad outcomes, so few callers share a slot.
	maxBadCallers = 16
)

// callerStats bounds what one caller contributes to the evidence. One caller's bad
// requests would else look like a sick upstream; they show as failures of
// that caller alone. What a caller may contribute grows with its part of the
// outcomes, so that a service with few callers is still judged, and one with
// less than a third of the outcomes never sets an upstream aside by itself.
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

// countCaller adds one to the name's tally and returns it. The smallest tally gives
// up its place to a new name, which inherits its count (space saving): a
// count is never too low.
func countCaller(tallies []callerCount, name string) *callerCount {
	smallest := &tallies[0]
	for i := range tallies {
		t := &tallies[i]
		if t.count > 0 && t.name == name {
			t.count++
			return t
		}
		if t.count < smallest.count {
			smallest = t
		}
	}
	smallest.name = name
	smallest.count++
	return smallest
}

// recordOutcome counts an outcome and returns its caller's part of the recent ones.
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

// maxContribution returns how many of the bad outcomes in a test a caller with that
// part of all outcomes may contribute. The test has counted bad of them and
// needs about enough.
func maxContribution(part, enough float64, bad int) int {
	share := callerFactor * part
	if share >= 1 {
		return math.MaxInt
	}
	return int(math.Ceil(share * max(enough, float64(bad))))
}
