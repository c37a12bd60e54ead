package link_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Guards against a goroutine for each node of the fleet: with 983 nodes each process held as many
// stacks, used or not. A peer runs while it is needed, and again after it has stopped.
func TestPeersRunOnlyWhileTheyAreNeeded(t *testing.T) {
	address, _, server := serveLinks(t, "")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var started, running atomic.Int64
	var peer *link.Peer
	peer = link.NewPeer(link.PeerConfig{
		Address: address, Self: identity("10.0.0.1:7000", secret), MaxFrame: limit, MaxReplyBody: limit,
		HeartbeatInterval: 40, IdleTimeout: 100, Now: clock.NewSystem().Now,
		Status: func() wire.Heartbeat { return wire.Heartbeat{} }, Observer: pathObserver{states: make(chan path.State, 100)}, Log: logger(),
		Start: func() {
			started.Add(1)
			running.Add(1)
			go func() {
				_ = peer.Run(ctx) // returns nil when the peer isn't needed
				running.Add(-1)
			}()
		},
	})
	if got := started.Load(); got != 0 {
		t.Fatalf("got %d runs of a peer that isn't needed, want none", got)
	}
	for round := range int64(3) {
		peer.EnsureLink()
		waitFor(t, func() bool { return server.OpenLinks() > 0 || peer.Ready() })
		waitFor(t, func() bool { return running.Load() == 0 })
		if got, want := started.Load(), round+1; got != want {
			t.Errorf("got %d runs after %d links, want %d", got, round+1, want)
		}
	}
	peer.EnsureLink()
	waitFor(t, func() bool { return running.Load() == 1 })
	peer.End()
	waitFor(t, func() bool { return running.Load() == 0 })
	peer.EnsureLink()
	if got := running.Load(); got != 0 {
		t.Errorf("got %d runs of a peer that has ended, want none", got)
	}
}

// Guards against a deadlock between requests that need a link and the check whether the peer may stop: a
// node would never send to the peer again.
func TestPeersAreNeededWhileTheyCheckWhetherToStop(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var peer *link.Peer
	peer = link.NewPeer(link.PeerConfig{
		Address: "127.0.0.1:1", Self: identity("10.0.0.1:7000", secret), MaxFrame: limit, MaxReplyBody: limit,
		HeartbeatInterval: 4, IdleTimeout: 1, Now: clock.NewSystem().Now,
		Status: func() wire.Heartbeat { return wire.Heartbeat{} }, Observer: pathObserver{states: make(chan path.State, 1<<20)}, Log: logger(),
		Start: func() { go func() { _ = peer.Run(ctx) }() }, // returns when the peer isn't needed
	})
	const senders, rounds = 8, 4000
	var requests sync.WaitGroup
	for sender := range uint64(senders) {
		requests.Go(func() {
			for seq := sender; seq < senders*rounds; seq += senders {
				_ = peer.RequestQuota(&wire.QuotaRequest{Seq: seq}, func(*wire.QuotaGrant) {}) // nothing listens there
				peer.ForgetQuotaRequest(seq)
				if seq%64 == sender {
					<-time.After(time.Millisecond)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		requests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("got no end of the requests within 20s, want one")
	}
}

// lossObserver records the notices of a dispatch in their order.
type lossObserver struct {
	resultObserver

	lost atomic.Int64
}

func (o *lossObserver) PathLost() { o.lost.Add(1) }

// Guards against a request that waits for a link to a node which has ended, and whose entry learns
// that the path is lost: it takes the request, which was never sent, for one that may have run.
func TestUnsentDispatchIsNotLost(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	_ = listener.Close() // the node has ended
	peer := runQuietPeer(t, address)
	observer := &lossObserver{resultObserver: newResultObserver()}
	if err := peer.Dispatch(newDispatch(1), observer); err != nil {
		t.Fatal(err)
	}
	if got := observer.await(t); got != "not sent" {
		t.Errorf("got %q, want it not sent", got)
	}
	if got := observer.lost.Load(); got != 0 {
		t.Errorf("got %d notices that the path is lost, want none", got)
	}
}
