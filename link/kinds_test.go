package link_test

import (
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

func announcementsForTest() *wire.Announcements {
	return &wire.Announcements{Upstreams: []wire.Announcement{{Upstream: "conferme-1", IsLimited: true, RateLimit: 1.3}}}
}

// Guards against requests that reach a restarted node before it knows the limits of its
// upstreams.
func TestAnnouncementsAreSentFirstOnEachLink(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	handler, _ := serveOn(t, listener, address)
	peer, stop := runPeer(t, link.PeerConfig{Address: address, Announcements: announcementsForTest, Observer: pathObserver{states: make(chan path.State, 8)}, HeartbeatInterval: 20 * clock.Millis(1)})
	defer stop()
	peer.EnsureLink()
	if got := <-handler.announced; len(got.Upstreams) != 1 || got.Upstreams[0].RateLimit != 1.3 {
		t.Errorf("got %+v, want the limit of conferme-1", got)
	}
	// The announcements are sent before the link counts as open.
	waitFor(t, func() bool { return peer.Accepts(wire.KindAnnouncements) })
}

// serveOlderRelease accepts one link as a release does that doesn't know the kinds above
// wire.BaseKind, and passes on the kinds of the messages that it receives.
func serveOlderRelease(t *testing.T) (address string, received chan wire.Kind) {
	t.Helper()
	listener := listen(t)
	address, received = listener.Addr().String(), make(chan wire.Kind, 64)
	upgrader := websocket.FastHTTPUpgrader{}
	serve := func(socket *websocket.Conn) {
		nonce := wire.Nonce()
		writeMessage(t, socket, &wire.Challenge{Format: wire.Format, Node: address, Incarnation: 2, Nonce: nonce})
		_, frame, err := socket.ReadMessage()
		if err != nil {
			t.Error(err)
			return
		}
		m, err := wire.Decode(frame, limit)
		proof, ok := m.(*wire.Proof)
		if err != nil || !ok {
			t.Errorf("got %T, error %v; want a proof", m, err)
			return
		}
		writeMessage(t, socket, &wire.Welcome{MAC: wire.ComputeMAC(secret, wire.Acceptor, address, 2, nonce, proof.Nonce), Time: 1})
		for {
			_, frame, err := socket.ReadMessage()
			if err != nil {
				return
			}
			received <- wire.Kind(frame[0])
		}
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if err := upgrader.Upgrade(ctx, serve); err != nil {
			t.Error(err)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return address, received
}

// Guards against links that a node of an older release closes, and opens again, because it gets
// a kind of message that it doesn't know.
func TestOlderReleaseGetsNoNewKinds(t *testing.T) {
	address, received := serveOlderRelease(t)
	peer, stop := runPeer(t, link.PeerConfig{Address: address, Announcements: announcementsForTest, Observer: pathObserver{states: make(chan path.State, 8)}, HeartbeatInterval: 20 * clock.Millis(1)})
	defer stop()
	peer.EnsureLink()
	timeout := time.After(30 * time.Second)
	for range 3 {
		select {
		case kind := <-received:
			if kind > wire.BaseKind {
				t.Fatalf("got a message of kind %d, want %d at most", kind, wire.BaseKind)
			}
		case <-timeout:
			t.Fatal("got no three messages")
		}
	}
	if peer.Accepts(wire.KindAnnouncements) {
		t.Error("got a peer of an older release that accepts announcements")
	}
}
