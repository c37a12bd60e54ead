package mirror

import (
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// minPollShare and maxPollShare limit the age, as a share of MaxStaleness, at which a
	// node reads the store. The age is drawn at random between them. The first node of a
	// fleet to read sends updates to the others, which then postpone their own calls. The
	// rest of MaxStaleness is left for the answer, the evaluation of the table, and a
	// hop.
	minPollShare = 0.4
	maxPollShare = 0.65
	// minReaderShare replaces minPollShare on the nodes to which all others keep links.
	// While a fleet has no requests there are no other links, and without readers each
	// node read the store for itself.
	minReaderShare = 0.3
	// initialBackoff is the base of the delay after a failed call, doubled with each
	// failure up to MaxBackoff. It is short enough that a store that returns is
	// read within its time limits. The delay is randomized, so that the nodes of a fleet
	// don't retry at the same time.
	initialBackoff = 100 * clock.Millis(1)
	// defaultMaxBackoff is the longest backoff with which an edit made at the store's
	// return is in force within two seconds.
	defaultMaxBackoff = 300 * clock.Millis(1)
	// minUrgentSpread is the minimum time over which the nodes of a fleet spread their
	// reads of a change that is too large to be published. urgentSpreadPerNode is the
	// time that each node adds.
	minUrgentSpread     = 100 * clock.Millis(1)
	urgentSpreadPerNode = clock.Millis(1)
)

// maxFleetCalls limits the calls per second of a fleet whose nodes receive no updates
// from one another, well below the 2,000 that the platform allows: 2,400 nodes then call
// every 1.6 s.
const maxFleetCalls = 1_500

// maxDoublings keeps the doubled delay from overflowing.
const maxDoublings = 10

// PollSchedule decides when a node reads the store. It is not safe for concurrent use.
type PollSchedule struct {
	config    PollConfig
	nodes     int
	isReader  bool
	random    *rand.Rand
	currentAt clock.Millis // time at which the copy equalled the store; -1 if it never did
	due       clock.Millis
	failures  int
	// failedAt is the time of the last failed call. peerAnsweredAt is when a peer's
	// update last showed that the store answers that peer.
	failedAt, peerAnsweredAt clock.Millis
	// isUrgent is true if this node must make a call itself, whatever its peers publish.
	isUrgent bool
}

// PollConfig configures a PollSchedule.
type PollConfig struct {
	// MaxStaleness is the maximum age of the copy while the store answers.
	MaxStaleness clock.Millis
	// MaxBackoff is the maximum delay after a failed call, before jitter; 0 means 0.3 s.
	MaxBackoff clock.Millis
	Seed       uint64
}

// NewPollSchedule returns a schedule whose first call is due immediately.
func NewPollSchedule(c PollConfig) *PollSchedule {
	if c.MaxBackoff <= 0 {
		c.MaxBackoff = defaultMaxBackoff
	}
	return &PollSchedule{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), currentAt: -1}
}

// SetFleetSize sets the number of nodes that read the store, and whether this node reads
// it ahead of the others.
func (p *PollSchedule) SetFleetSize(nodes int, isReader bool) {
	p.nodes, p.isReader = nodes, isReader
}

// maxStaleness returns the configured limit in milliseconds, or a longer one if the
// number of nodes requires it.
func (p *PollSchedule) maxStaleness() float64 {
	return max(float64(p.config.MaxStaleness), float64(p.nodes)*float64(clock.Second)/maxFleetCalls/minPollShare)
}

// LongestInterval returns the time between two calls of a node that gets answers and no updates.
func (p *PollSchedule) LongestInterval() clock.Millis {
	return clock.Millis(maxPollShare * p.maxStaleness())
}

// Due returns the time of the next call.
func (p *PollSchedule) Due() clock.Millis {
	return p.due
}

// IsUrgent reports whether this node must make a call itself.
func (p *PollSchedule) IsUrgent() bool {
	return p.isUrgent
}

// Failures returns the number of consecutive failed calls.
func (p *PollSchedule) Failures() int {
	return p.failures
}

// Answered records a successful call, whose answer equals the store's state at the given
// time.
func (p *PollSchedule) Answered(at clock.Millis) {
	p.isUrgent, p.failures = false, 0
	p.currentAt = max(p.currentAt, at)
	p.schedule()
}

// Refreshed records that the copy equals the store's state at the given time, according
// to a call or to a peer.
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

// schedule draws the time of the next call from the age of the copy.
func (p *PollSchedule) schedule() {
	// The cube root leaves few nodes near the earliest time, whatever their number. With
	// a uniform distribution, 95 nodes would make 9 calls a second, because all nodes
	// whose call is due before the first one's update arrives call as well.
	low, high := minPollShare, maxPollShare
	if p.isReader {
		low, high = minReaderShare, minPollShare
	}
	share := low + (high-low)*math.Cbrt(p.random.Float64())
	p.due = p.currentAt + clock.Millis(share*p.maxStaleness())
}

