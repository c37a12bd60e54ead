package health

import "math"

const (
	// callerSlots bounds the callers whose shares are told apart. The share
	// of a rarer caller is overstated, by at most an eighth.
	callerSlots = 8
	// callerMemory is the count of outcomes after which shares are halved.
	callerMemory = 256
	// minorCaller is the part of a threshold that any caller may contribute.
	minorCaller = 1.0 / 3
	// blameSlots bounds the callers whose bad outcomes are told apart. Sets
	// aside take 4 to 30 bad outcomes, so few callers share a slot.
	blameSlots = 16
)

// callers bounds what one caller contributes to the evidence. One caller's bad
// requests would else look like a sick upstream; they show as failures of
// that caller alone. A caller may contribute twice its share of the outcomes,
// so that a service with few callers is still judged, and one with less
// than half of the outcomes never gets an upstream set aside by itself.
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

// allowance returns how many bad outcomes a caller with that part of the
// outcomes may contribute to a test with that threshold.
func allowance(part, threshold, up float64) int {
	if part >= 0.5 {
		return math.MaxInt
	}
	return int(math.Ceil(max(minorCaller, 2*part) * threshold / up))
}
