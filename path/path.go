// Package path is the failure detector for the network path from an entry to one peer. It
// detects that the peer is unreachable or paused, that the path works in one direction only,
// and that the link is dead. The resulting state is local to the entry and never published:
// it says nothing about the backend servers behind the peer.
//
// The caller sends heartbeats on every open link and calls State at least once per heartbeat
// interval. It calls Closed when the link breaks and ClosedIdle when it closes the link
// itself.
package path

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// State is the state of a path.
type State uint8

// The values of State.
const (
	// Good paths are used for requests.
	Good State = iota
	// Suspected paths are used for requests while a new link is opened to check them.
	Suspected
	// Lost paths are not used for requests.
	Lost
)

// Config configures a Detector.
type Config struct {
	// HeartbeatInterval is the interval between two heartbeats in each direction.
	HeartbeatInterval clock.Millis
	// RedialDelay is the approximate delay between a failed dial and the next dial. It
	// doubles with each further failure, up to a limit. 0 means HeartbeatInterval.
	RedialDelay clock.Millis
	// Seed makes the jitter of the delays repeatable.
	Seed uint64
}

// Durations in heartbeat intervals.
const (
	// suspectIntervals without a frame make the path suspected: one heartbeat is lost and
	// the next one late.
	suspectIntervals = 2
	// lostIntervals without a frame make the path lost. They leave one interval more, in
	// which the check by a new link can succeed.
	lostIntervals = 3
	// pauseIntervals between two calls mean that this process was paused. Together with the
	// interval before a heartbeat that was about to arrive, this must stay within
	// lostIntervals, so that a pause too short to be detected loses no path.
	pauseIntervals = 2
	// graceIntervals is the time after a new link during which overdue answers don't make
	// the path suspected: requests sent on the old link are being resolved on the new one.
	graceIntervals = 1
	// stableIntervals is the time after a recovery within which another loss counts as
	// flapping.
	stableIntervals = 30
)

// Detector is the failure detector for the path to one peer. It is not safe for concurrent
// use.
type Detector struct {
	interval    clock.Millis
	random      *rand.Rand
	outstanding outstanding
	dial        dialSchedule

	// isConnected is true while a link is open. wasConnected is true if a link was open
	// since the start or the last ClosedIdle.
	isConnected  bool
	wasConnected bool
	// lastCall is the time of the last call of any method.
	lastCall clock.Millis
	// graceStart is the time of the last new link or of the end of this process's last
	// pause. Silence before it isn't counted.
	graceStart clock.Millis
	// lastReceived is when the last frame arrived. lastEcho is when this entry sent the
	// latest heartbeat that the peer has received, as the peer reported at echoedAt.
	lastReceived clock.Millis
	lastEcho     clock.Millis
	echoedAt     clock.Millis

	isLost      bool
	lostAt      clock.Millis
	recoveredAt clock.Millis
	relapses    int
	holdDown    clock.Millis
}

// New returns a detector for a peer to which no link was opened yet. The path is good until
// there is evidence against it: an entry that has just started knows nothing about its
// peers and must serve requests.
func New(c Config) *Detector {
	interval := max(c.HeartbeatInterval, 1)
	random := rand.New(rand.NewPCG(c.Seed, 0))
	return &Detector{
		interval:    interval,
		random:      random,
		dial:        dialSchedule{interval: interval, redialDelay: redialDelay(c, interval), random: random},
		outstanding: outstanding{due: make(map[uint64]clock.Millis)},
	}
}

func redialDelay(c Config, interval clock.Millis) clock.Millis {
	if c.RedialDelay > 0 {
		return c.RedialDelay
	}
	return interval
}

// Opened records that a link was opened and the handshake succeeded, so that both
// directions work.
func (d *Detector) Opened(now clock.Millis) {
	d.detectPause(now)
	d.isConnected, d.wasConnected = true, true
	d.graceStart, d.lastReceived, d.lastEcho, d.echoedAt = now, now, now, now
	d.dial.opened()
	d.outstanding.dropOverdue(now)
}

// Failed records that a link couldn't be opened or that the handshake failed.
func (d *Detector) Failed(now clock.Millis) {
	d.detectPause(now)
	d.dial.failed(now)
}

// Closed records that the open link broke. A new link is due immediately. Until it is
// opened or fails, the path is suspected.
func (d *Detector) Closed(now clock.Millis) {
	d.detectPause(now)
	d.isConnected = false
}

// ClosedIdle records that the entry closed the link because there were no requests. The
// silence that follows says nothing about the peer. If it counted, an entry would have lost
// the paths to all peers after hours without callers.
func (d *Detector) ClosedIdle(now clock.Millis) {
	d.detectPause(now)
	d.isConnected, d.wasConnected = false, false
}

// Received records that a frame arrived from the peer.
func (d *Detector) Received(now clock.Millis) {
	d.detectPause(now)
	d.lastReceived = now
}

