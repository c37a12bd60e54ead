package quota

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// usageWindow is the time over which an account's requests at a node are averaged.
	usageWindow = 10 * clock.Second
	// noHomeShare is the part of its usual rate that a node admits where no home can be
	// asked, and nearShare that of an account near its limit: others may have homes that
	// grant all of it.
	noHomeShare    = 0.5
	nearLimitShare = 0.25
	// nearLimitLevel is the part of the burst below which an account is near its limit.
	nearLimitLevel = 0.5
)

// History is what a node remembers of an account that it asks for. The zero value is ready;
// it is not safe for concurrent use.
type History struct {
	// usage is about how many requests were granted in the last usageSpan, at usedAt.
	usage     float64
	usedAt    clock.Millis
	left      float64
	burst     float64
	grantedAt clock.Millis
	hasGrant  bool
	home      uint32
	// localTokens is how many requests may be admitted without a home, at aloneAt.
	localTokens   float64
	localTokensAt clock.Millis
	isLocal       bool
}

// RecordGrant takes in what a home granted, and how much it had left then.
func (h *History) RecordGrant(now clock.Millis, l Limit, g Grant) {
	h.addUsage(now, g.Granted)
	h.left, h.burst, h.grantedAt, h.hasGrant, h.home = g.Left, l.depth(), now, true, g.Home
	h.isLocal = false
}

// Hint is what the home that was asked last told, and its mark.
func (h *History) Hint(now clock.Millis) (Hint, uint32) {
	return Hint{Known: h.hasGrant, Left: h.left, Age: now - h.grantedAt}, h.home
}

// AdmitWithoutHome reports whether a request is admitted though no home can be asked: half as many as
// the node was granted before, or fewer, on average over many nodes. Luck is drawn evenly between 0 and 1.
func (h *History) AdmitWithoutHome(now clock.Millis, l Limit, luck float64) bool {
	rate := noHomeShare * h.currentUsage(now) / usageWindow.Seconds()
	if h.hasGrant && h.left < nearLimitLevel*h.burst {
		rate *= nearLimitShare / noHomeShare
	}
	if !h.isLocal {
		h.isLocal, h.localTokens, h.localTokensAt = true, luck, now
	}
	h.localTokens = min(h.localTokens+rate*(now-h.localTokensAt).Seconds(), l.depth())
	h.localTokensAt = now
	if h.localTokens < 1 {
		return false
	}
	h.localTokens--
	return true
}

func (h *History) addUsage(now clock.Millis, count int) {
	h.usage = h.currentUsage(now) + float64(count)
	h.usedAt = now
}

func (h *History) currentUsage(now clock.Millis) float64 {
	if h.isLocal {
		return h.usage // what is usual stands still until a home grants again
	}
	return h.usage * math.Exp(-float64(max(now-h.usedAt, 0))/float64(usageWindow))
}
