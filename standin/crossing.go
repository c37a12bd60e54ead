package standin

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/juju/errors"
)

// relayBuffer is how many bytes a direction reads at once.
const relayBuffer = 32 << 10

// relayConn is one connection through the relay.
type relayConn struct {
	client, target net.Conn
	discards       bool // guarded by the relay's lock
}

// relay carries one connection until both ways have ended.
func (r *Relay) relay(ctx context.Context, near net.Conn) {
	defer r.wg.Done()
	c := &relayConn{client: near}
	if !r.connect(ctx, c) {
		c.reset()
		return
	}
	defer r.remove(c)
	var ways sync.WaitGroup
	ways.Add(2)
	go func() {
		defer ways.Done()
		r.pump(&direction{conn: c, from: c.client, to: c.target, drop: DropToTarget})
	}()
	go func() {
		defer ways.Done()
		r.pump(&direction{conn: c, from: c.target, to: c.client, drop: DropFromTarget})
	}()
	ways.Wait()
}

// connect dials the target once the relay isn't frozen.
func (r *Relay) connect(ctx context.Context, c *relayConn) bool {
	if !r.waitUnfrozen() {
		return false
	}
	far, err := r.dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return false
	}
	c.target = far
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.mode == Refuse {
		return false
	}
	r.conns[c] = struct{}{}
	r.stats.Opened++
	r.statsChanged.notify()
	return true
}

// waitUnfrozen waits while the relay is frozen, and tells whether it still relays.
func (r *Relay) waitUnfrozen() bool {
	for {
		r.mu.Lock()
		mode, closed, changed := r.mode, r.closed, r.changed.wait()
		r.mu.Unlock()
		if closed || mode == Refuse {
			return false
		}
		if mode != Freeze {
			return true
		}
		<-changed
	}
}

func (r *Relay) remove(c *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	closeQuietly(c.client)
	closeQuietly(c.target)
}

// direction is one direction of a crossing.
type direction struct {
	conn     *relayConn
	from, to net.Conn
	drop     RelayMode // the mode that loses this way's bytes
	lost     bool      // bytes were lost, and all later ones are
}

// pump carries one way until it ends.
func (r *Relay) pump(w *direction) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := w.from.Read(buffer)
		if !r.holdWhileFrozen() {
			return
		}
		w.lost = w.lost || r.isDropping(w)
		if !w.lost && n > 0 {
			_, failed := w.to.Write(buffer[:n])
			if failed != nil {
				w.conn.reset()
				return
			}
		}
		r.count(w.lost, n)
		if err != nil {
			w.propagateClose(err)
			return
		}
	}
}

// holdWhileFrozen holds what was read until the relay isn't frozen, and tells whether
// it still relays.
func (r *Relay) holdWhileFrozen() bool {
	r.mu.Lock()
	if r.mode == Freeze {
		r.stats.Held++
		r.statsChanged.notify()
	}
	r.mu.Unlock()
	return r.waitUnfrozen()
}

// isDropping tells whether bytes of the way are lost now.
func (r *Relay) isDropping(w *direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.conn.discards || r.mode == w.drop
}

func (r *Relay) count(lost bool, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lost {
		r.stats.Lost += uint64(bytes)
	} else {
		r.stats.Passed += uint64(bytes)
	}
	r.statsChanged.notify()
}

// propagateClose hands on the end of the way: a close as a close, a reset as a reset.
// An end that is lost isn't handed on, so that the receiver sees silence.
func (w *direction) propagateClose(err error) {
	if w.lost {
		return
	}
	tcp, ok := w.to.(*net.TCPConn)
	if !errors.Is(err, io.EOF) || !ok {
		w.conn.reset()
		return
	}
	_ = tcp.CloseWrite()
}

func (c *relayConn) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if conn != nil {
			reset(conn)
		}
	}
}
