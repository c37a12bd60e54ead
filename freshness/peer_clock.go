// Package freshness bounds the age of what another process has sent.
//
// A message that was held up by the network looks the same as one that was just sent, unless
// its receiver knows the sender's clock. An age counted too low makes old content pass for
// current; one counted too high only makes the receiver ask the source itself. The package
// therefore never counts an age too low, however long messages are delayed.
package freshness

import "fuchsiapick.example/fuchsiapick/clock"

const (
	// MaxAge is the age of a message whose age has no bound.
	MaxAge = clock.Hour
	// driftRatio is the time in which two clocks drift apart by one unit at most. A clock that is
	// being adjusted runs up to 500 ppm faster or slower.
	driftRatio = 1000
)

// PeerClock converts times of a peer's clock to this process's clock. A time that a peer has
// echoed shows that a message was sent after it; no delay makes that wrong. The zero value knows
// nothing of the peer. It is not safe for concurrent use.
type PeerClock struct {
	// offset is by how much this process's clock is ahead of the peer's clock at least, as known
	// at knownAt.
	offset, knownAt clock.Millis
	isKnown         bool
}

// RoundTrip records that the peer sent a message, at peerTime of its clock, after it had received
// what this process sent at sentAt. It ignores a sentAt after now.
func (c *PeerClock) RoundTrip(now, sentAt, peerTime clock.Millis) {
	if sentAt > now {
		return
	}
	if offset := sentAt - peerTime; !c.isKnown || offset >= c.minOffset(now) {
		c.offset, c.knownAt, c.isKnown = offset, now, true
	}
}

// SentAfter returns a time on this process's clock after which the peer sent a message that it
// sent at peerTime of its clock and that arrived now. Without a round trip the time is an hour
// ago.
//
// A message that seems to arrive before it was sent shows that this process's clock has stood
// still, as on a suspended machine; what was known of the peer's clock is then dropped. Until then
// ages are too low by the time for which it stood still.
func (c *PeerClock) SentAfter(now, peerTime clock.Millis) clock.Millis {
	sentAfter := peerTime + c.minOffset(now)
	if sentAfter > now {
		c.isKnown = false
	}
	if !c.isKnown {
		return now - MaxAge
	}
	return max(sentAfter, now-MaxAge)
}

// minOffset returns the lower limit of the offset now, less what the clocks may have drifted and
// their resolution.
func (c *PeerClock) minOffset(now clock.Millis) clock.Millis {
	return c.offset - (now-c.knownAt)/driftRatio - 1
}
