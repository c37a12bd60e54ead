package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// RelayMode is what a relay does to its connections.
type RelayMode string

// Modes of a relay.
const (
	// Pass forwards all bytes.
	Pass RelayMode = "pass"
	// DropToTarget drops bytes that clients send to the target. A connection that has lost
	// bytes forwards none in that direction again, as TCP delivers nothing after a gap.
	DropToTarget RelayMode = "droptotarget"
	// DropFromTarget drops bytes that the target sends, in the same way.
	DropFromTarget RelayMode = "dropfromtarget"
	// Freeze forwards nothing and reads at most one buffer in each direction. The bytes
	// held back are forwarded when the mode ends.
	Freeze RelayMode = "freeze"
	// BlackholeOpen permanently drops, in both directions, all bytes on connections that were
	// open when the mode was set. New connections pass.
	BlackholeOpen RelayMode = "silentold"
	// Refuse resets open and new connections.
	Refuse RelayMode = "refuse"
	// Late forwards all bytes LateDelay after they were read. Bytes that are on their way when the
	// mode ends still arrive late, and those behind them not earlier.
	Late RelayMode = "late"
)

// LateDelay is the delay of the mode Late: longer than nodes take to find a silent path lost.
const LateDelay = 6 * time.Second

// RelayConfig describes a relay to start.
type RelayConfig struct {
	Address string
	Target  string
}

// RelayStats counts what a relay has done.
type RelayStats struct {
	// Opened counts connections that reached the target.
	Opened uint64 `json:"opened"`
	// Passed and Lost count the bytes of both directions together.
	Passed uint64 `json:"passed"`
	Lost   uint64 `json:"lost"`
	// Held counts reads whose bytes, or end of stream, were held back by Freeze or
	// Late.
	Held uint64 `json:"held"`
}

// Relay forwards TCP connections to its target and injects the faults of its mode. It is
// safe for concurrent use.
type Relay struct {
	ln     net.Listener
	target string
	dialer net.Dialer
	cancel context.CancelFunc // cancels dials in progress
	wg     sync.WaitGroup

	mu           sync.Mutex
	mode         RelayMode
	changed      broadcast // notified when the mode changes or the relay closes
	conns        map[*relayConn]struct{}
	closed       bool
	stats        RelayStats
	statsChanged broadcast
}

// StartRelay starts a relay that runs until Close. It returns an error if it can't listen on
// the address.
func StartRelay(ctx context.Context, config RelayConfig) (*Relay, error) {
	ln, err := listen(ctx, config.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "starting the relay on %s", config.Address)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the relay outlives ctx, until Close
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

// SetMode changes the mode for open and new connections. Bytes held back by Freeze are
// treated by the new mode.
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

// Await waits until reached returns true for the counts. It returns an error if ctx ends
// before.
func (r *Relay) Await(ctx context.Context, reached func(RelayStats) bool) error {
	return await(ctx, func() (bool, <-chan struct{}) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return reached(r.stats), r.statsChanged.wait()
	})
}

// Close stops the relay and resets its connections.
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
		client, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.relay(ctx, client)
	}
}
