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

// counter is a handler that counts the dispatches that reach it.
type counter struct {
	dispatched atomic.Int64
}

func (c *counter) Dispatch(uint64, *wire.Dispatch)             { c.dispatched.Add(1) }
func (c *counter) Resolve(uint64, *wire.Resolve)               {}
func (c *counter) ProbeCapacity(uint64, *wire.CapacityProbe)   {}
func (c *counter) ReleaseReservation(*wire.ReleaseReservation) {}
func (c *counter) RequestQuota(uint64, *wire.QuotaRequest)     {}
func (c *counter) RevokeKey(*wire.KeyRevocation) *wire.KeyRevocationReply {
	return &wire.KeyRevocationReply{}
}
func (c *counter) Heartbeat(string, *wire.Heartbeat)                          {}
func (c *counter) Status() wire.Heartbeat                                     { return wire.Heartbeat{} }
func (c *counter) RequestTable(*wire.TableRequest) (*wire.TableVersion, bool) { return nil, false }
func (c *counter) ReceiveTable(string, *wire.TableVersion)                    {}
func (c *counter) ReceiveCrashes(*wire.CrashReport) []*wire.CrashReport       { return nil }
func identity(node, secret string) link.Identity {
	return link.Identity{Node: node, Incarnation: 1, Secret: secret}
}
func logger() logrus.FieldLogger { l, _ := logtest.NewNullLogger(); return l }

// serve starts a node's link side that says it is claims, or its own address.
func serve(t *testing.T, claims string) (address string, handler *counter) {
	t.Helper()
	address, handler, _ = serveLinks(t, claims)
	return address, handler
}

