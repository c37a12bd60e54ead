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

// dispatchObserver reports when the path of a dispatch is lost.
type dispatchObserver struct {
	pathLost chan struct{}
}

func (*dispatchObserver) Replied(*wire.Reply) {}
func (*dispatchObserver) Resolved(bool)       {}
func (*dispatchObserver) NotSent()            {}
func (o *dispatchObserver) PathLost()         { o.pathLost <- struct{}{} }
func (*dispatchObserver) Hung()               {}

// Guards against requests that wait for missed heartbeats, and mostly until their deadline,
// when a path is cut in one direction. The heartbeat interval of the test is an hour, so
// that only pings can detect the cut.
func TestCutPathIsLostBeforeHeartbeatsAreMissed(t *testing.T) {
	for _, tt := range []struct {
		name string
		mode standin.RelayMode
	}{{"to the peer", standin.DropToTarget}, {"from the peer", standin.DropFromTarget}} {
		t.Run(tt.name, func(t *testing.T) {
			peer, relay, states := newLinkedPeer(t)
			relay.SetMode(tt.mode)
			observer := &dispatchObserver{pathLost: make(chan struct{}, 1)}
			sendDispatch(t, peer, observer)
			select {
			case <-observer.pathLost:
			case <-time.After(30 * time.Second):
				t.Fatal("got no notification of the lost path within 30s")
			}
			if got := <-states; got != path.Lost {
				t.Errorf("got state %v, want %v", got, path.Lost)
			}
		})
	}
}

// A gate that takes long to answer a request doesn't make the path lost.
func TestSlowAnswerKeepsPathGood(t *testing.T) {
	peer, _, states := newLinkedPeer(t)
	observer := &dispatchObserver{pathLost: make(chan struct{}, 1)}
	sendDispatch(t, peer, observer)
	<-time.After((2 * (path.PingDelay + path.PingTimeout)).Duration())
	select {
	case got := <-states:
		t.Errorf("got state %v, want no change", got)
	case <-observer.pathLost:
		t.Error("got the path lost, want it good")
	default:
	}
}

func sendDispatch(t *testing.T, peer *link.Peer, observer link.DispatchObserver) {
	t.Helper()
	d := &wire.Dispatch{ID: wire.RequestID{Entry: 1, Seq: 1}, Attempt: 1, Budget: clock.Hour, Upstream: "c1", URI: "/turni"}
	if err := peer.Dispatch(d, observer); err != nil {
		t.Fatal(err)
	}
}

// serveBehindRelay starts a node's link server behind a relay, and returns the relay.
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

// newLinkedPeer returns a peer with an open link over a relay, the relay, and the state
// changes of the path.
func newLinkedPeer(t *testing.T) (*link.Peer, *standin.Relay, chan path.State) {
	t.Helper()
	relay := serveBehindRelay(t)
	states := make(chan path.State, 16)
	peer, _ := runPeer(t, link.PeerConfig{Address: relay.Address(), HeartbeatInterval: clock.Hour, Observer: pathObserver{states}})
	peer.EnsureLink()
	waitFor(t, peer.Ready)
	return peer, relay, states
}

// slowPathObserver blocks while it handles the loss of a path.
type slowPathObserver struct {
	pathObserver
	lossNotified, release chan struct{}
}

func (o *slowPathObserver) PeerPath(node string, state path.State) {
	if state == path.Lost {
		o.lossNotified <- struct{}{}
		<-o.release
	}
	o.pathObserver.PeerPath(node, state)
}

// Guards against notifications out of order. A path recovers while its observer is still
// handling the loss. If two goroutines notified the observer, the loss could arrive last,
// and the upstream behind the path would never get a request again.
func TestPathChangesAreNotifiedInOrder(t *testing.T) {
	relay := serveBehindRelay(t)
	states := make(chan path.State, 16)
	observer := &slowPathObserver{pathObserver: pathObserver{states}, lossNotified: make(chan struct{}, 16), release: make(chan struct{})}
	peer, _ := runPeer(t, link.PeerConfig{Address: relay.Address(), HeartbeatInterval: clock.Second, RedialDelay: 20, Observer: observer})
	peer.EnsureLink()
	waitFor(t, peer.Ready)
	relay.SetMode(standin.BlackholeOpen)
	sendDispatch(t, peer, &dispatchObserver{pathLost: make(chan struct{}, 1)})
	<-observer.lossNotified
	<-time.After(time.Second)
	close(observer.release)
	last := path.Suspected
	waitFor(t, func() bool {
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
		t.Errorf("got %v as the last state, want %v", last, path.Good)
	}
}
