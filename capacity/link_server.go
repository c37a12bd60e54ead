package capacity

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	secret     = "a secret of the measures"
	frameLimit = 1 << 20
	// heartbeatInterval is shorter than that of a node, so that a measurement spans many
	// intervals.
	heartbeatInterval = clock.Millis(100)
	// measuredIntervals is the number of heartbeat intervals that a measurement spans.
	measuredIntervals = 10
)

// heartbeatCounter is the handler of both sides of a link. It counts the heartbeats that
// it receives, and ignores all other messages.
type heartbeatCounter struct {
	heartbeat wire.Heartbeat

	mu       sync.Mutex
	received int
	notifyAt int
	notify   chan struct{}
}

func newHeartbeatCounter(upstreams int) *heartbeatCounter {
	return &heartbeatCounter{heartbeat: *heartbeat(upstreams)}
}

// notifyAfter returns a channel that is closed after so many more heartbeats. There may
// be only one such channel at a time.
func (c *heartbeatCounter) notifyAfter(heartbeats int) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyAt = c.received + heartbeats
	c.notify = make(chan struct{})
	return c.notify
}

func (c *heartbeatCounter) countHeartbeat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received++
	if c.received == c.notifyAt {
		close(c.notify)
	}
}

// Dispatch ignores the dispatch.
func (*heartbeatCounter) Dispatch(uint64, *wire.Dispatch) {}

// Resolve ignores the message.
func (*heartbeatCounter) Resolve(uint64, *wire.Resolve) {}

// Heartbeat counts a heartbeat from the dialling side.
func (c *heartbeatCounter) Heartbeat(string, *wire.Heartbeat) { c.countHeartbeat() }

// ProbeCapacity sends no answer.
func (*heartbeatCounter) ProbeCapacity(uint64, *wire.CapacityProbe) {}

// ClaimSlot sends no answer.
func (*heartbeatCounter) ClaimSlot(uint64, *wire.SlotClaim) {}

// EntryLost does nothing, because the handler keeps no claims.
func (*heartbeatCounter) EntryLost(uint64, clock.Millis) {}

// ReleaseReservation ignores the message.
func (*heartbeatCounter) ReleaseReservation(*wire.ReleaseReservation) {}

// RequestQuota sends no answer.
func (*heartbeatCounter) RequestQuota(uint64, *wire.QuotaRequest) {}
func (*heartbeatCounter) ForwardQuota(uint64, *wire.QuotaForward) {}

// RevokeKey returns an empty reply.
func (c *heartbeatCounter) RevokeKey(*wire.KeyRevocation) *wire.KeyRevocationReply {
	return &wire.KeyRevocationReply{}
}

// Status returns the content of the heartbeats to send.
func (c *heartbeatCounter) Status() wire.Heartbeat { return c.heartbeat }

// RequestTable returns no table.
func (*heartbeatCounter) RequestTable(*wire.TableRequest) (*wire.TableVersion, bool) {
	return nil, false
}

// ReceiveTable ignores the table.
func (*heartbeatCounter) ReceiveTable(string, *wire.TableVersion) {}

// ReceiveAnnouncements ignores the announcements.
func (*heartbeatCounter) ReceiveAnnouncements(*wire.Announcements) {}

// Subscribe ignores the subscription.
func (*heartbeatCounter) Subscribe(uint64, string, *wire.Subscription) {}

// ReceiveUpdate ignores the update.
func (*heartbeatCounter) ReceiveUpdate(string, *wire.StoreUpdate, clock.Millis) {}

// ReceiveCrashes returns no crashes.
func (*heartbeatCounter) ReceiveCrashes(*wire.CrashReport) []*wire.CrashReport { return nil }

// PeerHeartbeat counts a heartbeat from the accepting side.
func (c *heartbeatCounter) PeerHeartbeat(string, *wire.Heartbeat) { c.countHeartbeat() }

// PeerUpstream ignores the state.
func (*heartbeatCounter) PeerUpstream(string, wire.Upstream) {}

// PeerStoreUpdate ignores the update.
func (*heartbeatCounter) PeerStoreUpdate(string, *wire.StoreUpdate, clock.Millis) {}

// PeerReferral ignores the referral.
func (*heartbeatCounter) PeerReferral(string, *wire.Referral) {}

// PeerCopyPart ignores the part.
func (*heartbeatCounter) PeerCopyPart(string, *wire.CopyPart, clock.Millis) {}

// PeerCrashReport ignores the report.
func (*heartbeatCounter) PeerCrashReport(*wire.CrashReport) {}

// PeerProfile ignores the profile.
func (*heartbeatCounter) PeerProfile(*wire.UpstreamProfile) {}

// PeerWorkRequest ignores the request.
func (*heartbeatCounter) PeerWorkRequest(*wire.WorkRequest) {}

// PeerProfile ignores the profile.

// PeerTableVersion ignores the table.
func (*heartbeatCounter) PeerTableVersion(string, *wire.TableVersion) {}

// PeerPath ignores the change.
func (*heartbeatCounter) PeerPath(string, path.State) {}

// linkServer accepts links on a loopback address.
type linkServer struct {
	address string
	// transferred counts the bytes of all links in both directions.
	transferred *atomic.Int64
	close       func()
}

// listen starts a link server that sends heartbeats at the given interval. The caller
// must close it.
func listen(interval clock.Millis, handler *heartbeatCounter) (*linkServer, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listening for links")
	}
	address := listener.Addr().String()
	transferred := &atomic.Int64{}
	server := link.NewServer(link.ServerConfig{
		Identity: identity(address, 1), MaxFrame: frameLimit, HeartbeatInterval: interval, Now: clock.NewSystem().Now,
		Handler: handler, Log: logging.Silent(),
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(&countingListener{listener, transferred}) // returns when the listener is closed
	}()
	return &linkServer{address: address, transferred: transferred, close: func() {
		_ = listener.Close() // the measurement is over either way
		server.Close()
		<-served
	}}, nil
}

func identity(node string, incarnation int) link.Identity {
	return link.Identity{Node: node, Incarnation: uint64(incarnation), Secret: secret}
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener

	transferred *atomic.Int64
}

// Accept returns a connection that counts its bytes.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.transferred}, nil
}

// countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn

	transferred *atomic.Int64
}

// Read counts the bytes received.
func (c *countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.transferred.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countingConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.transferred.Add(int64(n))
	return n, err
}

// waitForGoroutines waits until the number of goroutines is stable, so that those of one
// measurement have ended before the next one starts.
func waitForGoroutines() {
	const (
		checkInterval = 20 * time.Millisecond
		// stableChecks is the number of successive checks without a change that end the wait.
		stableChecks = 5
	)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	last, stable := runtime.NumGoroutine(), 0
	for stable < stableChecks {
		<-ticker.C
		stable++
		if n := runtime.NumGoroutine(); n != last {
			last, stable = n, 0
		}
	}
}
