package link_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	secret = "sixteen letters!"
	limit  = 1 << 20
)

// countingHandler counts the dispatches and claims that it receives, and the entries lost.
type countingHandler struct {
	dispatched, claimed, lost atomic.Int64

	announced chan *wire.Announcements
}

func (c *countingHandler) Dispatch(uint64, *wire.Dispatch)             { c.dispatched.Add(1) }
func (c *countingHandler) Resolve(uint64, *wire.Resolve)               {}
func (c *countingHandler) ProbeCapacity(uint64, *wire.CapacityProbe)   {}
func (c *countingHandler) ClaimSlot(uint64, *wire.SlotClaim)           { c.claimed.Add(1) }
func (c *countingHandler) EntryLost(uint64, clock.Millis)              { c.lost.Add(1) }
func (c *countingHandler) ReleaseReservation(*wire.ReleaseReservation) {}
func (c *countingHandler) RequestQuota(uint64, *wire.QuotaRequest)     {}
func (c *countingHandler) ForwardQuota(uint64, *wire.QuotaForward)     {}
func (c *countingHandler) RevokeKey(*wire.KeyRevocation) *wire.KeyRevocationReply {
	return &wire.KeyRevocationReply{}
}
func (c *countingHandler) Heartbeat(string, *wire.Heartbeat) {}
func (c *countingHandler) Status() wire.Heartbeat            { return wire.Heartbeat{} }
func (c *countingHandler) RequestTable(*wire.TableRequest) (*wire.TableVersion, bool) {
	return nil, false
}
func (c *countingHandler) ReceiveTable(string, *wire.TableVersion)               {}
func (c *countingHandler) Subscribe(uint64, string, *wire.Subscription)          {}
func (c *countingHandler) ReceiveUpdate(string, *wire.StoreUpdate, clock.Millis) {}
func (c *countingHandler) ReceiveCrashes(*wire.CrashReport) []*wire.CrashReport  { return nil }
func (c *countingHandler) ReceiveAnnouncements(m *wire.Announcements) {
	c.announced <- m
}

func identity(node, secret string) link.Identity {
	return link.Identity{Node: node, Incarnation: 1, Secret: secret}
}
func logger() logrus.FieldLogger { l, _ := logtest.NewNullLogger(); return l }

// serve starts a node's link server. The node identifies itself by the address claimed, or
// by its real address if claimed is empty.
func serve(t *testing.T, claimed string) (address string, handler *countingHandler) {
	t.Helper()
	address, handler, _ = serveLinks(t, claimed)
	return address, handler
}