func serveLinks(t *testing.T, claims string) (string, *counter, *link.Server) {
	t.Helper()
	listener := listen(t)
	address := listener.Addr().String()
	if claims == "" {
		claims = address
	}
	handler, s := serveOn(t, listener, claims)
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

func serveOn(t *testing.T, listener net.Listener, claims string) (*counter, *link.Server) {
	t.Helper()
	handler := &counter{}
	s := link.NewServer(link.ServerConfig{
		Identity: identity(claims, secret), MaxFrame: limit, HeartbeatInterval: clock.Second, Now: clock.NewSystem().Now,
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

// An instance is replaced by that of another node on the same address, or a
// stranger listens there: requests must not go to a node that the table does
// not mean, nor be taken from one that doesn't hold the secret.
func TestDialRefusesStrangers(t *testing.T) {
	tests := []struct {
		name   string
		claims string
		secret string
		want   error
	}{
		{"the node itself", "", secret, nil},
		{"another node's identity", "10.0.0.9:7000", secret, link.ErrWrongPeer},
		{"another secret", "", "another sixteen!", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, handler := serve(t, tt.claims)
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

// A stranger that reaches the link port sends a confirmation before it has
// proven anything, or plays back another's proof. None may reach a gate.
func TestNothingIsReadBeforeTheProof(t *testing.T) {
	tests := []struct {
		name  string
		first func(challenge *wire.Challenge) wire.Message
	}{
		{"dispatch first", func(*wire.Challenge) wire.Message { return &wire.Dispatch{Upstream: "conferme-1"} }},
		{"proof of another challenge", func(*wire.Challenge) wire.Message {
			own, other := wire.Nonce(), wire.Nonce()
			mac := wire.ComputeMAC(secret, wire.Dialler, "10.0.0.1:1", 1, own, other)
			return &wire.Proof{Node: "10.0.0.1:1", Entry: 1, Nonce: own, MAC: mac}
		}},
		{"identity of another under a valid proof", func(c *wire.Challenge) wire.Message {
			own := wire.Nonce()
			mac := wire.ComputeMAC(secret, wire.Dialler, "10.0.0.1:1", 1, own, c.Nonce)
			return &wire.Proof{Node: "10.0.0.2:1", Entry: 1, Nonce: own, MAC: mac}
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
			challenge := receive(t, socket)
			post(t, socket, tt.first(challenge))
			post(t, socket, &wire.Dispatch{Upstream: "conferme-1"})
			if _, _, err := socket.ReadMessage(); err == nil {
				t.Error("got an answer, want a closed link")
			}
			if got := handler.dispatched.Load(); got != 0 {
				t.Errorf("got %d dispatches, want 0", got)
			}
		})
	}
}

func receive(t *testing.T, socket *websocket.Conn) *wire.Challenge {
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

func post(t *testing.T, socket *websocket.Conn, m wire.Message) {
	t.Helper()
	frame, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	_ = socket.WriteMessage(websocket.BinaryMessage, frame) // the peer may have closed already
}

// Nobody chooses an upstream, and its gate knows no entry that could send it a request.
// It asked any that had a link, and always the same one, whose node has no callers: the
// upstream got nothing until somebody else chose it. All must have their turn.
func TestInvitationsForAnyGoRound(t *testing.T) {
	address, _, server := serveLinks(t, "")
	const entries, rounds = 5, 4
	invited := make(chan int, entries*rounds)
	for i := range entries {
		self := identity("10.0.0.1:7000", secret)
		self.Incarnation = uint64(i + 10)
		peer := link.NewPeer(link.PeerConfig{
			Address: address, Self: self, MaxFrame: limit, MaxReplyBody: limit, HeartbeatInterval: clock.Second, Now: clock.NewSystem().Now,
			Status: func() wire.Heartbeat { return wire.Heartbeat{} }, Observer: guest{number: i, invited: invited}, Log: logger(),
		})
		go func() { _ = peer.Run(t.Context()) }()
		peer.EnsureLink()
	}
	reach(t, func() bool { return server.OpenLinks() == entries })
	for range entries * rounds {
		if !server.SendWorkRequest(0, &wire.WorkRequest{Upstream: "conferme-1", TTL: clock.Second}) {
			t.Fatal("got an invitation not sent, want all sent")
		}
	}
	got := [entries]int{}
	for range entries * rounds {
		got[<-invited]++
	}
	for i, n := range got {
		if n != rounds {
			t.Errorf("got %d invitations at entry %d, want %d", n, i, rounds)
		}
	}
}

// guest hands on that it was invited.
type guest struct {
	watcher

	number  int
	invited chan int
}

func (g guest) PeerWorkRequest(*wire.WorkRequest) { g.invited <- g.number }

// PeerPath drops the judgement: the test ends with links open.
func (guest) PeerPath(string, path.State) {}

// lost records whether a peer was ever judged lost.
type lost struct {
	seen atomic.Bool
}

func (l *lost) PeerHeartbeat(string, *wire.Heartbeat)       {}
func (l *lost) PeerUpstream(string, wire.Upstream)          {}
func (l *lost) PeerTableVersion(string, *wire.TableVersion) {}
func (l *lost) PeerWorkRequest(*wire.WorkRequest)           {}
func (l *lost) PeerStoreUpdate(*wire.StoreUpdate)           {}
func (l *lost) PeerCrashReport(*wire.CrashReport)           {}
func (l *lost) PeerPath(_ string, state path.State) {
	l.seen.Store(l.seen.Load() || state == path.Lost)
}

// Callers sleep at night, and links without requests are closed. An entry that
// took the quiet that follows for a dead peer would send all of the morning's
// requests to the upstream beside it.
func TestIdleLinkIsNotLost(t *testing.T) {
	address, _ := serve(t, "")
	const beat = clock.Millis(20)
	watcher := &lost{}
	peer, stop := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: beat, IdleTimeout: beat, Observer: watcher})
	peer.EnsureLink()
	reach(t, peer.Ready)
	reach(t, func() bool { return !peer.Ready() })
	<-time.After((30 * beat).Duration())
	stop()
	if watcher.seen.Load() {
		t.Error("got the path lost after its link was closed for want of requests, want it kept")
	}
}

// A node is away for longer than the entries that lost it go on dialling. No
// entry chooses an upstream that is out of reach, so nothing would ever need the
// link again: once idle, the path must count as good until it is tried.
func TestLostPeerIsTriedAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	const beat = clock.Millis(20)
	states := make(chan path.State, 16)
	peer, _ := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: beat, IdleTimeout: 4 * beat, Observer: watcher{states}})
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

// runPeer starts a peer that ends with the test, or by stop.
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

// watcher hands on what is judged of a path.
type watcher struct {
	states chan path.State
}

func (watcher) PeerHeartbeat(string, *wire.Heartbeat)       {}
func (watcher) PeerUpstream(string, wire.Upstream)          {}
func (watcher) PeerTableVersion(string, *wire.TableVersion) {}
func (watcher) PeerWorkRequest(*wire.WorkRequest)           {}
func (watcher) PeerStoreUpdate(*wire.StoreUpdate)           {}
func (watcher) PeerCrashReport(*wire.CrashReport)           {}
func (w watcher) PeerPath(_ string, state path.State)       { w.states <- state }

func reach(t *testing.T, reached func() bool) {
	t.Helper()
	deadline := time.After(30 * time.Second)
	for !reached() {
		select {
		case <-deadline:
			t.Fatal("got no change of the link within 30s")
		case <-time.After(time.Millisecond):
		}
	}
}
