package link

import (
	"encoding/binary"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
)

// Ping asks the other side for a pong that carries the same instant.
func (c *Conn) Ping(at clock.Millis) error {
	payload := binary.AppendUvarint(nil, uint64(at))
	return errors.Trace(c.socket.WriteControl(websocket.PingMessage, payload, deadline(writeTimeout)))
}

// onPong sets what is called with the instant of each ping that is answered.
func (c *Conn) onPong(ponged func(at clock.Millis)) {
	c.socket.SetPongHandler(func(payload string) error {
		if at, n := binary.Uvarint([]byte(payload)); n > 0 {
			ponged(clock.Millis(at))
		}
		return nil
	})
}

// startProbe begins to check the path, as a message was sent that the peer will answer. The
// peer's lock is held.
func (p *Peer) startProbe(now clock.Millis) {
	p.probe.Sent(now)
	if !p.checkScheduled {
		p.checkScheduled = true
		time.AfterFunc(path.PingDelay.Duration(), p.checkProbe)
	}
}

// checkProbe pings the peer where something has been unanswered for too long, and takes the
// path for lost when the ping is, too.
func (p *Peer) checkProbe() {
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
		_ = conn.Ping(now) // one that can't be sent isn't answered
	case action == path.DeclareLost:
		p.updateState()
	}
}

// handlePong takes in that the peer has answered a ping: the path works both ways.
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

// updateState tells the watcher if the path's state has changed. Changes are told one after the
// other: overtaken by an older one, the newest would not stand.
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