func serveLinks(t *testing.T, claimed string) (string, *countingHandler, *link.Server) {
	t.Helper()
	listener := listen(t)
	address := listener.Addr().String()
	if claimed == "" {
		claimed = address
	}
	handler, s := serveOn(t, listener, claimed)
	return address, handler, s
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func listenOn(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func serveOn(t *testing.T, listener net.Listener, claimed string) (*countingHandler, *link.Server) {
	t.Helper()
	handler := &countingHandler{announced: make(chan *wire.Announcements, 8)}
	s := link.NewServer(link.ServerConfig{
		Identity: identity(claimed, secret), MaxFrame: limit, HeartbeatInterval: clock.Second, Now: clock.NewSystem().Now,
		Handler: handler, Log: logger(),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		s.Close()
		<-done
	})
	return handler, s
}

// Guards against requests that are sent to a node other than the one in the table, or
// accepted from a node without the secret. It happens when another node's instance or an
// unknown process takes over an address.
func TestDialRejectsWrongPeers(t *testing.T) {
	tests := []struct {
		name    string
		claimed string
		secret  string
		want    error
	}{
		{"the node itself", "", secret, nil},
		{"another node's identity", "10.0.0.9:7000", secret, link.ErrWrongPeer},
		{"another secret", "", "another sixteen!", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, handler := serve(t, tt.claimed)
			conn, remote, err := link.Dial(t.Context(), address, identity("10.0.0.1:7000", tt.secret), limit)
			if tt.secret != secret {
				if err == nil || handler.dispatched.Load() != 0 {
					t.Fatalf("got no error with another secret, want one")
				}
				return
			}
			if !errors.Is(err, tt.want) {
				t.Fatalf("got error %v, want %v", err, tt.want)
			}
			if err == nil {
				defer conn.Close()
				if remote.Node != address {
					t.Errorf("got node %s, want %s", remote.Node, address)
				}
			}
		})
	}
}

// Guards against dispatches of a peer without the secret. Such a peer can connect to the
// link port and send a dispatch before its proof, replay the proof of another handshake, or
// claim another identity.
func TestNoDispatchBeforeProof(t *testing.T) {
	tests := []struct {
		name  string
		first func(challenge *wire.Challenge) wire.Message
	}{
		{"dispatch first", func(*wire.Challenge) wire.Message { return &wire.Dispatch{Upstream: "conferme-1"} }},
		{"proof of another challenge", func(*wire.Challenge) wire.Message {
			nonce, other := wire.Nonce(), wire.Nonce()
			mac := wire.ComputeMAC(secret, wire.Dialler, "10.0.0.1:1", 1, nonce, other)
			return &wire.Proof{Node: "10.0.0.1:1", Entry: 1, Nonce: nonce, MAC: mac}
		}},
		{"identity of another under a valid proof", func(c *wire.Challenge) wire.Message {
			nonce := wire.Nonce()
			mac := wire.ComputeMAC(secret, wire.Dialler, "10.0.0.1:1", 1, nonce, c.Nonce)
			return &wire.Proof{Node: "10.0.0.2:1", Entry: 1, Nonce: nonce, MAC: mac}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, handler := serve(t, "")
			socket, response, err := websocket.DefaultDialer.DialContext(t.Context(), "ws://"+address+link.Path, http.Header{})
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			defer func() { _ = socket.Close() }()
			if err := socket.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
				t.Fatal(err)
			}
			challenge := readChallenge(t, socket)
			writeMessage(t, socket, tt.first(challenge))
			writeMessage(t, socket, &wire.Dispatch{Upstream: "conferme-1"})
			if _, _, err := socket.ReadMessage(); err == nil {
				t.Error("got an answer, want a closed link")
			}
			if got := handler.dispatched.Load(); got != 0 {
				t.Errorf("got %d dispatches, want 0", got)
			}
		})
	}
}

func readChallenge(t *testing.T, socket *websocket.Conn) *wire.Challenge {
	t.Helper()
	_, frame, err := socket.ReadMessage()
	if err != nil {
		t.Fatal(err)
	}
	m, err := wire.Decode(frame, limit)
	if err != nil {
		t.Fatal(err)
	}
	challenge, ok := m.(*wire.Challenge)
	if !ok {
		t.Fatalf("got kind %d, want a challenge", m.Kind())
	}
	return challenge
}

func writeMessage(t *testing.T, socket *websocket.Conn, m wire.Message) {
	t.Helper()
	frame, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	_ = socket.WriteMessage(websocket.BinaryMessage, frame) // the peer may have closed already
}

// Guards against an upstream that gets no requests because its gate sends all work requests
// to the same entry, which has no callers. A gate that knows no entry with requests for its
// upstream must ask all connected entries in turn.
func TestWorkRequestsRotateOverEntries(t *testing.T) {
	address, _, server := serveLinks(t, "")
	const entries, rounds = 5, 4
	received := make(chan int, entries*rounds)
	for i := range entries {
		self := identity("10.0.0.1:7000", secret)
		self.Incarnation = uint64(i + 10)
		peer := link.NewPeer(link.PeerConfig{
			Address: address, Self: self, MaxFrame: limit, MaxReplyBody: limit, HeartbeatInterval: clock.Second, Now: clock.NewSystem().Now,
			Status: func() wire.Heartbeat { return wire.Heartbeat{} }, Observer: workRequestObserver{index: i, received: received}, Log: logger(),
		})
		go func() { _ = peer.Run(t.Context()) }()
		peer.EnsureLink()
	}
	waitFor(t, func() bool { return server.OpenLinks() == entries })
	for range entries * rounds {
		if !server.SendWorkRequest(0, &wire.WorkRequest{Upstream: "conferme-1", TTL: clock.Second}) {
			t.Fatal("got a work request not sent, want all sent")
		}
	}
	got := [entries]int{}
	for range entries * rounds {
		got[<-received]++
	}
	for i, n := range got {
		if n != rounds {
			t.Errorf("got %d work requests at entry %d, want %d", n, i, rounds)
		}
	}
}

// workRequestObserver reports its index for each work request that it receives.
type workRequestObserver struct {
	pathObserver

	index    int
	received chan int
}

func (o workRequestObserver) PeerWorkRequest(*wire.WorkRequest) { o.received <- o.index }

