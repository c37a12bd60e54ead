package link_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// profileObserver passes on the profiles that it receives.
type profileObserver struct {
	pathObserver

	received chan *wire.UpstreamProfile
}

func (o profileObserver) PeerProfile(p *wire.UpstreamProfile) { o.received <- p }

// PeerPath ignores the path's state, because the test ends with an open link.
func (profileObserver) PeerPath(string, path.State) {}

// Guards against profiles that close the link of the entry that gets them, as a message of an
// unknown kind does.
func TestProfileReachesEntriesWithLinks(t *testing.T) {
	address, _, server := serveLinks(t, "")
	received := make(chan *wire.UpstreamProfile, 1)
	peer, _ := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: clock.Second, Observer: profileObserver{received: received}})
	peer.EnsureLink()
	waitFor(t, func() bool { return peer.Ready() && server.OpenLinks() == 1 })
	server.BroadcastProfile(&wire.UpstreamProfile{Upstream: "conferme-1", Speed: 0.5, Concurrency: 3})
	waitFor(t, func() bool { return len(received) == 1 })
	if got := <-received; got.Upstream != "conferme-1" || got.Speed != 0.5 || got.Concurrency != 3 {
		t.Errorf("got %+v, want the profile of conferme-1", got)
	}
	if !peer.Ready() {
		t.Error("got the link closed by a profile, want it open")
	}
}
