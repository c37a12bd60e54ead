package health

import "math"

// cusum is a cumulative sum (CUSUM) test: the log-likelihood ratio of an outlier's share
// of bad outcomes against the typical share, restarted whenever it falls to zero. It
// stores counts instead of a sum, so that a higher baseline rescores the outcomes that
// were counted under the old one. Otherwise a fault common to the service would eject
// every upstream that was scored before its baseline rose.
type cusum struct {
	// badWeight and goodWeight are what a bad and a good outcome add to the score.
	badWeight, goodWeight float64
	// initialScore is the score that the test started with.
	initialScore float64
	bad, good    int
}

// setShares sets the two shares of bad outcomes that the test distinguishes. If the
// weight of a bad outcome rises, earlier outcomes keep their old weight: otherwise the
// failures of a common fault would become evidence against each upstream once the
// fault is over.
func (c *cusum) setShares(typical, outlier float64) {
	badWeight := math.Log(outlier / typical)
	if badWeight > c.badWeight {
		c.restart(c.score())
	}
	c.badWeight = badWeight
	c.goodWeight = math.Log((1 - outlier) / (1 - typical))
	c.resetIfNegative()
}

func (c *cusum) score() float64 {
	return c.initialScore + float64(c.bad)*c.badWeight + float64(c.good)*c.goodWeight
}

func (c *cusum) add(bad bool) {
	switch {
	case bad:
		c.bad++
	case c.isPositive():
		c.good++
		c.resetIfNegative()
	}
}

// isPositive reports whether the score is above zero.
func (c *cusum) isPositive() bool {
	return c.bad > 0 || c.initialScore > 0
}

// resetIfNegative restarts the test at zero once the good outcomes outweigh the bad ones.
func (c *cusum) resetIfNegative() {
	if c.isPositive() && c.score() <= 0 {
		c.restart(0)
	}
}

func (c *cusum) restart(initialScore float64) {
	c.initialScore, c.bad, c.good = initialScore, 0, 0
}

// raiseOdds returns the share whose odds are factor times those of share.
func raiseOdds(share, factor float64) float64 {
	odds := factor * share / (1 - share)
	return odds / (1 + odds)
}
