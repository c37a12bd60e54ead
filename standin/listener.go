// Package standin holds small stand-ins for the services that a node talks to: the
// platform's configuration service and a backend server. It also has a TCP relay that
// injects network faults. Tests, sessions and the demo use the stand-ins; a node never does.
package standin

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// listener accepts connections as watchedConns and closes them all when the stand-in stops.
type listener struct {
	net.Listener
	mu        sync.Mutex
	open      map[*watchedConn]struct{}
	closed    bool
	openConns sync.WaitGroup
}

func listen(ctx context.Context, address string) (*listener, error) {
	var config net.ListenConfig
	ln, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s", address)
	}
	return &listener{Listener: ln, open: make(map[*watchedConn]struct{})}, nil
}

// Accept returns a *watchedConn.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &watchedConn{Conn: raw, listener: l, gone: make(chan struct{})}
		if l.add(conn) {
			return conn, nil
		}
		closeQuietly(raw)
	}
}

// add registers an accepted connection. It returns false if the listener is closed.
func (l *listener) add(conn *watchedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.open[conn] = struct{}{}
	l.openConns.Add(1)
	return true
}

func (l *listener) remove(conn *watchedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.open[conn]; ok {
		delete(l.open, conn)
		l.openConns.Done()
	}
}

// closeAll closes the listener and then every connection, so that a peer whose connection
// breaks finds nothing listening at the address. It returns once the server has closed the
// last connection.
func (l *listener) closeAll() {
	closeQuietly(l.Listener)
	l.mu.Lock()
	l.closed = true
	for conn := range l.open {
		conn.abort()
	}
	l.mu.Unlock()
	l.openConns.Wait()
}

// watchedConn notifies a handler when the peer closes the connection while the handler
// serves a request. Without it a cancelled request would run to its end, since fasthttp
// reads nothing until the answer is written.
type watchedConn struct {
	net.Conn
	listener *listener

	mu       sync.Mutex
	buffered []byte        // byte of the next request, read by a watch
	gone     chan struct{} // closed once the peer has gone
	isGone   bool
}

// Read returns the bytes that a watch has read, and then reads from the connection.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.buffered) > 0 && len(p) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// Close closes the connection; the server calls it after the last request.
func (c *watchedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// abort resets the connection, so that the peer gets no answer.
func (c *watchedConn) abort() {
	reset(c.Conn)
}

// reset closes a TCP connection with a reset instead of an orderly close.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	closeQuietly(conn)
}

// watch reads ahead to detect when the peer closes the connection; the channel gone closes
// then. The handler must call stop before it returns, so that the server can read the next
// request.
func (c *watchedConn) watch() (gone <-chan struct{}, stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var one [1]byte
		n, err := c.Conn.Read(one[:])
		c.recordRead(one[:n], err)
	}()
	return c.gone, func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// recordRead buffers the byte that a watch has read, and closes the channel gone on an error
// that isn't the deadline set by stop.
func (c *watchedConn) recordRead(read []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered = append(c.buffered, read...)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !c.isGone {
		c.isGone = true
		close(c.gone)
	}
}

// connOf returns the connection of a request, and false if it isn't a watchedConn.
func connOf(ctx *fasthttp.RequestCtx) (*watchedConn, bool) {
	conn, ok := ctx.Conn().(*watchedConn)
	return conn, ok
}

func closeQuietly(c interface{ Close() error }) {
	_ = c.Close()
}
