// Package path judges the way from an entry to one peer: unreachable, paused,
// one-way or silent. The judgement is the entry's own and is never published:
// it says nothing about the backend servers behind the peer.
//
// The driver beats on every open link and calls State at least once a beat. It
// calls Closed when the link breaks and Idle when it closes the link itself.
package path

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// State is the judgement of a path.
type State uint8

// The values of State.
const (
	// Good paths get work.
	Good State = iota
	// Suspected paths get work while a new link is opened to check them.
	Suspected
	// Lost paths get no work.
	Lost
)

// Config is what a Judge is made from.
type Config struct {
	// HeartbeatInterval is the span between two heartbeats, the peer's and the entry's own.
	HeartbeatInterval clock.Millis
	// RedialDelay is about how long after a failed dial the next one is due, doubled
	// with each further failure; 0 stands for Beat.
	RedialDelay clock.Millis
	// Seed makes the jitter of Redial repeatable.
	Seed uint64
}

// Spans in beats.
const (
	// suspectIntervals without a frame raise a doubt: one beat lost, the next late.
	suspectIntervals = 2
	// lostIntervals without a frame lose the path: one beat more, in which the
	// check by a new link can answer.
	lostIntervals = 3
	// pauseIntervals between two calls mean that this process was paused. Beside
	// the beat that may just have been due, that is less than lostBeats: a
	// pause too short to be seen as one loses no path.
	pauseIntervals = 2
	// graceIntervals after a new link, an overdue answer is not held against it:
	// what was sent on the old one is being settled on the new one.
	graceIntervals = 1
	// stableIntervals after its return, a path that is lost again is flapping.
	stableIntervals = 30
)

// Detector judges one peer's path. It is not safe for concurrent use.
type Detector struct {
	interval    clock.Millis
	random      *rand.Rand
	outstanding outstanding
	dial        dialSchedule

	// isConnected says that a link is open; used that one was opened before.
	isConnected  bool
	wasConnected bool
	// lastCall is the last instant of any call.
	lastCall clock.Millis
	// graceStart is the last new link or wake of this process: quiet before it
	// isn't held against the peer.
	graceStart clock.Millis
	// lastReceived is when the last frame came. Echo is when the peer last heard from
	// this entry, as it said at told.
	lastReceived clock.Millis
	lastEcho     clock.Millis
	echoedAt     clock.Millis

	isLost      bool
	lostAt      clock.Millis
	recoveredAt clock.Millis
	relapses    int
	holdDown    clock.Millis
}

// New makes a Judge of a peer to which no link was opened yet. The path is
// good until something speaks against it: an entry that has just started knows
// nothing of its peers and must serve.
func New(c Config) *Detector {
	beat := max(c.HeartbeatInterval, 1)
	random := rand.New(rand.NewPCG(c.Seed, 0))
	return &Detector{
		interval:    beat,
		random:      random,
		dial:        dialSchedule{interval: beat, redialDelay: redialDelay(c, beat), random: random},
		outstanding: outstanding{due: make(map[uint64]clock.Millis)},
	}
}

func redialDelay(c Config, beat clock.Millis) clock.Millis {
	if c.RedialDelay > 0 {
		return c.RedialDelay
	}
	return beat
}

// Opened tells that a link was opened and the peer proved itself on it: both
// directions worked.
func (j *Detector) Opened(now clock.Millis) {
	j.detectPause(now)
	j.isConnected, j.wasConnected = true, true
	j.graceStart, j.lastReceived, j.lastEcho, j.echoedAt = now, now, now, now
	j.dial.opened()
	j.outstanding.dropOverdue(now)
}

// Failed tells that a link couldn't be opened, or that the peer didn't prove
// itself on it.
func (j *Detector) Failed(now clock.Millis) {
	j.detectPause(now)
	j.dial.failed(now)
}

// Closed tells that the last open link broke. A new one is due at once; until
// it is opened or fails, the path is doubted.
func (j *Detector) Closed(now clock.Millis) {
	j.detectPause(now)
	j.isConnected = false
}

// ClosedIdle tells that the link was closed for want of requests. The quiet that
// follows says nothing about the peer: were it held against it, an entry whose
// callers sleep would have lost all peers by the time that they wake.
func (j *Detector) ClosedIdle(now clock.Millis) {
	j.detectPause(now)
	j.isConnected, j.wasConnected = false, false
}

// Received tells that a frame came from the peer.
func (j *Detector) Received(now clock.Millis) {
	j.detectPause(now)
	j.lastReceived = now
}

