package standin

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/juju/errors"
)

// relayBufferSize is the maximum number of bytes in one read.
const relayBufferSize = 32 << 10

// relayConn is one connection through the relay.
type relayConn struct {
	client, target net.Conn
	discards       bool // whether all bytes are dropped; guarded by the relay's lock
}

// relay relays one connection until both directions have ended.
func (r *Relay) relay(ctx context.Context, client net.Conn) {
	defer r.wg.Done()
	c := &relayConn{client: client}
	if !r.connect(ctx, c) {
		c.reset()
		return
	}
	defer r.remove(c)
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		r.forward(&direction{conn: c, from: c.client, to: c.target, dropMode: DropToTarget})
	}()
	go func() {
		defer directions.Done()
		r.forward(&direction{conn: c, from: c.target, to: c.client, dropMode: DropFromTarget})
	}()
	directions.Wait()
}

// connect dials the target once the relay isn't frozen. It returns false if the dial fails
// or the relay closes or refuses connections.
func (r *Relay) connect(ctx context.Context, c *relayConn) bool {
	if !r.waitUnfrozen() {
		return false
	}
	target, err := r.dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return false
	}
	c.target = target
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

// waitUnfrozen waits while the relay is frozen. It returns false if the relay closes or
// refuses connections.
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

// remove closes both ends of the connection.
func (r *Relay) remove(c *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	closeQuietly(c.client)
	closeQuietly(c.target)
}

// direction is one direction of a relayed connection.
type direction struct {
	conn     *relayConn
	from, to net.Conn
	dropMode RelayMode // the mode that drops bytes of this direction
	lost     bool      // bytes were dropped, so all later ones are too
}

// forward copies the bytes of one direction until it ends.
func (r *Relay) forward(d *direction) {
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := d.from.Read(buffer)
		if !r.holdWhileFrozen() {
			return
		}
		d.lost = d.lost || r.isDropping(d)
		if !d.lost && n > 0 {
			_, writeErr := d.to.Write(buffer[:n])
			if writeErr != nil {
				d.conn.reset()
				return
			}
		}
		r.countBytes(d.lost, n)
		if err != nil {
			d.propagateClose(err)
			return
		}
	}
}

// holdWhileFrozen waits after a read while the relay is frozen. It returns false if the
// relay closes or refuses connections.
func (r *Relay) holdWhileFrozen() bool {
	r.mu.Lock()
	if r.mode == Freeze {
		r.stats.Held++
		r.statsChanged.notify()
	}
	r.mu.Unlock()
	return r.waitUnfrozen()
}

// isDropping reports whether the current mode drops bytes of the direction.
func (r *Relay) isDropping(d *direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d.conn.discards || r.mode == d.dropMode
}

func (r *Relay) countBytes(lost bool, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lost {
		r.stats.Lost += uint64(bytes)
	} else {
		r.stats.Passed += uint64(bytes)
	}
	r.statsChanged.notify()
}

// propagateClose forwards the end of a direction: a close as a close, any other error as a
// reset. After lost bytes the end isn't forwarded, so that the receiver sees no sign of it.
func (d *direction) propagateClose(err error) {
	if d.lost {
		return
	}
	tcp, ok := d.to.(*net.TCPConn)
	if !errors.Is(err, io.EOF) || !ok {
		d.conn.reset()
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
