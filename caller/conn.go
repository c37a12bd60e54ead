// Package caller wraps callers' connections, so that an entry is notified when a caller
// disconnects during its request, and knows when a request arrived and when its answer was
// written. The HTTP library doesn't read from a connection while it handles a request on it.
package caller

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// maxReadAhead is the maximum number of bytes that a watch buffers of a connection's next
	// requests. A watch that reaches it ends: a caller that sends more isn't watched until
	// Read has returned the bytes.
	maxReadAhead = 64 << 10
	// readSize is the size of the buffer for one read, in bytes.
	readSize = 4 << 10
	// lingerTimeout bounds how long a connection lingers. An answer reaches the caller within a
	// round trip.
	lingerTimeout = 2 * clock.Second
	// arrivalResolution is the difference up to which bytes count as arrived at the same time,
	// that of the first. It bounds what a watch keeps of a caller that sends single bytes.
	arrivalResolution = 10 * clock.Millis(1)
)

// Listener wraps the connections that it accepts in Conn.
type Listener struct {
	net.Listener

	Now func() clock.Millis
}

// Accept waits for the next connection and returns it as a *Conn.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, now: l.Now}, nil
}

// Conn is the connection of a caller. Read must not be called during a watch.
type Conn struct {
	net.Conn

	now        func() clock.Millis
	buffered   []byte    // read by watches and not yet returned by Read
	arrivals   []arrival // of the bytes in buffered
	arrivedAt  clock.Millis
	err        error  // error that ended a watch; Read returns it after buffered
	readBuffer []byte // allocated by the first watch

	lingers bool // Close lingers

	mu      sync.Mutex // guards answers
	answers []answer   // whose writing hasn't been reported
}

// answer is one whose writing is to be reported.
type answer struct {
	observer  AnswerObserver
	isWritten bool // a part of it at least
	writtenAt clock.Millis
}

// AnswerObserver is notified once an answer has been written.
type AnswerObserver interface {
	// AnswerWritten gets the time at which the last part of the answer was written. It must
	// not block.
	AnswerWritten(at clock.Millis)
}

// arrival is when a number of bytes arrived.
type arrival struct {
	at    clock.Millis
	bytes int
}

// Read returns the bytes that watches have buffered, and then reads from the connection.
// It doesn't return bytes that arrived at different times together.
func (c *Conn) Read(p []byte) (int, error) {
	c.reportWritten()
	if len(c.buffered) > 0 {
		first := &c.arrivals[0]
		n := copy(p, c.buffered[:first.bytes])
		c.arrivedAt = first.at
		c.buffered = c.buffered[n:]
		if first.bytes -= n; first.bytes == 0 {
			c.arrivals = c.arrivals[1:]
		}
		return n, nil
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	c.arrivedAt = c.now()
	return n, err
}

// ArrivedAt returns when the bytes arrived that Read has returned last. For the server's
// handler, that is when the request had arrived in full, even if it was read together with
// an earlier one.
func (c *Conn) ArrivedAt() clock.Millis {
	return c.arrivedAt
}

// Write writes a part of an answer, or several answers.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.answers {
		c.answers[i].isWritten, c.answers[i].writtenAt = true, c.now()
	}
	return n, err
}

// OnWritten notifies the observer once the answer to the current request has been written. The
// server's handler calls OnWritten before it returns. An answer whose writing failed is reported,
// too; one of which nothing was written isn't.
func (c *Conn) OnWritten(observer AnswerObserver) {
	c.reportWritten()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, answer{observer: observer})
}

// reportWritten reports the answers that have been written. Their writing has ended, as the
// server goes on to the next request or closes the connection.
func (c *Conn) reportWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = slices.DeleteFunc(c.answers, func(a answer) bool {
		if a.isWritten {
			a.observer.AnswerWritten(a.writtenAt)
		}
		return a.isWritten
	})
}

// Linger makes Close read and drop what the caller still sends, for a while. A connection that is
// closed with unread bytes is reset, and the reset may overtake the answer. The server's handler
// calls Linger before it returns.
func (c *Conn) Linger() {
	c.lingers = true
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.reportWritten()
	conn, ok := c.Conn.(*net.TCPConn)
	if !c.lingers || !ok {
		return c.Conn.Close()
	}
	c.lingers = false
	go drain(conn)
	return nil
}

// drain ends the answers on a connection, and closes it when the caller has ended its requests or
// lingerTimeout is over.
func drain(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }() // the caller has its answer, or has gone
	if conn.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(lingerTimeout.Duration())) != nil {
		return
	}
	_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{conn}, make([]byte, readSize))
}

// Watch reads ahead in a goroutine until the connection ends, and then calls gone. If the
// connection has already ended, it calls gone immediately. Stop ends the watch and returns
// after the last read.
func (c *Conn) Watch(gone func()) (stop func()) {
	if c.err != nil {
		gone()
		return func() {}
	}
	// The HTTP library's read deadline for this request would end the watch. A later
	// disconnect of the caller would go unnoticed, and an upstream would keep working on
	// the request. The error needs no check: on a closed connection the read fails too.
	_ = c.SetReadDeadline(time.Time{})
	var wg sync.WaitGroup
	wg.Go(func() { c.readAhead(gone) })
	return func() {
		// A deadline in the past ends the read in progress.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		wg.Wait()
		_ = c.SetReadDeadline(time.Time{})
	}
}

// readAhead buffers bytes until stop sets a deadline, the buffer reaches maxReadAhead or the
// connection fails. It calls gone if the connection fails.
func (c *Conn) readAhead(gone func()) {
	if c.readBuffer == nil {
		c.readBuffer = make([]byte, readSize)
	}
	for c.err == nil && len(c.buffered) < maxReadAhead {
		n, err := c.Conn.Read(c.readBuffer)
		c.buffer(c.readBuffer[:n])
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return // the watch was stopped
		}
		if err != nil {
			c.err = err
			gone()
		}
	}
}

// buffer keeps bytes that have arrived now until Read returns them.
func (c *Conn) buffer(p []byte) {
	if len(p) == 0 {
		return
	}
	c.buffered = append(c.buffered, p...)
	now, last := c.now(), len(c.arrivals)-1
	if last >= 0 && now-c.arrivals[last].at <= arrivalResolution {
		c.arrivals[last].bytes += len(p)
		return
	}
	c.arrivals = append(c.arrivals, arrival{at: now, bytes: len(p)})
}
