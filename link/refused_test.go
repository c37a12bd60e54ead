package link_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Guards against a node that is down and counts as cut off, or the reverse: only a refused
// connection shows that no process runs.
func TestOnlyARefusedLinkShowsThatTheNodeIsDown(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	_, server := serveOn(t, listener, address)
	peer, stop := runPeer(t, link.PeerConfig{
		Address: address, Observer: pathObserver{states: make(chan path.State, 8)}, HeartbeatInterval: clock.Second / 5,
	})
	defer stop()
	peer.EnsureLink()
	waitFor(t, peer.Ready)
	if peer.IsRefused() {
		t.Error("got an open link that counts as refused, want it not to")
	}
	_ = listener.Close()
	server.Close()
	waitFor(t, func() bool { return !peer.Ready() })
	refused := make(chan *wire.QuotaGrant, 1)
	if peer.RequestQuota(&wire.QuotaRequest{Seq: 1}, func(g *wire.QuotaGrant) { refused <- g }) == nil {
		<-refused
	}
	waitFor(t, peer.IsRefused)
}
