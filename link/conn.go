// Package link carries messages between nodes over WebSocket.
//
// The entry of one node dials the server of another, behind which its gates are. Before
// any other frame is read, both sides prove that they hold the shared secret.
package link

import (
	"bytes"
	"net"
	"sync"

	"github.com/fasthttp/websocket"
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/freshness"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Errors of a link.
const (
	ErrClosed    = errors.ConstError("link is closed")
	ErrBusy      = errors.ConstError("send queue of the link is full")
	ErrProof     = errors.ConstError("peer failed to prove the shared secret")
	ErrFormat    = errors.ConstError("peer uses another message format")
	ErrWrongPeer = errors.ConstError("peer is not the node that was dialled")
	// ErrKind means that the peer's release is older than the kind of the message.
	ErrKind = errors.ConstError("peer doesn't accept this kind of message")
)

const (
	// queueLength bounds the frames that wait to be written. If a peer stops reading, the
	// queue takes a bounded amount of memory, and further requests are refused immediately
	// rather than delayed.
	queueLength = 1024
	// writeTimeout bounds the write of a frame. A link whose peer has stopped reading is
	// closed after it.
	writeTimeout = 5 * clock.Second
	// handshakeTimeout bounds a dial including the handshake.
	handshakeTimeout = 2 * clock.Second
	bufferSize       = 16 << 10
)

// Conn is one open link. It is safe for concurrent use.
type Conn struct {
	socket *websocket.Conn
	frames chan *bytes.Buffer // a nil frame ends the link
	input  bytes.Buffer       // used only by the reading goroutine
	closed chan struct{}
	once   sync.Once
	limit  int
	panics PanicRecorder // set before the first read; may be nil
	// lastKind is the highest kind of message that the peer accepts.
	lastKind wire.Kind
	// peerClock is that of the process at the other end. answeredAt is when a heartbeat of the peer was
	// last answered, hasAnswered whether one was. Only the reading goroutine uses them.
	peerClock   freshness.PeerClock
	answeredAt  clock.Millis
	hasAnswered bool
}

// answerInterval is the time between two heartbeats of a peer that are answered immediately. An echo in
// a regular heartbeat may be as old as the interval of these, and what an earlier answer has shown of
// the clocks gets less exact as they drift.
const answerInterval = 30 * clock.Second

// mustAnswer reports whether a heartbeat of the peer that has arrived now is to be answered, so that the
// peer gets an echo without delay. Both ends do so, and the answer to an answer ends it.
func (c *Conn) mustAnswer(now clock.Millis) bool {
	if c.hasAnswered && now-c.answeredAt < answerInterval {
		return false
	}
	c.answeredAt, c.hasAnswered = now, true
	return true
}

func newConn(socket *websocket.Conn, limit int, lastKind wire.Kind) *Conn {
	socket.SetReadLimit(int64(limit))
	return &Conn{
		lastKind: lastKind,
		socket:   socket,
		frames:   make(chan *bytes.Buffer, queueLength),
		closed:   make(chan struct{}),
		limit:    limit,
	}
}

// Accepts reports whether the peer accepts a kind of message.
func (c *Conn) Accepts(k wire.Kind) bool {
	return k <= c.lastKind
}

// Send queues a message. It never blocks: it returns ErrBusy if the queue is full, ErrClosed on
// a closed link and ErrKind if the peer doesn't accept the message. A nil error doesn't
// guarantee that the message arrives.
func (c *Conn) Send(m wire.Message) error {
	if !c.Accepts(m.Kind()) {
		return ErrKind
	}
	select {
	case <-c.closed:
		return ErrClosed
	default:
	}
	frame := buffers.Get()
	if err := wire.EncodeTo(frame, m); err != nil {
		return errors.Trace(err)
	}
	select {
	case c.frames <- frame:
		return nil
	default:
		buffers.Put(frame)
		return ErrBusy
	}
}

// buffers is the pool of frame buffers of all links.
var buffers bufferPool

type bufferPool struct {
	pool sync.Pool
}

// maxPooledBuffer is the maximum capacity in bytes of a buffer that is kept for reuse, so
// that a rare large body doesn't occupy memory permanently.
const maxPooledBuffer = 128 << 10

// Get returns an empty buffer.
func (p *bufferPool) Get() *bytes.Buffer {
	if b, ok := p.pool.Get().(*bytes.Buffer); ok {
		b.Reset()
		return b
	}
	return new(bytes.Buffer)
}

// Put returns a buffer to the pool.
func (p *bufferPool) Put(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		p.pool.Put(b)
	}
}

// Close closes the link. Frames that are not yet written are dropped.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.socket.Close()
	})
}

// Finish closes the link on purpose, after the frames in its queue: the peer learns that nothing is
// left to be answered. It doesn't wait.
func (c *Conn) Finish() {
	select {
	case c.frames <- nil:
	default:
		c.Close() // the peer has stopped reading
	}
}

// isFinished reports whether an error of read means that the peer has finished the link.
func isFinished(err error) bool {
	return websocket.IsCloseError(errors.Cause(err), websocket.CloseNormalClosure)
}

// Done returns a channel that is closed when the link is closed.
func (c *Conn) Done() <-chan struct{} {
	return c.closed
}

// write writes queued frames until the link is closed.
func (c *Conn) write() {
	defer c.Close()
	defer recoverPanic(c.panics, nil)
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.frames:
			if frame == nil {
				reason := websocket.FormatCloseMessage(websocket.CloseNormalClosure, "")
				_ = c.socket.WriteControl(websocket.CloseMessage, reason, deadline(writeTimeout)) // the link closes in either case
				return
			}
			err := c.writeFrame(frame.Bytes())
			buffers.Put(frame)
			if err != nil {
				return
			}
		}
	}
}

func (c *Conn) writeFrame(frame []byte) error {
	if err := c.socket.SetWriteDeadline(deadline(writeTimeout)); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.socket.WriteMessage(websocket.BinaryMessage, frame))
}

// read passes messages to handle until the link is closed or the peer sends a malformed
// frame. The error is never nil.
func (c *Conn) read(handle func(wire.Message)) error {
	defer c.Close()
	for {
		m, err := c.receive()
		if err != nil {
			return errors.Trace(err)
		}
		c.handleFrame(handle, m)
	}
}

func (c *Conn) receive() (wire.Message, error) {
	kind, reader, err := c.socket.NextReader()
	if err != nil {
		return nil, errors.Annotate(err, "waiting for a frame")
	}
	if c.input.Cap() > maxPooledBuffer {
		c.input = bytes.Buffer{}
	}
	c.input.Reset()
	if _, err := c.input.ReadFrom(reader); err != nil {
		return nil, errors.Annotate(err, "reading a frame")
	}
	if kind != websocket.BinaryMessage {
		return nil, errors.Annotate(wire.ErrFrame, "WebSocket message is not binary")
	}
	m, err := wire.Decode(c.input.Bytes(), c.limit) // copies, so that the buffer can be reused
	return m, errors.Trace(err)
}

// writeMessage writes a message directly, without the queue.
func (c *Conn) writeMessage(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return errors.Trace(err)
	}
	return c.writeFrame(frame)
}

// Remote returns the address of the other side, for logs.
func (c *Conn) Remote() net.Addr {
	return c.socket.RemoteAddr()
}
