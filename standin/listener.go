// Package standin holds small stand-ins for what a node talks to: the
// platform's configuration service, a backend server, and a TCP relay that
// breaks connections. Tests, sessions and the demo use them; a node never does.
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

// listener hands out connections that report when the other end is gone, and
// closes them all when the stand-in ends.
type listener struct {
	net.Listener
	mu     sync.Mutex
	open   map[*watchedConn]struct{}
	closed bool
	served sync.WaitGroup
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
		conn := &watchedConn{Conn: raw, owner: l, gone: make(chan struct{})}
		if l.add(conn) {
			return conn, nil
		}
		closeQuietly(raw)
	}
}

func (l *listener) add(conn *watchedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.open[conn] = struct{}{}
	l.served.Add(1)
	return true
}

func (l *listener) remove(conn *watchedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.open[conn]; ok {
		delete(l.open, conn)
		l.served.Done()
	}
}

// closeAll closes the listener and then every connection, so that who sees its connection
// break off finds nothing at the address, and waits until the server has let go of the
// last one.
func (l *listener) closeAll() {
	closeQuietly(l.Listener)
	l.mu.Lock()
	l.closed = true
	for conn := range l.open {
		conn.abort()
	}
	l.mu.Unlock()
	l.served.Wait()
}

// watchedConn tells a handler that the other end closed the connection while
// the request was being served; fasthttp itself reads nothing until the answer
// is written, so that a cancelled request would run to its end unseen.
type watchedConn struct {
	net.Conn
	owner *listener

	mu       sync.Mutex
	buffered []byte        // byte of a next request, read while watching
	gone     chan struct{} // closed when the other end is known to be gone
	isGone   bool
}

// Read returns the byte that a watch took before it reads on.
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

// Close is called by the server when it is done with the connection.
func (c *watchedConn) Close() error {
	c.owner.remove(c)
	return c.Conn.Close()
}

// abort closes the connection with a reset, without an answer.
func (c *watchedConn) abort() {
	reset(c.Conn)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	closeQuietly(conn)
}

// watch reports on the returned channel when the other end goes. The handler
// calls stop before it returns, so that the server reads the next request.
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

func (c *watchedConn) recordRead(read []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered = append(c.buffered, read...)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !c.isGone {
		c.isGone = true
		close(c.gone)
	}
}

func connOf(ctx *fasthttp.RequestCtx) (*watchedConn, bool) {
	conn, ok := ctx.Conn().(*watchedConn)
	return conn, ok
}

func closeQuietly(c interface{ Close() error }) {
	_ = c.Close()
}
