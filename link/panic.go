package link

import (
	"runtime/debug"

	"fuchsiapick.example/fuchsiapick/wire"
)

// PanicRecorder records panics that were recovered. Its method must not block.
type PanicRecorder interface {
	Record(part string, value any, stack []byte)
}

// panicPart names this part of a node for the PanicRecorder.
const panicPart = "link"

// recoverPanic must be deferred. It ends a panic of the goroutine, records it and calls after, if that
// isn't nil.
func recoverPanic(panics PanicRecorder, after func()) {
	value := recover()
	if value == nil {
		return
	}
	if panics != nil {
		panics.Record(panicPart, value, debug.Stack())
	}
	if after != nil {
		after()
	}
}

// handleFrame passes a message to handle. A panic closes the link, so that both sides settle what the
// message was about as after any other end of a link.
func (c *Conn) handleFrame(handle func(wire.Message), m wire.Message) {
	defer recoverPanic(c.panics, c.Close)
	handle(m)
}

// endDial lets the peer be dialled again after a panic during a dial.
func (p *Peer) endDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = false
}
