package link_test

import (
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/wire"
)

// updateObserver reports its index for each update of the store that it receives.
type updateObserver struct {
	pathObserver

	index    int
	received chan int
}

func (o updateObserver) PeerStoreUpdate(string, *wire.StoreUpdate, clock.Millis) {
	o.received <- o.index
}

// Guards against updates that go to every node with a link, or back to the node that they are from: in a
// large fleet each would cross every link.
func TestUpdatesAreForwardedToSubscribersOnly(t *testing.T) {
	address, _, server := serveLinks(t, "")
	received := make(chan int, 16)
	for i := range 3 {
		self := identity(fmt.Sprintf("10.0.0.%d:7000", i), secret)
		self.Incarnation = uint64(i + 10)
		peer := link.NewPeer(link.PeerConfig{
			Address: address, Self: self, MaxFrame: limit, MaxReplyBody: limit, HeartbeatInterval: clock.Second, Now: clock.NewSystem().Now,
			Status: func() wire.Heartbeat { return wire.Heartbeat{} }, Observer: updateObserver{index: i, received: received}, Log: logger(),
		})
		go func() { _ = peer.Run(t.Context()) }()
		peer.EnsureLink()
	}
	waitFor(t, func() bool { return server.OpenLinks() == 3 })
	server.SetSubscribed(10, true, false)
	server.SetSubscribed(11, true, true) // joining
	for _, tt := range []struct {
		name, from  string
		joiningOnly bool
		want        []int
	}{
		{"from outside", "10.0.0.9:7000", false, []int{0, 1}},
		{"from a subscriber", "10.0.0.0:7000", false, []int{1}},
		{"between readers", "10.0.0.9:7000", true, []int{1}},
	} {
		if got := server.ForwardUpdate(&wire.StoreUpdate{Since: 1, Revision: 2}, false, tt.from, tt.joiningOnly); got != len(tt.want) {
			t.Errorf("%s: got %d receivers, want %d", tt.name, got, len(tt.want))
		}
		sum := 0
		for range tt.want {
			sum += 1 << <-received
		}
		wantSum := 0
		for _, i := range tt.want {
			wantSum += 1 << i
		}
		if sum != wantSum {
			t.Errorf("%s: got updates at entries %b, want %b", tt.name, sum, wantSum)
		}
	}
	server.SetSubscribed(10, false, false)
	if got, want := server.Subscribers(), 1; got != want {
		t.Errorf("got %d subscribers after one ended, want %d", got, want)
	}
}
