package path

import "fuchsiapick.example/fuchsiapick/clock"

const (
	// PingDelay is how long a message may stay unanswered before the path is checked
	// by a ping. What a gate refuses is answered within a round trip or two.
	PingDelay = 50 * clock.Millis(1)
	// PingTimeout is how long the answer to a ping may take: a lost packet is sent
	// again after some 200 ms.
	PingTimeout = 300 * clock.Millis(1)
	// maxCheckDelay is how late a check may come. One that is later shows that this
	// process was paused, with the answer unread.
	maxCheckDelay = 100 * clock.Millis(1)
)

// Action is what a check of a Probe asks for.
type Action uint8

// The values of Action.
const (
	// NoAction means that nothing is to be checked.
	NoAction Action = iota
	// Wait means to check again later.
	Wait
	// Ping means to send a ping, and to check again later.
	Ping
	// DeclareLost means that the ping was not answered: the path is lost.
	DeclareLost
)

// Probe finds a path that is cut sooner than missing heartbeats do, by a ping while a
// message is unanswered. The zero value is ready. It is not safe for concurrent use.
type Probe struct {
	// firstUnanswered is when the first message was sent of those that the peer isn't known to
	// have got, 0 without one; last is when the latest of them was.
	firstUnanswered, lastSent clock.Millis
	pingSentAt                clock.Millis // 0 without a ping under way
	checkDue                  clock.Millis
}

// Sent tells that a message was sent that the peer will answer.
func (p *Probe) Sent(now clock.Millis) {
	if p.firstUnanswered == 0 {
		p.firstUnanswered = now
	}
	p.lastSent = now
}

// Answered tells that the peer has answered what was sent at an instant.
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

// Check returns what to do now, and in what span to check again unless that is Rest or
// Stall.
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

func (p *Probe) wait(now, until clock.Millis) (Action, clock.Millis) {
	p.checkDue = until
	return Wait, until - now
}
