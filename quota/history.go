package quota

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// usageWindow is the time constant of the average of an account's requests at a node.
	usageWindow = 10 * clock.Second
	// noHomeShare is the part of an account's typical rate that a node admits when it can
	// reach no home, nearLimitShare the part for an account near its limit: other nodes may
	// reach homes that still grant all of the limit.
	noHomeShare    = 0.5
	nearLimitShare = 0.25
	// nearLimitLevel is the part of the burst below which an account is near its limit.
	nearLimitLevel = 0.5
)

// History is what a node records of an account that it requests quota for. The zero value is
// ready to use. It is not safe for concurrent use.
type History struct {
	// usage is an estimate of the requests granted within usageWindow before usedAt.
	usage     float64
	usedAt    clock.Millis
	left      float64 // of the last grant, as are burst, grantedAt and home
	burst     float64
	grantedAt clock.Millis
	hasGrant  bool
	home      uint32
	// localTokens is how many requests may be admitted without a home at localTokensAt;
	// isLocal is set from the first such request until a home grants again.
	localTokens   float64
	localTokensAt clock.Millis
	isLocal       bool
}

// RecordGrant records what a home granted, and how much it had left then.
func (h *History) RecordGrant(now clock.Millis, l Limit, g Grant) {
	h.addUsage(now, g.Granted)
	h.left, h.burst, h.grantedAt, h.hasGrant, h.home = g.Left, l.depth(), now, true, g.Home
	h.isLocal = false
}

// Hint returns the hint that follows from the last grant, and the id of the home that
// granted it.
func (h *History) Hint(now clock.Millis) (Hint, uint32) {
	return Hint{Known: h.hasGrant, Left: h.left, Age: now - h.grantedAt}, h.home
}

// AdmitWithoutHome reports whether a request is admitted although no home can be reached.
// On average over many nodes, it admits at most noHomeShare of the rate that homes granted
// before. InitialTokens is a random number, uniform between 0 and 1.
func (h *History) AdmitWithoutHome(now clock.Millis, l Limit, initialTokens float64) bool {
	rate := noHomeShare * h.currentUsage(now) / usageWindow.Seconds()
	if h.hasGrant && h.left < nearLimitLevel*h.burst {
		rate *= nearLimitShare / noHomeShare
	}
	if !h.isLocal {
		h.isLocal, h.localTokens, h.localTokensAt = true, initialTokens, now
	}
	h.localTokens = min(h.localTokens+rate*(now-h.localTokensAt).Seconds(), l.depth())
	h.localTokensAt = now
	if h.localTokens < 1 {
		return false
	}
	h.localTokens--
	return true
}

// addUsage adds granted requests to the usage.
func (h *History) addUsage(now clock.Millis, count int) {
	h.usage = h.currentUsage(now) + float64(count)
	h.usedAt = now
}

// currentUsage returns the usage, which decays exponentially with time.
func (h *History) currentUsage(now clock.Millis) float64 {
	if h.isLocal {
		return h.usage // the typical usage doesn't decay until a home grants again
	}
	return h.usage * math.Exp(-float64(max(now-h.usedAt, 0))/float64(usageWindow))
}
