package mirror

import (
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// firstShare and lastShare are the parts of Fresh between which a node draws the
	// age at which it reads the store itself. The first of a fleet to do so tells
	// the others, which then put theirs off: 95 nodes make 4 calls a second together
	// in place of 54, 600 make 13 (TestFleetReadsTheStoreTogether). What remains of
	// Fresh is for the answer, a table on a third of a core, and a hop.
	firstShare = 0.4
	lastShare  = 0.65
	// firstBackoff and mostBackoff bound the span between failed calls: quick
	// enough that a store that returns is read within its bounds, and spread, so
	// that the nodes of a fleet don't come back as one wave.
	firstBackoff = 100 * clock.Millis(1)
	mostBackoff  = 300 * clock.Millis(1)
	// hurrySpread is the span over which the nodes of a fleet read a change that is
	// too large to be told.
	hurrySpread = 100
)

// Pace says when a node reads the store. It is not safe for concurrent use.
type Pace struct {
	fresh    clock.Millis
	random   *rand.Rand
	current  clock.Millis // what is known was the store's at that instant
	due      clock.Millis
	failures int
	// isUrgent says that only a call of its own will do.
	isUrgent bool
}

// NewPace returns a pace with a call due at once. Fresh is how old what is known may
// be at most while the store answers.
func NewPace(fresh clock.Millis, seed uint64) *Pace {
	return &Pace{fresh: fresh, random: rand.New(rand.NewPCG(seed, 0)), current: -1}
}

// Due is the instant of the next call.
func (p *Pace) Due() clock.Millis {
	return p.due
}

// Urgent reports whether only a call of its own will do.
func (p *Pace) Urgent() bool {
	return p.isUrgent
}

// Failures is how many calls in a row have failed.
func (p *Pace) Failures() int {
	return p.failures
}

// Answered takes in a call that was answered with what was the store's at an
// instant.
func (p *Pace) Answered(at clock.Millis) {
	p.isUrgent, p.failures = false, 0
	p.Known(at)
}

// Known takes in that what is known was the store's at an instant, as a call or a
// peer said.
func (p *Pace) Known(at clock.Millis) {
	if at <= p.current {
		return
	}
	p.current = at
	if p.isUrgent {
		return
	}
	p.failures = 0
	// The cube root leaves few nodes near the first instant, however many there are:
	// with even draws, 95 would make 9 calls a second, for all that are due before
	// the first one's news arrive call as well.
	share := firstShare + (lastShare-firstShare)*math.Cbrt(p.random.Float64())
	p.due = at + clock.Millis(share*float64(p.fresh))
}

// Failed takes in that a call has failed.
func (p *Pace) Failed(now clock.Millis) {
	p.failures++
	span := min(firstBackoff<<min(p.failures, 4), mostBackoff)
	p.due = now + span/2 + clock.Millis(p.random.Int64N(int64(span)))
}

// Hurry takes in that there is a change which must be read.
func (p *Pace) Hurry(now clock.Millis) {
	if p.isUrgent {
		return // the call is due already, or its backoff runs
	}
	p.isUrgent = true
	p.due = min(p.due, now+clock.Millis(p.random.Int64N(hurrySpread)))
}
