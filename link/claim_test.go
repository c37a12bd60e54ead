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

// claimEvents passes on the names of a claim's events.
type claimEvents chan string

func (e claimEvents) Answered(*wire.Reservation) { e <- "answered" }
func (e claimEvents) Queued(clock.Millis)        { e <- "queued" }
func (e claimEvents) Lost()                      { e <- "lost" }

func (e claimEvents) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-e:
		if got != want {
			t.Errorf("got the claim %s, want it %s", got, want)
		}
	case <-time.After(30 * time.Second):
		t.Fatalf("got nothing within 30s, want the claim %s", want)
	}
}

func sendClaim(t *testing.T, peer *link.Peer) claimEvents {
	t.Helper()
	events := make(claimEvents, 4)
	probe := wire.CapacityProbe{ID: wire.RequestID{Entry: 1, Seq: 1}, Attempt: 1, Upstream: "c1", Budget: clock.Hour, WaitBudget: clock.Hour}
	if err := peer.ClaimSlot(&wire.SlotClaim{Probe: probe}, events); err != nil {
		t.Fatal(err)
	}
	return events
}

// Guards against requests that wait for a gate that has failed: the path to it is cut, or the
// link that its claims belong to has ended.
func TestClaimsAreLostWithTheirLink(t *testing.T) {
	t.Run("path cut", func(t *testing.T) {
		peer, relay, _ := newLinkedPeer(t)
		relay.SetMode(standin.DropToTarget)
		sendClaim(t, peer).expect(t, "lost")
	})
	t.Run("link ended", func(t *testing.T) {
		address, handler, server := serveLinks(t, "")
		peer, _ := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: clock.Hour, Observer: pathObserver{states: make(chan path.State, 8)}})
		events := sendClaim(t, peer) // waits for the link
		waitFor(t, func() bool { return handler.claimed.Load() == 1 })
		server.SendClaimQueued(1, &wire.ClaimQueued{ID: wire.RequestID{Entry: 1, Seq: 1}, Attempt: 1, Upstream: "c1", Wait: 9})
		events.expect(t, "queued")
		server.Close()
		events.expect(t, "lost")
		waitFor(t, func() bool { return handler.lost.Load() == 1 })
	})
}

// Guards against links that a node of an older release closes because it gets a claim, and
// against claims there that end for lack of a confirmation, which that node doesn't send.
func TestOlderReleaseGetsCapacityProbeForClaim(t *testing.T) {
	address, received := serveOlderRelease(t)
	peer, stop := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: clock.Hour, Observer: pathObserver{states: make(chan path.State, 8)}})
	defer stop()
	sendClaim(t, peer).expect(t, "queued")
	timeout := time.After(30 * time.Second)
	for {
		select {
		case kind := <-received:
			if kind == wire.KindCapacityProbe {
				return
			}
			if kind > wire.BaseKind {
				t.Fatalf("got a message of kind %d, want %d at most", kind, wire.BaseKind)
			}
		case <-timeout:
			t.Fatal("got no capacity probe")
		}
	}
}

// Guards against claims that are lost because their link counts as idle: a claim may wait for
// longer than the idle timeout.
func TestLinkWithAClaimIsNotIdle(t *testing.T) {
	address, handler := serve(t, "")
	peer, _ := runPeer(t, link.PeerConfig{Address: address, IdleTimeout: 20, HeartbeatInterval: clock.Second, Observer: pathObserver{states: make(chan path.State, 8)}})
	events := sendClaim(t, peer)
	waitFor(t, func() bool { return handler.claimed.Load() == 1 })
	select {
	case got := <-events:
		t.Errorf("got the claim %s, want it to wait", got)
	case <-time.After(600 * time.Millisecond): // the peer checks for idle links four times per heartbeat
	}
}
