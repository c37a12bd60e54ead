package health

import "math"

// cusum is a cumulative sum test: the log-likelihood ratio of a sick share of
// bad outcomes against the usual one, restarted whenever it falls to zero. It
// keeps counts in place of a sum, so that a risen baseline rescores what was
// counted under the old one: else a fault common to the service would set
// aside whoever was scored before the baseline followed.
type cusum struct {
	// badWeight and down are what a bad and a good outcome add.
	badWeight, goodWeight float64
	// head is the score to start from.
	head      float64
	bad, good int
}

// setShares sets the two shares to tell apart. When bad outcomes come to weigh
// more, the score so far stands: else the failures of a common fault would
// turn into evidence against each upstream once the fault is over.
func (c *cusum) setShares(usual, sick float64) {
	up := math.Log(sick / usual)
	if up > c.badWeight {
		c.restart(c.score())
	}
	c.badWeight = up
	c.goodWeight = math.Log((1 - sick) / (1 - usual))
	c.resetIfNegative()
}

func (c *cusum) score() float64 {
	return c.head + float64(c.bad)*c.badWeight + float64(c.good)*c.goodWeight
}

func (c *cusum) add(bad bool) {
	switch {
	case bad:
		c.bad++
	case c.running():
		c.good++
		c.resetIfNegative()
	}
}

// running reports whether the score is above zero.
func (c *cusum) running() bool {
	return c.bad > 0 || c.head > 0
}

// resetIfNegative restarts the sum once the good outcomes outweigh the bad ones.
func (c *cusum) resetIfNegative() {
	if c.running() && c.score() <= 0 {
		c.restart(0)
	}
}

func (c *cusum) restart(head float64) {
	c.head, c.bad, c.good = head, 0, 0
}

// raiseOdds returns the share whose odds are factor times those of share.
func raiseOdds(share, factor float64) float64 {
	odds := factor * share / (1 - share)
	return odds / (1 + odds)
}
