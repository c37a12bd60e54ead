package standin

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"time"

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

// delivery is what one read returned, to be written at due.
type delivery struct {
	bytes []byte
	err   error // of the read
	due   time.Time
}

// maxDeliveries bounds the reads that wait in the mode Late; then nothing is read.
const maxDeliveries = 4096

// forward copies the bytes of one direction until it ends.
func (r *Relay) forward(d *direction) {
	deliveries := make(chan delivery, maxDeliveries)
	go r.read(d, deliveries)
	isWritable := true
	for next := range deliveries { // until read has ended, as the connection is closed then
		isWritable = isWritable && r.awaitDue(next.due) && r.deliver(d, next)
	}
}

// read passes on what it reads from one direction until that ends.
func (r *Relay) read(d *direction, deliveries chan<- delivery) {
	defer close(deliveries)
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := d.from.Read(buffer)
		if !r.holdWhileFrozen() {
			return
		}
		deliveries <- delivery{bytes: slices.Clone(buffer[:n]), err: err, due: r.dueTime()}
		if err != nil {
			return
		}
	}
}

// dueTime returns when bytes that were read now are to be written.
func (r *Relay) dueTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Late {
		r.stats.Held++
		r.statsChanged.notify()
		return time.Now().Add(LateDelay)
	}
	return time.Now()
}

// awaitDue waits until a time. It returns false if the relay closes or refuses connections.
func (r *Relay) awaitDue(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	for {
		r.mu.Lock()
		isEnded, changed := r.closed || r.mode == Refuse, r.changed.wait()
		r.mu.Unlock()
		if isEnded {
			return false
		}
		select {
		case <-timer.C:
			return true
		case <-changed:
		}
	}
}

// deliver writes what was read, unless its bytes are lost. It returns false if the direction has
// ended.
func (r *Relay) deliver(d *direction, next delivery) bool {
	d.lost = d.lost || r.isDropping(d)
	if !d.lost && len(next.bytes) > 0 {
		if _, err := d.to.Write(next.bytes); err != nil {
			d.conn.reset()
			return false
		}
	}
	r.countBytes(d.lost, len(next.bytes))
	if next.err != nil {
		d.propagateClose(next.err)
	}
	return next.err == nil
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
