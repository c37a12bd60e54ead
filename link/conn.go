// Package link carries messages between nodes over WebSocket.
//
// The entry of one node dials the gate side of another. A link proves a shared
// secret both ways before any other frame is read.
package link

import (
	"bytes"
	"net"
	"sync"

	"github.com/fasthttp/websocket"
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Faults of a link.
const (
	ErrClosed    = errors.ConstError("link is closed")
	ErrBusy      = errors.ConstError("link's queue is full")
	ErrProof     = errors.ConstError("peer doesn't prove the shared secret")
	ErrFormat    = errors.ConstError("peer speaks another format")
	ErrWrongPeer = errors.ConstError("peer is another node than the one dialled")
)

const (
	// queueLength bounds the frames that wait to be written: a peer that reads
	// nothing must cost a bounded amount of memory, and its callers a refusal
	// at once in place of a wait.
	queueLength = 1024
	// writeTimeout ends a link whose peer has stopped reading.
	writeTimeout = 5 * clock.Second
	// handshakeTimeout bounds a dial with its proofs.
	handshakeTimeout = 2 * clock.Second
	bufferSize       = 16 << 10
)

// Conn is one open link. It is safe for concurrent use.
type Conn struct {
	socket *websocket.Conn
	frames chan *bytes.Buffer
	input  bytes.Buffer // of the one goroutine that reads
	closed chan struct{}
	once   sync.Once
	limit  int
}

func newConn(socket *websocket.Conn, limit int) *Conn {
	socket.SetReadLimit(int64(limit))
	return &Conn{
		socket: socket,
		frames: make(chan *bytes.Buffer, queueLength),
		closed: make(chan struct{}),
		limit:  limit,
	}
}

// Send queues a message. It never blocks: it returns ErrBusy when the queue is
// full and ErrClosed on a closed link. After nil the message may arrive.
func (c *Conn) Send(m wire.Message) error {
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

// buffers holds the memory of frames that were written.
var buffers bufferPool

type bufferPool struct {
	pool sync.Pool
}

// maxPooledBuffer bounds what the pool keeps of one frame: a rare large body must
// not stay in memory for good.
const maxPooledBuffer = 128 << 10

// Get returns an empty buffer.
func (p *bufferPool) Get() *bytes.Buffer {
	if b, ok := p.pool.Get().(*bytes.Buffer); ok {
		b.Reset()
		return b
	}
	return new(bytes.Buffer)
}

// Put gives a buffer back.
func (p *bufferPool) Put(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		p.pool.Put(b)
	}
}

// Close ends the link. Frames not yet written are dropped.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.socket.Close()
	})
}

// Done is closed when the link is.
func (c *Conn) Done() <-chan struct{} {
	return c.closed
}

func (c *Conn) write() {
	defer c.Close()
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.frames:
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

// read hands on messages until the link ends or the peer breaks the format.
func (c *Conn) read(handle func(wire.Message)) error {
	defer c.Close()
	for {
		m, err := c.receive()
		if err != nil {
			return errors.Trace(err)
		}
		handle(m)
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
		return nil, errors.Annotate(wire.ErrFrame, "not a binary message")
	}
	m, err := wire.Decode(c.input.Bytes(), c.limit) // copies what it keeps
	return m, errors.Trace(err)
}

func (c *Conn) writeMessage(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return errors.Trace(err)
	}
	return c.writeFrame(frame)
}

// Remote is the address of the other side, for logs.
func (c *Conn) Remote() net.Addr {
	return c.socket.RemoteAddr()
}
