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
	// Freeze hands on nothing and reads no more than one buffer each way; what
	// was held back arrives late.
	Freeze RelayMode = "freeze"
	// BlackholeOpen loses, for good and both ways, what is sent on connections
	// that were open when the mode was set. New ones pass.
	BlackholeOpen RelayMode = "silentold"
	// Refuse resets open and new connections.
	Refuse RelayMode = "refuse"
)

// RelayConfig describes a relay to start.
type RelayConfig struct {
	Address string
	Target  string
}

// RelayStats counts what a relay has done.
type RelayStats struct {
	// Opened connections that reached the target.
	Opened uint64 `json:"opened"`
	// Passed and Lost are in bytes, both ways together.
	Passed uint64 `json:"passed"`
	Lost   uint64 `json:"lost"`
	// Held counts reads whose bytes, or end, wait for the end of Freeze.
	Held uint64 `json:"held"`
}

// Relay passes TCP connections to its target and breaks them as told. It is
// safe for concurrent use.
type Relay struct {
	ln     net.Listener
	target string
	dialer net.Dialer
	cancel context.CancelFunc // ends dials that are under way
	wg     sync.WaitGroup

	mu           sync.Mutex
	mode         RelayMode
	changed      broadcast // of the mode
	conns        map[*relayConn]struct{}
	closed       bool
	stats        RelayStats
	statsChanged broadcast
}

// StartRelay listens and relays until Close.
func StartRelay(ctx context.Context, config RelayConfig) (*Relay, error) {
	ln, err := listen(ctx, config.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "starting the relay on %s", config.Address)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // it relays until Close
	r := &Relay{
		ln:     ln.Listener,
		cancel: cancel,
		target: config.Target,
		mode:   Pass,
		conns:  make(map[*relayConn]struct{}),
	}
	r.wg.Add(1)
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
	for c := range r.conns {
		switch mode {
		case BlackholeOpen:
			c.discards = true
		case Refuse:
			c.reset()
		default:
		}
	}
	r.changed.notify()
}

// Stats returns the counts so far.
func (r *Relay) Stats() RelayStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Await waits until the counts reach what is asked, or ctx ends.
func (r *Relay) Await(ctx context.Context, reached func(RelayStats) bool) error {
	return await(ctx, func() (bool, <-chan struct{}) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return reached(r.stats), r.statsChanged.wait()
	})
}

// Close ends the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.reset()
	}
	r.changed.notify()
	r.mu.Unlock()
	r.cancel()
	closeQuietly(r.ln)
	r.wg.Wait()
}

func (r *Relay) accept(ctx context.Context) {
	defer r.wg.Done()
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.relay(ctx, near)
	}
}