// PingTimedOut tells that a ping was not answered: the path is lost at once.
func (j *Detector) PingTimedOut(now clock.Millis) {
	j.detectPause(now)
	if !j.isLost {
		j.markLost(now)
	}
}

// Echoed tells that the peer says that it last heard from this entry at the
// instant heard, which is one of this entry's own clock that the peer returns.
func (j *Detector) Echoed(now, heard clock.Millis) {
	j.detectPause(now)
	j.echoedAt = now
	j.lastEcho = max(j.lastEcho, heard)
}

// Sent tells that a request was sent that should be answered by due, an
// instant.
func (j *Detector) Sent(now clock.Millis, id uint64, due clock.Millis) {
	j.detectPause(now)
	j.outstanding.add(id, due)
}

// Completed tells that a request was answered or given up. Every request told to
// Sent must come here, or it stays overdue.
func (j *Detector) Completed(now clock.Millis, id uint64) {
	j.detectPause(now)
	j.outstanding.remove(id)
	j.dial.resetChecks()
}

// State returns the judgement now.
func (j *Detector) State(now clock.Millis) State {
	j.detectPause(now)
	switch {
	case !j.isLost && j.isUnreachable(now):
		j.markLost(now)
	case j.isLost && j.hasRecovered(now):
		j.isLost = false
		j.recoveredAt = now
	}
	switch {
	case j.isLost:
		return Lost
	case j.isSuspected(now):
		return Suspected
	default:
		return Good
	}
}

// ShouldDial says whether the driver is to open a link now, which it then does and
// reports by Opened or Failed: at once on first need, when a link broke and on
// a doubt; after a growing jittered span when that doesn't help.
func (j *Detector) ShouldDial(now clock.Millis) bool {
	lost := j.State(now) == Lost
	wanted := !j.isConnected || j.isSuspected(now) || (lost && !j.worksBothWays(now))
	return wanted && j.dial.tryStart(now, j.isConnected)
}

// detectPause notices that this process was paused. All peers look silent then, for
// their frames wait unread: losing all paths at once would refuse every caller
// although nothing but this entry failed. Quiet counts from the wake instead.
func (j *Detector) detectPause(now clock.Millis) {
	if now-j.lastCall > pauseIntervals*j.interval {
		j.graceStart = max(j.graceStart, now)
	}
	j.lastCall = max(j.lastCall, now)
}

// silence is how long the path has been without proof that the peer is there and
// hears this entry. A one-way cut towards the peer shows only in the second:
// its heartbeats keep coming.
func (j *Detector) silence(now clock.Millis) clock.Millis {
	silent := now - max(j.lastReceived, j.graceStart)
	unheard := j.echoedAt - max(j.lastEcho, j.graceStart)
	return max(silent, unheard)
}

// isUnreachable says whether the evidence loses the path.
func (j *Detector) isUnreachable(now clock.Millis) bool {
	if !j.isConnected {
		return j.dial.failures > 0
	}
	quiet := j.silence(now)
	return quiet > lostIntervals*j.interval || (quiet > suspectIntervals*j.interval && j.dial.failedAt > j.lastReceived)
}

// isSuspected says whether the path wants a check. An overdue answer alone never
// loses a path that beats both ways: the gate sees requests that hang, too,
// and a hang common to all upstreams would lose all paths.
func (j *Detector) isSuspected(now clock.Millis) bool {
	if !j.isConnected {
		return j.wasConnected
	}
	return j.silence(now) > suspectIntervals*j.interval ||
		(now > j.graceStart+graceIntervals*j.interval && j.outstanding.hasOverdue(now))
}

// markLost marks the path lost. One that flaps returns only after a span that
// grows with each relapse: each return would cost requests whose answers are
// cut off with the next loss.
func (j *Detector) markLost(now clock.Millis) {
	j.holdDown = 0
	if j.recoveredAt > 0 && now-j.recoveredAt <= stableIntervals*j.interval {
		j.relapses++
		j.holdDown = backoff(j.random, j.interval, min(j.relapses, holdDownDoublings))
	} else {
		j.relapses = 0
	}
	j.isLost = true
	j.lostAt = now
}

// hasRecovered says whether a lost path has returned.
func (j *Detector) hasRecovered(now clock.Millis) bool {
	return now-j.lostAt >= j.holdDown && j.worksBothWays(now)
}

// worksBothWays says whether the path has worked both ways since it was lost: a frame
// came, and the peer has heard this entry.
func (j *Detector) worksBothWays(now clock.Millis) bool {
	return j.isConnected && j.lastReceived > j.lostAt && j.lastEcho > j.lostAt && j.silence(now) <= suspectIntervals*j.interval
}
