// Package path judges the way from an entry to one peer: unreachable, paused,
// one-way or silent. The judgement is the entry's own and is never published:
// it says nothing about the backend servers behind the peer.
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
	// Doubted paths get work while a new link is opened to check them.
	Doubted
	// Lost paths get no work.
	Lost
)

// Config is what a Judge is made from.
type Config struct {
	// Beat is the span between two heartbeats of the peer.
	Beat clock.Millis
	// Seed makes the jitter of Redial repeatable.
	Seed uint64
}

const (
	// doubtBeats is how many beats without a frame raise a doubt: one beat
	// lost and the next one late.
	doubtBeats = 2
	// lostBeats is how many beats without a frame lose the path: it leaves one
	// beat for the check by a new link.
	lostBeats = 3
)

// Judge judges one peer's path. It is not safe for concurrent use.
type Judge struct {
	beat   clock.Millis
	random *rand.Rand

	linked   bool
	dialling bool
	failures int
	nextDial clock.Millis
	heard    clock.Millis
	echo     clock.Millis
	sent     map[uint64]clock.Millis
}

// New makes a Judge of a peer to which no link was opened yet.
func New(c Config) *Judge {
	return &Judge{
		beat:   max(c.Beat, 1),
		random: rand.New(rand.NewPCG(c.Seed, 0)),
		sent:   make(map[uint64]clock.Millis),
	}
}

// Opened tells that a link was opened and the peer proved itself on it.
func (j *Judge) Opened(now clock.Millis) {
	j.linked = true
	j.dialling = false
	j.failures = 0
	j.heard = now
	j.echo = now
	clear(j.sent)
}

// Failed tells that a link couldn't be opened.
func (j *Judge) Failed(now clock.Millis) {
	j.dialling = false
	j.failures++
	span := j.beat << min(j.failures, 5)
	j.nextDial = now + span/2 + clock.Millis(j.random.Int64N(int64(span)))
}

// Heard tells that a frame came from the peer.
func (j *Judge) Heard(now clock.Millis) {
	j.heard = max(j.heard, now)
}

// Echoed tells when, in this entry's own clock, the peer last heard from it.
func (j *Judge) Echoed(_, heard clock.Millis) {
	j.echo = max(j.echo, heard)
}

// Sent tells that a request was sent that should be answered by due.
func (j *Judge) Sent(_ clock.Millis, id uint64, due clock.Millis) {
	j.sent[id] = due
}

// Settled tells that a request was answered or given up.
func (j *Judge) Settled(_ clock.Millis, id uint64) {
	delete(j.sent, id)
}

// State returns the judgement now.
func (j *Judge) State(now clock.Millis) State {
	if !j.linked {
		if j.failures > 0 {
			return Lost
		}
		return Good
	}
	quiet := now - min(j.heard, j.echo)
	switch {
	case quiet > lostBeats*j.beat, j.failures > 0 && quiet > doubtBeats*j.beat:
		return Lost
	case quiet > doubtBeats*j.beat, j.overdue(now):
		return Doubted
	default:
		return Good
	}
}

// Redial says whether the driver is to open a link now, which it then does:
// at once on first need and on a doubt, after a growing jittered span when
// links can't be opened.
func (j *Judge) Redial(now clock.Millis) bool {
	if j.dialling || now < j.nextDial {
		return false
	}
	if j.linked && j.State(now) == Good {
		return false
	}
	j.dialling = true
	return true
}

func (j *Judge) overdue(now clock.Millis) bool {
	for _, due := range j.sent {
		if due < now {
			return true
		}
	}
	return false
}
