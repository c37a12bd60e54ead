package standin

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
)

// RelayMode is what a relay does to the connections that cross it.
type RelayMode string

// Modes of a relay.
const (
	// Pass hands on all bytes.
	Pass RelayMode = "pass"
	// DropToTarget loses what is sent to the target. A connection that has
	// lost bytes never passes that way again, as after a gap TCP wouldn't.
	DropToTarget RelayMode = "droptotarget"
	// DropFromTarget loses what the target sends, likewise.
	DropFromTarget RelayMode = "dropfromtarget"
	// Freeze reads neither side; what was held back arrives late.
	Freeze RelayMode = "freeze"
	// SilentOld loses, for good and both ways, what is sent on connections
	// that were open when the mode was set. New ones pass.
	SilentOld RelayMode = "silentold"
	// Refuse resets open and new connections.
	Refuse RelayMode = "refuse"
)

// relayBuffer is how many bytes a direction reads at once.
const relayBuffer = 32 << 10

// RelayConfig describes a relay to start.
type RelayConfig struct {
	Address string
	Target  string
}

// Relay passes TCP connections to its target and breaks them as told. It is
// safe for concurrent use.
type Relay struct {
	ln     net.Listener
	target string
	dialer net.Dialer
	cancel context.CancelFunc // ends dials that are under way
	ended  sync.WaitGroup

	mu      sync.Mutex
	mode    RelayMode
	changed chan struct{} // closed when the mode changes
	crossed map[*crossing]struct{}
	closed  bool
}

// crossing is one connection through the relay.
type crossing struct {
	near, far net.Conn
	silent    bool // guarded by the relay's lock
}

// StartRelay listens and relays until Close.
func StartRelay(config RelayConfig) (*Relay, error) {
	ln, err := listen(config.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "starting the relay on %s", config.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		ln:      ln.Listener,
		cancel:  cancel,
		target:  config.Target,
		mode:    Pass,
		changed: make(chan struct{}),
		crossed: make(map[*crossing]struct{}),
	}
	r.ended.Add(1)
	go r.accept(ctx)
	return r, nil
}

// Address returns the IP number and port that the relay listens on.
func (r *Relay) Address() string {
	return r.ln.Addr().String()
}

// SetMode changes what happens to bytes that the relay reads from now on.
func (r *Relay) SetMode(mode RelayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	for c := range r.crossed {
		switch mode {
		case SilentOld:
			c.silent = true
		case Refuse:
			c.reset()
		default:
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close ends the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for c := range r.crossed {
		c.reset()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.cancel()
	closeQuietly(r.ln)
	r.ended.Wait()
}

func (r *Relay) accept(ctx context.Context) {
	defer r.ended.Done()
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.ended.Add(1)
		go r.cross(ctx, near)
	}
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
		r.pump(way{crossing: c, from: c.near, to: c.far, drop: DropToTarget})
	}()
	go func() {
		defer ways.Done()
		r.pump(way{crossing: c, from: c.far, to: c.near, drop: DropFromTarget})
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
	return true
}

// thawed waits while the relay is frozen, and tells whether it still relays.
func (r *Relay) thawed() bool {
	for {
		r.mu.Lock()
		mode, closed, changed := r.mode, r.closed, r.changed
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

// drops tells whether bytes of the way are lost now.
func (r *Relay) drops(w way) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.crossing.silent || r.mode == w.drop
}

// way is one direction of a crossing.
type way struct {
	crossing *crossing
	from, to net.Conn
	drop     RelayMode // the mode that loses this way's bytes
}

// pump carries one way until it ends. An end that is lost isn't handed on, so
// that the receiver sees silence and no close.
func (r *Relay) pump(w way) {
	buffer := make([]byte, relayBuffer)
	lost := false
	for {
		if !r.thawed() {
			return
		}
		n, err := w.from.Read(buffer)
		if !r.thawed() {
			return
		}
		lost = lost || r.drops(w)
		if n > 0 && !lost {
			if _, err := w.to.Write(buffer[:n]); err != nil {
				w.crossing.reset()
				return
			}
		}
		if err == nil {
			continue
		}
		if !lost {
			w.finish()
		}
		return
	}
}

// finish hands on the end of the way.
func (w way) finish() {
	if tcp, ok := w.to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (c *crossing) reset() {
	for _, conn := range []net.Conn{c.near, c.far} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		closeQuietly(conn)
	}
}
