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

// crossing is one connection through the relay.
type crossing struct {
	near, far net.Conn
	silent    bool // guarded by the relay's lock
}

// cross carries one connection until both ways have ended.
func (r *Relay) cross(ctx context.Context, near net.Conn) {
	defer r.ended.Done()
	c := &crossing{near: near}
	if !r.connect(ctx, c) {
		c.reset()
		return
	}
	defer r.forget(c)
	var ways sync.WaitGroup
	ways.Add(2)
	go func() {
		defer ways.Done()
		r.pump(&way{crossing: c, from: c.near, to: c.far, drop: DropToTarget})
	}()
	go func() {
		defer ways.Done()
		r.pump(&way{crossing: c, from: c.far, to: c.near, drop: DropFromTarget})
	}()
	ways.Wait()
}

// connect dials the target once the relay isn't frozen.
func (r *Relay) connect(ctx context.Context, c *crossing) bool {
	if !r.thawed() {
		return false
	}
	far, err := r.dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return false
	}
	c.far = far
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.mode == Refuse {
		return false
	}
	r.crossed[c] = struct{}{}
	r.stats.Opened++
	r.counted.notify()
	return true
}

// thawed waits while the relay is frozen, and tells whether it still relays.
func (r *Relay) thawed() bool {
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

func (r *Relay) forget(c *crossing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.crossed, c)
	closeQuietly(c.near)
	closeQuietly(c.far)
}

// way is one direction of a crossing.
type way struct {
	crossing *crossing
	from, to net.Conn
	drop     RelayMode // the mode that loses this way's bytes
	lost     bool      // bytes were lost, and all later ones are
}

// pump carries one way until it ends.
func (r *Relay) pump(w *way) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := w.from.Read(buffer)
		if !r.release() {
			return
		}
		w.lost = w.lost || r.drops(w)
		if !w.lost && n > 0 {
			_, failed := w.to.Write(buffer[:n])
			if failed != nil {
				w.crossing.reset()
				return
			}
		}
		r.count(w.lost, n)
		if err != nil {
			w.finish(err)
			return
		}
	}
}

// release holds what was read until the relay isn't frozen, and tells whether
// it still relays.
func (r *Relay) release() bool {
	r.mu.Lock()
	if r.mode == Freeze {
		r.stats.Held++
		r.counted.notify()
	}
	r.mu.Unlock()
	return r.thawed()
}

// drops tells whether bytes of the way are lost now.
func (r *Relay) drops(w *way) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.crossing.silent || r.mode == w.drop
}

func (r *Relay) count(lost bool, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lost {
		r.stats.Lost += uint64(bytes)
	} else {
		r.stats.Passed += uint64(bytes)
	}
	r.counted.notify()
}

// finish hands on the end of the way: a close as a close, a reset as a reset.
// An end that is lost isn't handed on, so that the receiver sees silence.
func (w *way) finish(err error) {
	if w.lost {
		return
	}
	tcp, ok := w.to.(*net.TCPConn)
	if !errors.Is(err, io.EOF) || !ok {
		w.crossing.reset()
		return
	}
	_ = tcp.CloseWrite()
}

func (c *crossing) reset() {
	for _, conn := range []net.Conn{c.near, c.far} {
		if conn != nil {
			reset(conn)
		}
	}
}