// Failed records a failed call and schedules the next one after a backoff.
func (p *PollSchedule) Failed(now clock.Millis) {
	p.failures++
	p.failedAt = now
	delay := min(initialBackoff<<min(p.failures, maxDoublings), p.maxBackoff(now))
	p.due = now + delay/2 + clock.Millis(p.random.Int64N(int64(delay)))
}

// maxBackoff returns the longest delay after a failed call, before jitter. While updates keep the
// copy current, nothing but the confirmation of removals waits for this node's own call.
func (p *PollSchedule) maxBackoff(now clock.Millis) clock.Millis {
	if p.currentAt >= 0 && now-p.currentAt < clock.Millis(minPollShare*p.maxStaleness()) {
		return max(p.config.MaxBackoff, clock.Millis(minPollShare*p.maxStaleness()))
	}
	return p.config.MaxBackoff
}

const (
	// maxPostponement, or postponementPerNode times the number of nodes if that is more,
	// limits how long a node postpones its call after a failed one. When a third of 30
	// nodes was cut off from the store, their updates that it was unavailable arrived so
	// closely spaced that a node which the store would have answered made no call for 3.6
	// s after a single failure. With these values, the nodes of a fleet make at most 22
	// calls a second during an outage.
	maxPostponement     = clock.Second
	postponementPerNode = 45 * clock.Millis(1)
	// peerAnswerWindow is how long after a peer's update the store is assumed to answer
	// some nodes.
	peerAnswerWindow = clock.Second
)

// Postpone records that a peer's call failed as well, at the given time, and postpones the next
// call: if the store answers no node, an occasional call by one node of the fleet is enough to
// detect its return. A node whose own calls succeed postpones nothing, nor does a node that
// has received an update from a peer whose calls succeeded shortly before or later.
func (p *PollSchedule) Postpone(failedAt clock.Millis) {
	if p.failures == 0 || (p.peerAnsweredAt > 0 && failedAt-p.peerAnsweredAt < peerAnswerWindow) {
		return
	}
	delay := p.config.MaxBackoff
	latest := p.failedAt + max(maxPostponement, clock.Millis(p.nodes)*postponementPerNode)
	p.due = max(p.due, min(failedAt+delay/2+clock.Millis(p.random.Int64N(int64(delay))), latest))
}

// MissedChanges records that the store answered a peer at the given time, and that the peer knows
// changes that this node has missed. If this node's last call failed, the next one is made soon,
// because updates from peers can't fill the gap.
func (p *PollSchedule) MissedChanges(now, answeredAt clock.Millis) {
	p.peerAnsweredAt = max(p.peerAnsweredAt, answeredAt)
	if p.failures > 0 {
		p.due = min(p.due, now+clock.Millis(p.random.Int64N(int64(p.urgentSpread()))))
	}
}

// PollSoon records that there is a change which this node must read itself.
func (p *PollSchedule) PollSoon(now clock.Millis) {
	if p.isUrgent {
		return // the call is already due, or waits for its backoff
	}
	p.isUrgent = true
	p.due = min(p.due, now+clock.Millis(p.random.Int64N(int64(p.urgentSpread()))))
}

// PollNow makes a call due immediately, unless it waits for its backoff.
func (p *PollSchedule) PollNow(now clock.Millis) {
	if p.failures == 0 {
		p.isUrgent, p.due = true, min(p.due, now)
	}
}

// PollAfter is like PollSoon after a delay.
func (p *PollSchedule) PollAfter(now, delay clock.Millis) {
	p.PollSoon(now + delay)
}

// Settle records that the change which this node had to read itself is known. The next call is due
// by the age of the copy.
func (p *PollSchedule) Settle() {
	if p.failures == 0 {
		p.isUrgent = false
		p.schedule()
	}
}

// AwaitPeer postpones a call that is due until the nodes that read ahead of the others have called
// the store, also if they are in their longest backoff.
func (p *PollSchedule) AwaitPeer(now clock.Millis) {
	p.isUrgent = true
	p.AwaitReaders(now)
}

// AwaitReaders postpones the next call until the nodes that read ahead of the others have called
// the store, also if they are in their longest backoff. An update that makes the copy current
// replaces the call.
func (p *PollSchedule) AwaitReaders(now clock.Millis) {
	longestBackoff := p.config.MaxBackoff / 2 * 3
	p.due = now + longestBackoff + clock.Millis(p.random.Int64N(int64(p.urgentSpread())))
}

// urgentSpread returns the time over which nodes that must read soon spread their calls.
func (p *PollSchedule) urgentSpread() clock.Millis {
	return max(minUrgentSpread, clock.Millis(p.nodes)*urgentSpreadPerNode)
}
