package link

import (
	"encoding/binary"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
)

// Ping sends a ping that carries a time of this node's clock, which the pong returns.
func (c *Conn) Ping(at clock.Millis) error {
	payload := binary.AppendUvarint(nil, uint64(at))
	return errors.Trace(c.socket.WriteControl(websocket.PingMessage, payload, deadline(writeTimeout)))
}

// onPong sets the function that is called with the time that each pong carries.
func (c *Conn) onPong(handle func(at clock.Millis)) {
	c.socket.SetPongHandler(func(payload string) error {
		if at, n := binary.Uvarint([]byte(payload)); n > 0 {
			handle(clock.Millis(at))
		}
		return nil
	})
}

// startProbe records that a message was sent that the peer answers, and schedules a check
// of the path. The caller holds the peer's lock.
func (p *Peer) startProbe(now clock.Millis) {
	p.probe.Sent(now)
	if !p.checkScheduled {
		p.checkScheduled = true
		time.AfterFunc(path.PingDelay.Duration(), p.checkProbe)
	}
}

// checkProbe pings the peer if a message has been unanswered for too long, and declares the
// path lost if the ping is not answered either.
func (p *Peer) checkProbe() {
	defer recoverPanic(p.shared().Panics, nil)
	p.mu.Lock()
	now := p.config.Now()
	action, after := p.probe.Check(now)
	p.checkScheduled = after > 0
	if p.checkScheduled {
		time.AfterFunc(after.Duration(), p.checkProbe)
	}
	conn := p.conn
	if action == path.DeclareLost && conn != nil {
		p.detector.PingTimedOut(now)
	}
	p.mu.Unlock()
	switch {
	case conn == nil:
	case action == path.Ping:
		_ = conn.Ping(now) // a ping that couldn't be sent counts as unanswered
	case action == path.DeclareLost:
		p.updateState()
	}
}

// handlePong records that the peer has answered a ping, so that the path works in both
// directions.
func (p *Peer) handlePong(at clock.Millis) {
	now := p.config.Now()
	p.mu.Lock()
	p.probe.Answered(at)
	p.detector.Received(now)
	p.detector.Echoed(now, now)
	isLost := p.state == path.Lost
	p.mu.Unlock()
	if isLost {
		p.updateState()
	}
}

// updateState determines the path's state, notifies the observer if it has changed, and
// returns it. notifyMu keeps the notifications in order: if an older one overtook the
// latest, the observer would keep an outdated state.
func (p *Peer) updateState() path.State {
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.mu.Lock()
	state := p.detector.State(p.config.Now())
	changed := state != p.state
	p.state = state
	p.mu.Unlock()
	if changed {
		p.pathChanged(state)
	}
	return state
}
