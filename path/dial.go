package path

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// dialSchedule paces the opening of links to one peer.
type dialSchedule struct {
	interval    clock.Millis
	redialDelay clock.Millis
	random      *rand.Rand
	// running since started, until opened or failed.
	running bool
	started clock.Millis
	next    clock.Millis
	// failedAt is when a dial failed last.
	failedAt clock.Millis
	// failures counts the dials that failed since a link was opened, checks
	// those that opened a link while the last one stood and cured nothing.
	failures int
	checks   int
}

// tryStart says whether a dial is to be started, and counts it as started. Checking
// says that a link is open and in doubt.
func (d *dialSchedule) tryStart(now clock.Millis, checking bool) bool {
	if now < d.next || (d.running && now-d.started <= lostIntervals*d.interval) {
		return false
	}
	d.running = true
	d.started = now
	if checking {
		d.checks++
		d.next = now + backoff(d.random, d.interval, min(d.checks-1, dialDoublings))
	}
	return true
}

func (d *dialSchedule) opened() {
	d.running = false
	d.failures = 0
}

func (d *dialSchedule) failed(now clock.Millis) {
	d.running = false
	d.failures++
	d.failedAt = now
	d.next = now + backoff(d.random, d.redialDelay, min(d.failures-1, dialDoublings))
}

// resetChecks ends the pacing of checks: answers come.
func (d *dialSchedule) resetChecks() {
	d.checks = 0
}

// Most doublings of a backoff.
const (
	// dialDoublings bounds it at 16 beats, or spans to redial: a peer that returns is found within
	// 24, and 2,400 entries that lost one peer dial it 150 times a beat.
	dialDoublings = 4
	// holdDownDoublings bounds it at 64 beats: nothing is sent to hold a path off,
	// so it may grow further than the span between two dials.
	holdDownDoublings = 6
)

// backoff returns a span of about 2^doublings beats, between half and one and
// a half of it at random, so that the entries that lost one peer together
// don't come back to it together.
func backoff(random *rand.Rand, beat clock.Millis, doublings int) clock.Millis {
	span := beat << max(doublings, 0)
	return span/2 + clock.Millis(random.Int64N(int64(span)+1))
}
