package mirror

import (
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// minPollShare and lastShare are the parts of Fresh between which a node draws the
	// age at which it reads the store itself. The first of a fleet to do so tells
	// the others, which then put theirs off. What remains of Fresh is for the
	// answer, the table, and a hop.
	minPollShare = 0.4
	maxPollShare = 0.65
	// minReaderShare is firstShare of the nodes that all others keep links to: while a
	// fleet has no requests there are no other links, and each node read for itself.
	minReaderShare = 0.3
	// initialBackoff bounds the span after a failed call, doubled with each further
	// one up to Backoff: quick enough that a store that returns is read within its
	// bounds, and spread, so that the nodes of a fleet don't come back as one wave.
	initialBackoff = 100 * clock.Millis(1)
	// defaultMaxBackoff is the longest where an edit made at the store's return is to
	// be in force within two seconds.
	defaultMaxBackoff = 300 * clock.Millis(1)
	// minUrgentSpread is the least span over which the nodes of a fleet read a change
	// that is too large to be told, hurryEach what each node adds to it.
	minUrgentSpread     = 100 * clock.Millis(1)
	urgentSpreadPerNode = clock.Millis(1)
)

// maxFleetCalls bounds the calls a second of a fleet in which no node hears of another, well
// below the 2,000 that the platform allows: 2,400 nodes then call every 1.6 s.
const maxFleetCalls = 1_500

// maxDoublings keeps the doubled span from overflowing.
const maxDoublings = 10

// PollSchedule says when a node reads the store. It is not safe for concurrent use.
type PollSchedule struct {
	config    PollConfig
	nodes     int
	isReader  bool
	random    *rand.Rand
	currentAt clock.Millis // what is known was the store's at that instant
	due       clock.Millis
	failures  int
	// failedAt is when the last of them was, heardAt when a peer last showed that the
	// store answers it.
	failedAt, peerAnsweredAt clock.Millis
	// isUrgent says that only a call of its own will do.
	isUrgent bool
}

// PollConfig configures a Pace.
type PollConfig struct {
	// MaxStaleness is how old what is known may be at most while the store answers.
	MaxStaleness clock.Millis
	// MaxBackoff is the longest span after a failed call; 0 stands for 0.3 s.
	MaxBackoff clock.Millis
	Seed       uint64
}

// NewPollSchedule returns a pace with a call due at once.
func NewPollSchedule(c PollConfig) *PollSchedule {
	if c.MaxBackoff <= 0 {
		c.MaxBackoff = defaultMaxBackoff
	}
	return &PollSchedule{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), currentAt: -1}
}

// SetFleetSize takes in how many nodes read the store, and whether this one is to do it ahead
// of the others.
func (p *PollSchedule) SetFleetSize(nodes int, isReader bool) {
	p.nodes, p.isReader = nodes, isReader
}

// maxStaleness is the configured span, or that which the number of nodes allows.
func (p *PollSchedule) maxStaleness() float64 {
	return max(float64(p.config.MaxStaleness), float64(p.nodes)*float64(clock.Second)/maxFleetCalls/minPollShare)
}

// Due is the instant of the next call.
func (p *PollSchedule) Due() clock.Millis {
	return p.due
}

// IsUrgent reports whether only a call of its own will do.
func (p *PollSchedule) IsUrgent() bool {
	return p.isUrgent
}

// Failures is how many calls in a row have failed.
func (p *PollSchedule) Failures() int {
	return p.failures
}

// Answered takes in a call that was answered with what was the store's at an
// instant.
func (p *PollSchedule) Answered(at clock.Millis) {
	p.isUrgent, p.failures = false, 0
	p.currentAt = max(p.currentAt, at)
	p.schedule()
}

// Refreshed takes in that what is known was the store's at an instant, as a call or a
// peer said.
func (p *PollSchedule) Refreshed(at clock.Millis) {
	if at <= p.currentAt {
		return
	}
	p.currentAt = at
	if p.isUrgent {
		return
	}
	p.failures = 0
	p.schedule()
}

// schedule draws the next call by the age of what is known.
func (p *PollSchedule) schedule() {
	// The cube root leaves few nodes near the first instant, however many there are:
	// with even draws, 95 would make 9 calls a second, for all that are due before
	// the first one's news arrive call as well.
	first, last := minPollShare, maxPollShare
	if p.isReader {
		first, last = minReaderShare, minPollShare
	}
	share := first + (last-first)*math.Cbrt(p.random.Float64())
	p.due = p.currentAt + clock.Millis(share*p.maxStaleness())
}

// Failed takes in that a call has failed.
func (p *PollSchedule) Failed(now clock.Millis) {
	p.failures++
	p.failedAt = now
	span := min(initialBackoff<<min(p.failures, maxDoublings), p.config.MaxBackoff)
	p.due = now + span/2 + clock.Millis(p.random.Int64N(int64(span)))
}

const (
	// maxPostponement, and postponedEach for each node, bound what a node puts off its
	// call after a failed one. Where a third of 30 nodes was cut off from the store,
	// their words that it is away followed each other so closely that one whose call
	// had failed once, and which the store would have answered, made none for 3.6 s.
	// The nodes of a fleet then make 22 calls a second at most in an outage.
	maxPostponement     = clock.Second
	postponementPerNode = 45 * clock.Millis(1)
	// peerAnswerWindow is how long after a peer's news the store is held to answer some.
	peerAnswerWindow = clock.Second
)

// Postpone takes in that a peer's call has failed, too: where the store answers
// nobody, each call is in vain, and one of the fleet's in a while is enough to see it
// return. A node whose own calls are answered puts nothing off, nor does one that has
// just heard of a peer whose calls are.
func (p *PollSchedule) Postpone(now clock.Millis) {
	if p.failures == 0 || (p.peerAnsweredAt > 0 && now-p.peerAnsweredAt < peerAnswerWindow) {
		return
	}
	span := p.config.MaxBackoff
	latest := p.failedAt + max(maxPostponement, clock.Millis(p.nodes)*postponementPerNode)
	p.due = max(p.due, min(now+span/2+clock.Millis(p.random.Int64N(int64(span))), latest))
}

// MissedChanges takes in that the store answers a peer, which knows of changes that this node
// has missed. After a failed call of its own it tries again at once: others can't help it.
func (p *PollSchedule) MissedChanges(now clock.Millis) {
	p.peerAnsweredAt = now
	if p.failures > 0 {
		p.due = min(p.due, now+clock.Millis(p.random.Int64N(int64(p.urgentSpread()))))
	}
}

// PollSoon takes in that there is a change which must be read.
func (p *PollSchedule) PollSoon(now clock.Millis) {
	if p.isUrgent {
		return // the call is due already, or its backoff runs
	}
	p.isUrgent = true
	p.due = min(p.due, now+clock.Millis(p.random.Int64N(int64(p.urgentSpread()))))
}

// urgentSpread is the span over which nodes that must read at once spread their calls.
func (p *PollSchedule) urgentSpread() clock.Millis {
	return max(minUrgentSpread, clock.Millis(p.nodes)*urgentSpreadPerNode)
}
