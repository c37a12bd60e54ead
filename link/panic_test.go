package link_test

import (
	"sync/atomic"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// panicCounter counts the panics that are recorded.
type panicCounter struct{ count atomic.Int64 }

func (p *panicCounter) Record(string, any, []byte) { p.count.Add(1) }

// panickingHandler panics with the first dispatch.
type panickingHandler struct{ *countingHandler }

func (h panickingHandler) Dispatch(from uint64, d *wire.Dispatch) {
	h.countingHandler.Dispatch(from, d)
	if h.dispatched.Load() == 1 {
		panic("a fault of this test")
	}
}

// Guards against a frame that ends the node which receives it, and against a link that stays after it.
func TestPanicOfAFrameClosesItsLinkAlone(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	handler, panics := panickingHandler{&countingHandler{announced: make(chan *wire.Announcements, 8)}}, &panicCounter{}
	server := link.NewServer(link.ServerConfig{
		Identity: identity(address, secret), MaxFrame: limit, HeartbeatInterval: clock.Second, Now: clock.NewSystem().Now,
		Handler: handler, Panics: panics, Log: logger(),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	defer func() {
		_ = listener.Close()
		server.Close()
		<-done
	}()
	for range 2 {
		conn, _, err := link.Dial(t.Context(), address, identity("10.0.0.1:7000", secret), limit)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.Send(&wire.Dispatch{ID: wire.RequestID{Entry: 1, Seq: 1}, Attempt: 1}); err != nil {
			t.Fatal(err)
		}
		if handler.dispatched.Load() == 0 {
			waitFor(t, func() bool { return panics.count.Load() == 1 && server.OpenLinks() == 0 })
		}
	}
	waitFor(t, func() bool { return handler.dispatched.Load() == 2 && server.OpenLinks() == 1 })
	if got := panics.count.Load(); got != 1 {
		t.Errorf("got %d panics recorded, want 1", got)
	}
}

// panickingObserver panics with the first heartbeat.
type panickingObserver struct {
	pathObserver

	heartbeats *atomic.Int64
}

func (o panickingObserver) PeerHeartbeat(string, *wire.Heartbeat) {
	if o.heartbeats.Add(1) == 1 {
		panic("a fault of this test")
	}
}

// Guards against a frame that ends the node which dialled, and against a peer that is never dialled again.
func TestPeerDialsAgainAfterAPanic(t *testing.T) {
	address, _ := serve(t, "")
	var heartbeats atomic.Int64
	panics := &panicCounter{}
	peer, stop := runPeer(t, link.PeerConfig{
		Address: address, Observer: panickingObserver{pathObserver{states: make(chan path.State, 64)}, &heartbeats}, HeartbeatInterval: clock.Second / 5, Shared: &link.PeersConfig{Panics: panics},
	})
	defer stop()
	peer.EnsureLink()
	waitFor(t, func() bool { return panics.count.Load() == 1 })
	waitFor(t, func() bool {
		peer.EnsureLink()
		return heartbeats.Load() > 1 && peer.Ready()
	})
}
