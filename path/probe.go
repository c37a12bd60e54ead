package path

import "fuchsiapick.example/fuchsiapick/clock"

const (
	// PingDelay is how long a message may stay unanswered before a ping checks the path. A
	// gate's refusals arrive within one or two round trips.
	PingDelay = 50 * clock.Millis(1)
	// PingTimeout is how long the answer to a ping may take. It leaves time for the
	// retransmission of a lost packet, which takes about 200 ms.
	PingTimeout = 300 * clock.Millis(1)
	// maxCheckDelay is how late a check may run. A later check shows that this process was
	// paused, so that the answer may be unread.
	maxCheckDelay = 100 * clock.Millis(1)
)

// Action is what the caller of Probe.Check must do.
type Action uint8

// The values of Action.
const (
	// NoAction means that no further check is needed.
	NoAction Action = iota
	// Wait means to check again later.
	Wait
	// Ping means to send a ping, and to check again later.
	Ping
	// DeclareLost means that the ping was not answered, so that the path is lost.
	DeclareLost
)

// Probe detects a cut path sooner than missing heartbeats do, by a ping while a message is
// unanswered. The zero value is ready to use. A Probe is not safe for concurrent use.
type Probe struct {
	// firstUnanswered is when the first message was sent that the peer is not known to have
	// received, or 0 if there is none. lastSent is when the last message was sent.
	firstUnanswered, lastSent clock.Millis
	pingSentAt                clock.Millis // 0 if no ping is unanswered
	checkDue                  clock.Millis // when the next check is due
}

// Sent records that a message was sent that the peer answers.
func (p *Probe) Sent(now clock.Millis) {
	if p.firstUnanswered == 0 {
		p.firstUnanswered = now
	}
	p.lastSent = now
}

// Answered records that the peer has answered a message or ping that was sent at the time
// sent.
func (p *Probe) Answered(sent clock.Millis) {
	if sent >= p.pingSentAt {
		p.pingSentAt = 0
	}
	switch {
	case sent >= p.lastSent:
		p.firstUnanswered = 0
	case sent >= p.firstUnanswered && p.firstUnanswered > 0:
		p.firstUnanswered = p.lastSent
	}
}

// Check returns the action to take now and, for Wait and Ping, the delay until the next
// call of Check.
func (p *Probe) Check(now clock.Millis) (Action, clock.Millis) {
	isLate := p.pingSentAt > 0 && now-p.checkDue > maxCheckDelay
	switch {
	case p.firstUnanswered == 0:
		*p = Probe{}
		return NoAction, 0
	case p.pingSentAt == 0 && now < p.firstUnanswered+PingDelay:
		return p.wait(now, p.firstUnanswered+PingDelay)
	case p.pingSentAt == 0, isLate:
		p.pingSentAt, p.checkDue = now, now+PingTimeout
		return Ping, PingTimeout
	case now < p.pingSentAt+PingTimeout:
		return p.wait(now, p.pingSentAt+PingTimeout)
	default:
		*p = Probe{}
		return DeclareLost, 0
	}
}

// wait returns the result of a Check that is followed by another one at the time until.
func (p *Probe) wait(now, until clock.Millis) (Action, clock.Millis) {
	p.checkDue = until
	return Wait, until - now
}
