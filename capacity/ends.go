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
	// interval is that between heartbeats in measures, shorter than a node's
	// so that many fit a measure.
	interval = clock.Millis(100)
	// intervals are measured over.
	intervals = 10
)

// heartbeatCounter is both sides' handler: it counts the heartbeats heard.
type heartbeatCounter struct {
	status wire.Heartbeat

	mu    sync.Mutex
	beats int
	want  int
	done  chan struct{}
}

func newHeartbeatCounter(upstreams int) *heartbeatCounter {
	return &heartbeatCounter{status: *heartbeat(upstreams)}
}

// notifyAfter returns a channel that is closed when so many more were heard.
func (e *heartbeatCounter) notifyAfter(beats int) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.want = e.beats + beats
	e.done = make(chan struct{})
	return e.done
}

func (e *heartbeatCounter) countHeartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	if e.beats == e.want {
		close(e.done)
	}
}

// Dispatch does nothing.
func (*heartbeatCounter) Dispatch(uint64, *wire.Dispatch) {}

// Resolve does nothing.
func (*heartbeatCounter) Resolve(uint64, *wire.Resolve) {}

// Heartbeat counts one of a dialling side.
func (e *heartbeatCounter) Heartbeat(string, *wire.Heartbeat) { e.countHeartbeat() }

// ProbeCapacity answers nothing.
func (*heartbeatCounter) ProbeCapacity(uint64, *wire.CapacityProbe) {}

// ReleaseReservation does nothing.
func (*heartbeatCounter) ReleaseReservation(*wire.ReleaseReservation) {}

// RequestQuota answers nothing.
func (*heartbeatCounter) RequestQuota(uint64, *wire.QuotaRequest) {}

// RevokeKey answers nothing.
func (e *heartbeatCounter) RevokeKey(*wire.KeyRevocation) *wire.KeyRevocationReply {
	return &wire.KeyRevocationReply{}
}

// Status returns the heartbeat.
func (e *heartbeatCounter) Status() wire.Heartbeat { return e.status }

// RequestTable has no table.
func (*heartbeatCounter) RequestTable(*wire.TableRequest) (*wire.TableVersion, bool) {
	return nil, false
}

// ReceiveTable does nothing.
func (*heartbeatCounter) ReceiveTable(string, *wire.TableVersion) {}

// ReceiveCrashes takes in crashes.
func (*heartbeatCounter) ReceiveCrashes(*wire.CrashReport) []*wire.CrashReport { return nil }

// PeerHeartbeat counts one of an accepting side.
func (e *heartbeatCounter) PeerHeartbeat(string, *wire.Heartbeat) { e.countHeartbeat() }

// PeerUpstream does nothing.
func (*heartbeatCounter) PeerUpstream(string, wire.Upstream) {}

// PeerStoreUpdate does nothing.
func (*heartbeatCounter) PeerStoreUpdate(*wire.StoreUpdate) {}

// PeerCrashReport takes in crashes.
func (*heartbeatCounter) PeerCrashReport(*wire.CrashReport) {}

// PeerWorkRequest does nothing.
func (*heartbeatCounter) PeerWorkRequest(*wire.WorkRequest) {}

// PeerTableVersion does nothing.
func (*heartbeatCounter) PeerTableVersion(string, *wire.TableVersion) {}

// PeerPath does nothing.
func (*heartbeatCounter) PeerPath(string, path.State) {}

// listeningSide is a listening link side.
type listeningSide struct {
	address string
	// carried counts the bytes of all links, both ways.
	carried *atomic.Int64
	close   func()
}

func listen(every clock.Millis, handler *heartbeatCounter) (*listeningSide, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listening for links")
	}
	address := listener.Addr().String()
	carried := &atomic.Int64{}
	server := link.NewServer(link.ServerConfig{
		Identity: identity(address, 1), MaxFrame: frameLimit, HeartbeatInterval: every, Now: clock.NewSystem().Now,
		Handler: handler, Log: logging.Silent(),
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(&countingListener{listener, carried}) // ends with the listener
	}()
	return &listeningSide{address: address, carried: carried, close: func() {
		_ = listener.Close() // nothing to be done about it
		server.Close()
		<-served
	}}, nil
}

func identity(node string, incarnation int) link.Identity {
	return link.Identity{Node: node, Incarnation: uint64(incarnation), Secret: secret}
}

// countingListener is a listener whose connections count what they carry.
type countingListener struct {
	net.Listener

	carried *atomic.Int64
}

// Accept counts from the first byte.
func (m *countingListener) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, m.carried}, nil
}

type countingConn struct {
	net.Conn

	carried *atomic.Int64
}

// Read counts what came.
func (m *countingConn) Read(into []byte) (int, error) {
	n, err := m.Conn.Read(into)
	m.carried.Add(int64(n))
	return n, err
}

// Write counts what went.
func (m *countingConn) Write(from []byte) (int, error) {
	n, err := m.Conn.Write(from)
	m.carried.Add(int64(n))
	return n, err
}

// waitForGoroutines waits until the goroutines of the measure before have ended.
func waitForGoroutines() {
	const (
		look = 20 * time.Millisecond
		// calm looks without a change end the wait.
		calm = 5
	)
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	last, same := runtime.NumGoroutine(), 0
	for same < calm {
		<-ticker.C
		same++
		if n := runtime.NumGoroutine(); n != last {
			last, same = n, 0
		}
	}
}
