package freshness_test

import (
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/freshness"
)

// peerAhead is by how much the peer's clock is ahead of this process's in the tests.
const peerAhead = 40 * clock.Second

// Guards against old content that counts as current: after a partition the messages of its whole
// length arrive at once, the oldest first, and the first ones tell a time of the peer's clock that
// has passed long ago.
func TestMessagesHeldUpByAPartitionKeepTheirAge(t *testing.T) {
	var c freshness.PeerClock
	c.RoundTrip(1002, 1000, 1001+peerAhead)
	const arrival = 9 * clock.Second
	for sentAt := 3 * clock.Second; sentAt < arrival; sentAt += clock.Second {
		c.RoundTrip(arrival, 1000, sentAt+peerAhead) // the last echo before the partition
		if got := c.SentAfter(arrival, sentAt+peerAhead); got > sentAt {
			t.Errorf("got a message sent at %v counted as sent after %v", sentAt, got)
		}
	}
}

// Guards against content of any age that counts as current on a link whose first messages are held
// up, before the peer has echoed anything.
func TestMessageOfUnknownAgeIsOld(t *testing.T) {
	var c freshness.PeerClock
	if got, want := c.SentAfter(5000, 4999+peerAhead), 5000-clock.Hour; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	c.RoundTrip(5000, 5001, 4999+peerAhead)
	if got, want := c.SentAfter(5000, 4999+peerAhead), 5000-clock.Hour; got != want {
		t.Errorf("got %v after an echo of a time that hasn't come yet, want %v", got, want)
	}
}

// Guards against calls of the store that a calm network doesn't need: an age that is counted far too
// high, or that grows while the clocks drift.
func TestAgeIsExactOnACalmNetwork(t *testing.T) {
	var c freshness.PeerClock
	const roundTrip, interval = 2, 2 * clock.Second
	for now := interval; now < clock.Hour; now += interval {
		peerTime := now + now/2000 + peerAhead // the peer's clock runs 500 ppm faster
		c.RoundTrip(now, now-roundTrip, peerTime-roundTrip/2)
		if got, want := c.SentAfter(now, peerTime-roundTrip/2), now-10; got < want {
			t.Fatalf("got %v at %v, want %v or later", got, now, want)
		}
	}
}

// Guards against ages counted too low for good after this process's clock has stood still.
func TestStoppedClockIsNoticed(t *testing.T) {
	var c freshness.PeerClock
	c.RoundTrip(1002, 1000, 1001+peerAhead)
	const stopped = 20 * clock.Second
	if got, want := c.SentAfter(2000, 1999+stopped+peerAhead), 2000-clock.Hour; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	c.RoundTrip(2002, 2000, 2001+stopped+peerAhead)
	if got, want := c.SentAfter(9000, 4000+stopped+peerAhead), 4*clock.Second; got > want {
		t.Errorf("got %v, want %v or earlier", got, want)
	}
}

// Guards against any order of delays in which a message is counted as younger than it is.
func TestNoMessageIsCountedTooYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c freshness.PeerClock
		skew := clock.Millis(rapid.Int64Range(-100_000, 100_000).Draw(t, "skew"))
		now := clock.Minute
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			now += clock.Millis(rapid.Int64Range(0, 20_000).Draw(t, "pause"))
			transit := clock.Millis(rapid.Int64Range(0, 10_000).Draw(t, "transit"))
			sentAt := now - transit
			echo := sentAt - clock.Millis(rapid.Int64Range(0, 10_000).Draw(t, "echo's age"))
			if rapid.Bool().Draw(t, "echoes") {
				c.RoundTrip(now, echo, sentAt+skew)
			}
			if got := c.SentAfter(now, sentAt+skew); got > sentAt {
				t.Fatalf("got a message sent at %v counted as sent after %v", sentAt, got)
			}
		}
	})
}
