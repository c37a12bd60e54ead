package link_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/wire"
)

// receivedUpdate is an update of the store and the time after which it is known to have been sent.
type receivedUpdate struct {
	update    wire.StoreUpdate
	sentAfter clock.Millis
}

// updateRecorder records the updates and heartbeats that a peer receives.
type updateRecorder struct {
	pathObserver

	received   chan receivedUpdate
	heartbeats chan *wire.Heartbeat
}

func (o updateRecorder) PeerHeartbeat(_ string, m *wire.Heartbeat) { o.heartbeats <- m }

func (o updateRecorder) PeerStoreUpdate(_ string, u *wire.StoreUpdate, sentAfter clock.Millis) {
	o.received <- receivedUpdate{*u, sentAfter}
}

// updateHandler records the updates that a server receives.
type updateHandler struct {
	countingHandler

	received   chan receivedUpdate
	heartbeats chan *wire.Heartbeat
}

func (h *updateHandler) ReceiveUpdate(_ string, u *wire.StoreUpdate, sentAfter clock.Millis) {
	h.received <- receivedUpdate{*u, sentAfter}
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

// Guards against old values that count as current: the updates of a partition's whole length arrive
// when it ends, behind heartbeats that are as late, and nodes put off reading the store.
func TestUpdatesHeldUpByAPartitionKeepTheirAge(t *testing.T) {
	// The two clocks show different times, and both go on by what is added to elapsed.
	var elapsed atomic.Int64
	system := clock.NewSystem()
	peerNow := func() clock.Millis { return system.Now() + clock.Millis(elapsed.Load()) }
	serverNow := func() clock.Millis { return peerNow() + clock.Hour }

	listener := listen(t)
	relay, err := standin.StartRelay(t.Context(), standin.RelayConfig{Address: "127.0.0.1:0", Target: listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	handler := &updateHandler{received: make(chan receivedUpdate, 100), heartbeats: make(chan *wire.Heartbeat, 100)}
	server := link.NewServer(link.ServerConfig{
		Identity: identity(relay.Address(), secret), MaxFrame: limit, HeartbeatInterval: clock.Hour, Now: serverNow, Handler: handler, Log: logger(),
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close(); server.Close() })
	observer := updateRecorder{pathObserver{states: make(chan path.State, 100)}, make(chan receivedUpdate, 100), make(chan *wire.Heartbeat, 100)}
	self := identity("10.0.0.1:7000", secret)
	self.Incarnation = 2
	peer := link.NewPeer(link.PeerConfig{
		Address: relay.Address(), Self: self, MaxFrame: limit, MaxReplyBody: limit, HeartbeatInterval: clock.Hour, Now: peerNow,
		Status: func() wire.Heartbeat { return wire.Heartbeat{} }, Observer: observer, Log: logger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = peer.Run(ctx) }()
	peer.EnsureLink()
	handler.awaitEcho(t)

	relay.SetMode(standin.Freeze)
	const updates = 9
	for i := range updates {
		server.BroadcastHeartbeat()
		server.BroadcastUpdate(&wire.StoreUpdate{Revision: uint64(i), Time: serverNow()}, nil)
		peer.SendUpdate(&wire.StoreUpdate{Revision: uint64(i), Time: peerNow()}, false)
		elapsed.Add(int64(clock.Second))
	}
	relay.SetMode(standin.Pass)
	for range updates {
		got := <-observer.received
		if want := got.update.Time - clock.Hour; got.sentAfter > want || got.sentAfter < want-clock.Second {
			t.Errorf("got update %d from the server counted as sent after %v, want %v or little earlier", got.update.Revision, got.sentAfter, want)
		}
		got = <-handler.received
		if want := got.update.Time + clock.Hour; got.sentAfter > want || got.sentAfter < want-clock.Second {
			t.Errorf("got update %d to the server counted as sent after %v, want %v or little earlier", got.update.Revision, got.sentAfter, want)
		}
	}
}

// Guards against calls of the store that a calm network doesn't need: ages were counted too high by what
// the clocks may have drifted since the link was opened, and by the age of the echoes in regular heartbeats.
func TestAgesStayExactOnACalmLink(t *testing.T) {
	var elapsed atomic.Int64
	elapsed.Store(int64(clock.Second)) // an echo of the time 0 would be none
	system := clock.NewSystem()
	now := func() clock.Millis { return system.Now() + clock.Millis(elapsed.Load()) }
	listener := listen(t)
	handler := &updateHandler{received: make(chan receivedUpdate, 1), heartbeats: make(chan *wire.Heartbeat, 100)}
	server := link.NewServer(link.ServerConfig{
		Identity: identity(listener.Addr().String(), secret), MaxFrame: limit, HeartbeatInterval: clock.Hour, Now: now, Handler: handler, Log: logger(),
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close(); server.Close() })
	observer := updateRecorder{pathObserver{states: make(chan path.State, 100)}, make(chan receivedUpdate, 1), make(chan *wire.Heartbeat, 100)}
	self := identity("10.0.0.1:7000", secret)
	self.Incarnation = 2
	peer := link.NewPeer(link.PeerConfig{
		Address: listener.Addr().String(), Self: self, MaxFrame: limit, MaxReplyBody: limit, HeartbeatInterval: clock.Hour, IdleTimeout: clock.Day, Now: now,
		Status: func() wire.Heartbeat { return wire.Heartbeat{} }, Observer: observer, Log: logger(),
	})
	go func() { _ = peer.Run(t.Context()) }()
	peer.EnsureLink()
	handler.awaitEcho(t)
	<-observer.heartbeats
	<-observer.heartbeats // the answer to the answer to the first one

	elapsed.Add(int64(40 * clock.Minute)) // drift may be 2.4 s by now
	server.BroadcastHeartbeat()
	handler.awaitEcho(t)
	const allowed = 500 * clock.Millis(1)
	fromServer, toServer := clock.Hour, clock.Hour
	for range 100 { // until the answer to the answer has arrived
		server.BroadcastUpdate(&wire.StoreUpdate{Revision: 1, Time: now()}, nil)
		peer.SendUpdate(&wire.StoreUpdate{Revision: 1, Time: now()}, false)
		got := <-observer.received
		fromServer = min(fromServer, got.update.Time-got.sentAfter)
		got = <-handler.received
		toServer = min(toServer, got.update.Time-got.sentAfter)
		if fromServer <= allowed && toServer <= allowed {
			return
		}
		<-time.After(10 * time.Millisecond)
	}
	t.Errorf("got ages that are too high by %v from the server and %v to the server, want %v at most", fromServer, toServer, allowed)
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
