// Package caller wraps callers' connections, so that an entry learns of a
// caller that leaves while its request is under way. The HTTP library reads
// nothing of a connection while it handles a request on it.
package caller

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// maxReadAhead bounds, in bytes, what is read ahead of a connection's next
	// requests. A caller that sends more isn't watched until they are read.
	maxReadAhead = 64 << 10
	// readSize is what one read asks for.
	readSize = 4 << 10
)

// Listener hands out watched connections.
type Listener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Conn is one connection of a caller. Reads and watches must not overlap.
type Conn struct {
	net.Conn

	// buffered was read while a request was handled, err ended that.
	buffered   []byte
	err        error
	readBuffer []byte // what a watch reads into
}

// Read returns what was read ahead, then reads the connection.
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

// Watch reads ahead until the connection ends, and then calls gone; at once if it
// has ended before. Stop ends the watch; it waits until the reads are over.
func (c *Conn) Watch(gone func()) (stop func()) {
	if c.err != nil {
		gone()
		return func() {}
	}
	// The HTTP library's bound on reading this request would end the watch: a caller that
	// left later went unnoticed, and an upstream worked on for nobody.
	_ = c.SetReadDeadline(time.Time{}) // one that is closed fails the read, too
	var group sync.WaitGroup
	group.Go(func() { c.readAhead(gone) })
	return func() {
		// A deadline in the past ends the read that is under way.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		group.Wait()
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *Conn) readAhead(gone func()) {
	if c.readBuffer == nil {
		c.readBuffer = make([]byte, readSize)
	}
	for c.err == nil && len(c.buffered) < maxReadAhead {
		n, err := c.Conn.Read(c.readBuffer)
		c.buffered = append(c.buffered, c.readBuffer[:n]...)
		var network net.Error
		if errors.As(err, &network) && network.Timeout() {
			return // the watch was stopped
		}
		if err != nil {
			c.err = err
			gone()
		}
	}
}
