// Package caller wraps callers' connections, so that an entry is notified when a caller
// disconnects during its request. The HTTP library doesn't read from a connection while it
// handles a request on it.
package caller

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// maxReadAhead is the maximum number of bytes that a watch buffers of a connection's next
	// requests. A watch that reaches it ends: a caller that sends more isn't watched until
	// Read has returned the bytes.
	maxReadAhead = 64 << 10
	// readSize is the size of the buffer for one read, in bytes.
	readSize = 4 << 10
)

// Listener wraps the connections that it accepts in Conn.
type Listener struct {
	net.Listener
}

// Accept waits for the next connection and returns it as a *Conn.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Conn is the connection of a caller. Read must not be called during a watch.
type Conn struct {
	net.Conn

	buffered   []byte // read by watches and not yet returned by Read
	err        error  // error that ended a watch; Read returns it after buffered
	readBuffer []byte // allocated by the first watch
}

// Read returns the bytes that watches have buffered, and then reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(p)
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
		c.buffered = append(c.buffered, c.readBuffer[:n]...)
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
