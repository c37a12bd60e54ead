package path

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// dialSchedule decides when to dial a peer.
type dialSchedule struct {
	interval    clock.Millis
	redialDelay clock.Millis
	random      *rand.Rand
	// running is true from started until the dial has succeeded or failed.
	running bool
	started clock.Millis
	// next is the earliest time of the next dial.
	next clock.Millis
	// failedAt is the time of the last failed dial.
	failedAt clock.Millis
	// failures counts the failed dials since a link was last opened. checks counts the dials
	// of a suspected path with an open link since a request was last completed.
	failures int
	checks   int
}

// tryStart reports whether a dial must be started, and records its start. checking is true
// if a link is open, so that the dial is a check of the path. A dial that has been running
// for more than lostIntervals no longer prevents another one.
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

// opened records that a dial has succeeded.
func (d *dialSchedule) opened() {
	d.running = false
	d.failures = 0
}

// failed records that a dial has failed, and schedules the next one.
func (d *dialSchedule) failed(now clock.Millis) {
	d.running = false
	d.failures++
	d.failedAt = now
	d.next = now + backoff(d.random, d.redialDelay, min(d.failures-1, dialDoublings))
}

// resetChecks resets the backoff of checks, because answers arrive.
func (d *dialSchedule) resetChecks() {
	d.checks = 0
}

// Maximum numbers of doublings of a backoff.
const (
	// dialDoublings limits the backoff of dials to 16 heartbeat intervals for checks, or to
	// 16 redial delays after failures. With jitter, a peer that is back is found within 24,
	// and 2,400 entries that have lost the path to one peer dial it 150 times per interval.
	dialDoublings = 4
	// holdDownDoublings limits the hold-down time of a flapping path to 64 heartbeat
	// intervals. A hold-down sends nothing, so it may grow further than the delay between
	// two dials.
	holdDownDoublings = 6
)

// backoff returns base doubled the given number of times, multiplied by a random factor
// between 0.5 and 1.5. The jitter keeps entries that lost a peer at the same time from
// dialling it at the same time.
func backoff(random *rand.Rand, base clock.Millis, doublings int) clock.Millis {
	delay := base << max(doublings, 0)
	return delay/2 + clock.Millis(random.Int64N(int64(delay)+1))
}