// PeerPath ignores the path's state, because the test ends with open links.
func (workRequestObserver) PeerPath(string, path.State) {}

// lossRecorder records whether the path to a peer was ever lost.
type lossRecorder struct {
	wasLost atomic.Bool
}

func (l *lossRecorder) PeerHeartbeat(string, *wire.Heartbeat)                   {}
func (l *lossRecorder) PeerUpstream(string, wire.Upstream)                      {}
func (l *lossRecorder) PeerTableVersion(string, *wire.TableVersion)             {}
func (l *lossRecorder) PeerWorkRequest(*wire.WorkRequest)                       {}
func (l *lossRecorder) PeerProfile(*wire.UpstreamProfile)                       {}
func (l *lossRecorder) PeerStoreUpdate(string, *wire.StoreUpdate, clock.Millis) {}
func (l *lossRecorder) PeerReferral(string, *wire.Referral)                     {}
func (l *lossRecorder) PeerCopyPart(string, *wire.CopyPart, clock.Millis)       {}
func (l *lossRecorder) PeerCrashReport(*wire.CrashReport)                       {}
func (l *lossRecorder) PeerPath(_ string, state path.State) {
	l.wasLost.Store(l.wasLost.Load() || state == path.Lost)
}

// Guards against an entry that takes the silence after it has closed an idle link for an
// unreachable peer. After hours without callers it would send all requests to the upstream
// on its own node.
func TestIdleLinkKeepsPathGood(t *testing.T) {
	address, _ := serve(t, "")
	const interval = clock.Millis(20)
	observer := &lossRecorder{}
	peer, stop := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: interval, IdleTimeout: interval, Observer: observer})
	peer.EnsureLink()
	waitFor(t, peer.Ready)
	waitFor(t, func() bool { return !peer.Ready() })
	<-time.After((30 * interval).Duration())
	stop()
	if observer.wasLost.Load() {
		t.Error("got the path lost after its idle link was closed, want it good")
	}
}

// Guards against a path that stays lost permanently after its node was unreachable for
// longer than entries keep dialling. Entries don't choose an unreachable upstream, so that
// nothing would need the link again. Once idle, the path must count as good until it is
// used.
func TestIdleLostPathBecomesGood(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	const interval = clock.Millis(20)
	states := make(chan path.State, 16)
	peer, _ := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: interval, IdleTimeout: 4 * interval, Observer: pathObserver{states}})
	peer.EnsureLink()
	for _, want := range []path.State{path.Lost, path.Good} {
		select {
		case got := <-states:
			if got != want {
				t.Fatalf("got state %v, want %v", got, want)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("got no state %v within 30s", want)
		}
	}
}

// runPeer starts a peer that runs until the end of the test or until stop is called.
func runPeer(t *testing.T, c link.PeerConfig) (peer *link.Peer, stop func()) {
	t.Helper()
	c.Self, c.MaxFrame, c.MaxReplyBody = identity("10.0.0.1:7000", secret), limit, limit
	c.Now, c.Status, c.Log = clock.NewSystem().Now, func() wire.Heartbeat { return wire.Heartbeat{} }, logger()
	peer = link.NewPeer(c)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return peer, stop
}

// pathObserver passes on the state changes of a path.
type pathObserver struct {
	states chan path.State
}

func (pathObserver) PeerHeartbeat(string, *wire.Heartbeat)                   {}
func (pathObserver) PeerUpstream(string, wire.Upstream)                      {}
func (pathObserver) PeerTableVersion(string, *wire.TableVersion)             {}
func (pathObserver) PeerWorkRequest(*wire.WorkRequest)                       {}
func (pathObserver) PeerProfile(*wire.UpstreamProfile)                       {}
func (pathObserver) PeerStoreUpdate(string, *wire.StoreUpdate, clock.Millis) {}
func (pathObserver) PeerReferral(string, *wire.Referral)                     {}
func (pathObserver) PeerCopyPart(string, *wire.CopyPart, clock.Millis)       {}
func (pathObserver) PeerCrashReport(*wire.CrashReport)                       {}
func (o pathObserver) PeerPath(_ string, state path.State)                   { o.states <- state }

// waitFor waits until a condition holds, and fails the test after 30 s.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	deadline := time.After(30 * time.Second)
	for !holds() {
		select {
		case <-deadline:
			t.Fatal("got no change of the link within 30s")
		case <-time.After(time.Millisecond):
		}
	}
}
