package link_test

import (
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// updateHandler records the heartbeats that a server receives.
type updateHandler struct {
	countingHandler

	heartbeats chan *wire.Heartbeat
}

func (h *updateHandler) Heartbeat(_ string, m *wire.Heartbeat) { h.heartbeats <- m }

// awaitEcho returns the first echo of the server's heartbeats.
func (h *updateHandler) awaitEcho(t *testing.T) clock.Millis {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case m := <-h.heartbeats:
			if m.Echo > 0 {
				return m.Echo
			}
		case <-timeout:
			t.Fatal("got no echo within 30s")
		}
	}
}

// Guards against ages that are counted by the clock of an earlier process of a node: the new one
// would take an echo of its predecessor's heartbeat for one of its own, and stop before its peers
// know that it leaves.
func TestNewProcessGetsNoEchoOfItsPredecessor(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	first, second := clock.NewSystem().Now, clock.NewSystem().Now
	serveProcess := func(incarnation uint64, now func() clock.Millis) (*updateHandler, *link.Server) {
		handler := &updateHandler{heartbeats: make(chan *wire.Heartbeat, 100)}
		self := identity(address, secret)
		self.Incarnation = incarnation
		server := link.NewServer(link.ServerConfig{Identity: self, MaxFrame: limit, HeartbeatInterval: clock.Hour, Now: now, Handler: handler, Log: logger()})
		return handler, server
	}
	handler, server := serveProcess(1, func() clock.Millis { return first() + clock.Hour })
	go func() { _ = server.Serve(listener) }()
	self := identity("10.0.0.1:7000", secret)
	self.Incarnation = 9
	peer := link.NewPeer(link.PeerConfig{
		Address: address, Self: self, MaxFrame: limit, MaxReplyBody: limit, HeartbeatInterval: 100 * clock.Millis(1), Now: clock.NewSystem().Now,
		Status: func() wire.Heartbeat { return wire.Heartbeat{} }, Observer: pathObserver{states: make(chan path.State, 1000)}, Log: logger(),
	})
	go func() { _ = peer.Run(t.Context()) }()
	peer.EnsureLink()
	handler.awaitEcho(t)
	_ = listener.Close()
	server.Close()

	var listening error
	for began := time.Now(); time.Since(began) < 10*time.Second; <-time.After(10 * time.Millisecond) {
		if listener, listening = listenOn(address); listening == nil {
			break
		}
	}
	if listening != nil {
		t.Fatal(listening)
	}
	handler, server = serveProcess(2, second)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close(); server.Close() })
	if echo, now := handler.awaitEcho(t), second(); echo > now {
		t.Fatalf("got the echo %v at %v of the new process's clock, want an earlier time", echo, now)
	}
	if server.HeartbeatEchoed(clock.Minute) {
		t.Error("got a heartbeat echoed that wasn't sent yet")
	}
}
