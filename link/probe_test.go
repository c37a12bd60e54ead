package link_test

import (
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/wire"
)

// waiting is told what becomes of a dispatch.
type waiting struct {
	lost chan struct{}
}

func (*waiting) Replied(*wire.Reply) {}
func (*waiting) Resolved(bool)       {}
func (*waiting) NotSent()            {}
func (w *waiting) PathLost()         { w.lost <- struct{}{} }
func (*waiting) Hung()               {}

// A path is cut in one direction, and requests on it waited until heartbeats were missed,
// most of them for their whole deadline. Heartbeats are an hour apart here.
func TestCutPathIsLostBeforeHeartbeatsAreMissed(t *testing.T) {
	for _, tt := range []struct {
		name string
		mode standin.RelayMode
	}{{"to the peer", standin.DropToTarget}, {"from the peer", standin.DropFromTarget}} {
		t.Run(tt.name, func(t *testing.T) {
			peer, relay, states := linked(t)
			relay.SetMode(tt.mode)
			w := &waiting{lost: make(chan struct{}, 1)}
			send(t, peer, w)
			select {
			case <-w.lost:
			case <-time.After(30 * time.Second):
				t.Fatal("got no word of the cut within 30s")
			}
			if got := <-states; got != path.Lost {
				t.Errorf("got state %v, want %v", got, path.Lost)
			}
		})
	}
}

// A gate that takes long over a request is no cut path.
func TestSlowAnswerLosesNoPath(t *testing.T) {
	peer, _, states := linked(t)
	w := &waiting{lost: make(chan struct{}, 1)}
	send(t, peer, w)
	<-time.After((2 * (path.PingDelay + path.PingTimeout)).Duration())
	select {
	case got := <-states:
		t.Errorf("got state %v, want no change", got)
	case <-w.lost:
		t.Error("got the path lost, want it kept")
	default:
	}
}

func send(t *testing.T, peer *link.Peer, w link.DispatchObserver) {
	t.Helper()
	d := &wire.Dispatch{ID: wire.RequestID{Entry: 1, Seq: 1}, Attempt: 1, Budget: clock.Hour, Upstream: "c1", URI: "/turni"}
	if err := peer.Dispatch(d, w); err != nil {
		t.Fatal(err)
	}
}

// serveBehindRelay starts a node's link side that is reached over a relay.
func serveBehindRelay(t *testing.T) *standin.Relay {
	t.Helper()
	listener := listen(t)
	relay, err := standin.StartRelay(t.Context(), standin.RelayConfig{Address: "127.0.0.1:0", Target: listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	serveOn(t, listener, relay.Address())
	return relay
}

// linked returns a peer with an open link over a relay, and the path's changes.
func linked(t *testing.T) (*link.Peer, *standin.Relay, chan path.State) {
	t.Helper()
	relay := serveBehindRelay(t)
	states := make(chan path.State, 16)
	peer, _ := runPeer(t, link.PeerConfig{Address: relay.Address(), HeartbeatInterval: clock.Hour, Observer: watcher{states}})
	peer.EnsureLink()
	reach(t, peer.Ready)
	return peer, relay, states
}

// slowWatcher takes its time over the news that a path is lost.
type slowWatcher struct {
	watcher
	entered, release chan struct{}
}

func (w *slowWatcher) PeerPath(node string, state path.State) {
	if state == path.Lost {
		w.entered <- struct{}{}
		<-w.release
	}
	w.watcher.PeerPath(node, state)
}

// A path is back while it is still being told as lost. Told by two goroutines, the older
// news came last, and the upstream behind it got no request for good.
func TestNewsOfAPathKeepTheirOrder(t *testing.T) {
	relay := serveBehindRelay(t)
	states := make(chan path.State, 16)
	w := &slowWatcher{watcher: watcher{states}, entered: make(chan struct{}, 16), release: make(chan struct{})}
	peer, _ := runPeer(t, link.PeerConfig{Address: relay.Address(), HeartbeatInterval: clock.Second, RedialDelay: 20, Observer: w})
	peer.EnsureLink()
	reach(t, peer.Ready)
	relay.SetMode(standin.BlackholeOpen)
	send(t, peer, &waiting{lost: make(chan struct{}, 1)})
	<-w.entered
	<-time.After(time.Second)
	close(w.release)
	last := path.Suspected
	reach(t, func() bool {
		for len(states) > 0 {
			last = <-states
		}
		return last == path.Good
	})
	<-time.After(100 * time.Millisecond)
	for len(states) > 0 {
		last = <-states
	}
	if last != path.Good {
		t.Errorf("got state %v told last, want %v", last, path.Good)
	}
}
