package health

import "math"

const (
	// callerSlots bounds the callers whose shares are told apart. The share
	// of a rarer caller is overstated, by at most a sixteenth.
	callerSlots = 16
	// callerMemory is the count of outcomes after which shares are halved.
	callerMemory = 256
	// callerFactor times its part of the outcomes is the part of a threshold
	// that a caller may contribute. At 2.5, the callers of a service with
	// three of them may contribute 2.5 thresholds together: enough to judge.
	callerFactor = 2.5
	// blameSlots bounds the callers whose bad outcomes are told apart. Sets
	// aside take 4 to 30 bad outcomes, so few callers share a slot.
	blameSlots = 16
)

// callers bounds what one caller contributes to the evidence. One caller's bad
// requests would else look like a sick upstream; they show as failures of
// that caller alone. What a caller may contribute grows with its part of the
// outcomes, so that a service with few callers is still judged, and one with
// less than a third of the outcomes never sets an upstream aside by itself.
type callers struct {
	seen   [callerSlots]tally
	total  int
	failed [blameSlots]tally
	slow   [blameSlots]tally
}

type tally struct {
	name  string
	count int
}

// credit adds one to the name's tally and returns it. The smallest tally gives
// up its place to a new name, which inherits its count (space saving): a
// count is never too low.
func credit(tallies []tally, name string) *tally {
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

// note counts an outcome and returns its caller's part of the recent ones.
func (c *callers) note(name string) float64 {
	c.total++
	if c.total > callerMemory {
		c.total /= 2
		for i := range c.seen {
			c.seen[i].count /= 2
		}
	}
	return float64(credit(c.seen[:], name).count) / float64(c.total)
}

// allowance returns how many of the bad outcomes in a test a caller with that
// part of all outcomes may contribute. The test has counted bad of them and
// needs about enough.
func allowance(part, enough float64, bad int) int {
	share := callerFactor * part
	if share >= 1 {
		return math.MaxInt
	}
	return int(math.Ceil(share * max(enough, float64(bad))))
}