// PingTimedOut records that a ping was not answered. The path is lost immediately.
func (d *Detector) PingTimedOut(now clock.Millis) {
	d.detectPause(now)
	if !d.isLost {
		d.markLost(now)
	}
}

// Echoed records that the peer receives frames of this entry. echo is the time, on this
// entry's clock, of the last heartbeat that the peer reports to have received.
func (d *Detector) Echoed(now, echo clock.Millis) {
	d.detectPause(now)
	d.echoedAt = now
	d.lastEcho = max(d.lastEcho, echo)
}

// Sent records that a request was sent whose answer is overdue after the time due.
func (d *Detector) Sent(now clock.Millis, id uint64, due clock.Millis) {
	d.detectPause(now)
	d.outstanding.add(id, due)
}

// Completed records that a request was answered or given up. It must be called for every
// request passed to Sent, which otherwise stays overdue.
func (d *Detector) Completed(now clock.Millis, id uint64) {
	d.detectPause(now)
	d.outstanding.remove(id)
	d.dial.resetChecks()
}

// State updates and returns the state of the path.
func (d *Detector) State(now clock.Millis) State {
	d.detectPause(now)
	switch {
	case !d.isLost && d.isUnreachable(now):
		d.markLost(now)
	case d.isLost && d.hasRecovered(now):
		d.isLost = false
		d.recoveredAt = now
	}
	switch {
	case d.isLost:
		return Lost
	case d.isSuspected(now):
		return Suspected
	default:
		return Good
	}
}

// ShouldDial reports whether the caller must open a link now and report the result by
// Opened or Failed. A dial is due immediately when a link is first needed, when the link
// broke and when the path becomes suspected, and then after increasing delays with jitter
// while the path doesn't recover.
func (d *Detector) ShouldDial(now clock.Millis) bool {
	lost := d.State(now) == Lost
	wanted := !d.isConnected || d.isSuspected(now) || (lost && !d.worksBothWays(now))
	return wanted && d.dial.tryStart(now, d.isConnected)
}

// detectPause detects that this process was paused. All peers then appear silent, because
// their frames are still unread. If all paths were lost at the same time, the entry would
// refuse every caller although only its own process has failed. Silence is therefore
// counted from the end of the pause.
func (d *Detector) detectPause(now clock.Millis) {
	if now-d.lastCall > pauseIntervals*d.interval {
		d.graceStart = max(d.graceStart, now)
	}
	d.lastCall = max(d.lastCall, now)
}

// silence returns the time without evidence that the peer sends frames or that it receives
// those of this entry, whichever is longer. If the path is cut only towards the peer, the
// peer's heartbeats still arrive, and only the missing echoes show the cut.
func (d *Detector) silence(now clock.Millis) clock.Millis {
	sinceReceived := now - max(d.lastReceived, d.graceStart)
	sinceEcho := d.echoedAt - max(d.lastEcho, d.graceStart)
	return max(sinceReceived, sinceEcho)
}

// isUnreachable reports whether the path counts as lost.
func (d *Detector) isUnreachable(now clock.Millis) bool {
	if !d.isConnected {
		return d.dial.failures > 0
	}
	silence := d.silence(now)
	return silence > lostIntervals*d.interval || (silence > suspectIntervals*d.interval && d.dial.failedAt > d.lastReceived)
}

// isSuspected reports whether the path needs a check. An overdue answer alone never makes a
// path lost while heartbeats arrive in both directions: the gate detects hung requests
// itself, and a fault that makes all upstreams hang would lose all paths.
func (d *Detector) isSuspected(now clock.Millis) bool {
	if !d.isConnected {
		return d.wasConnected
	}
	return d.silence(now) > suspectIntervals*d.interval ||
		(now > d.graceStart+graceIntervals*d.interval && d.outstanding.hasOverdue(now))
}

// markLost marks the path lost. A flapping path stays lost for at least a hold-down time
// that grows with each relapse, because each recovery costs the requests whose answers are
// cut off by the next loss.
func (d *Detector) markLost(now clock.Millis) {
	d.holdDown = 0
	if d.recoveredAt > 0 && now-d.recoveredAt <= stableIntervals*d.interval {
		d.relapses++
		d.holdDown = backoff(d.random, d.interval, min(d.relapses, holdDownDoublings))
	} else {
		d.relapses = 0
	}
	d.isLost = true
	d.lostAt = now
}

// hasRecovered reports whether a lost path works again and its hold-down time has passed.
func (d *Detector) hasRecovered(now clock.Millis) bool {
	return now-d.lostAt >= d.holdDown && d.worksBothWays(now)
}

// worksBothWays reports whether the path has worked in both directions since it was lost:
// a frame arrived, and the peer has received a frame of this entry.
func (d *Detector) worksBothWays(now clock.Millis) bool {
	return d.isConnected && d.lastReceived > d.lostAt && d.lastEcho > d.lostAt && d.silence(now) <= suspectIntervals*d.interval
}
