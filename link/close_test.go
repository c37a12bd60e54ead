package link_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
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
