package link_test

import (
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Guards against an accepted link that stays open at the peer after this side has closed it: the
// peer would keep sending on it, and wait for replies that never come.
func TestClosedLinkEndsAtThePeer(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	_, server := serveOn(t, listener, address)
	peer, stop := runPeer(t, link.PeerConfig{
		Address: address, Observer: pathObserver{states: make(chan path.State, 8)}, HeartbeatInterval: clock.Hour,
	})
	defer stop()
	peer.EnsureLink()
	waitFor(t, func() bool { return peer.Ready() && server.OpenLinks() == 1 })
	_ = listener.Close()
	server.Close()
	waitFor(t, func() bool { return !peer.Ready() })
}

// replyObserver passes on the replies of a dispatch.
type replyObserver struct {
	replies chan *wire.Reply
}

func (o replyObserver) Replied(r *wire.Reply) { o.replies <- r }
func (replyObserver) Resolved(bool)           {}
func (replyObserver) NotSent()                {}
func (replyObserver) PathLost()               {}
func (replyObserver) Hung()                   {}

// Guards against replies that are lost with a link which its entry never uses: the handshake took
// too long for the entry, which keeps its other link and waits there.
func TestUnusedLinkTakesNoReplies(t *testing.T) {
	address, handler, server := serveLinks(t, "")
	peer, stop := runPeer(t, link.PeerConfig{
		Address: address, Observer: pathObserver{states: make(chan path.State, 8)}, HeartbeatInterval: clock.Hour,
	})
	defer stop()
	peer.EnsureLink()
	waitFor(t, func() bool { return peer.Ready() && server.OpenLinks() == 1 })
	unused, _, err := link.Dial(t.Context(), address, identity("10.0.0.1:7000", secret), limit)
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	observer := replyObserver{replies: make(chan *wire.Reply, 1)}
	id := wire.RequestID{Entry: 1, Seq: 1}
	if err := peer.Dispatch(&wire.Dispatch{ID: id, Attempt: 1, Upstream: "conferme-1", Budget: clock.Hour}, observer); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return handler.dispatched.Load() == 1 })
	server.SendReply(1, &wire.Reply{ID: id, Attempt: 1, Outcome: wire.NotRun})
	select {
	case <-observer.replies:
	case <-time.After(30 * time.Second):
		t.Error("got no reply within 30s")
	}
}
