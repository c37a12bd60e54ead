package mirror_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
)

// graceFixture is a follower whose calls of the store fail.
type graceFixture struct {
	follower *mirror.Follower
	now      func() clock.Millis
	// removedAt is when a was delivered no more, 0 before that.
	removedAt atomic.Int64
}

// runCutOff runs the scenario beside a follower that holds a and b at revision 5 and, from the start
// on, reaches the store for none of its calls.
func runCutOff(t *testing.T, scenario func(g *graceFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &graceFixture{now: clock.NewSystem().Now}
		<-time.After(time.Second)
		s := &scriptedStore{lists: [][]mirror.Item{{}}, now: g.now, onDone: func() {}}
		for range 1000 {
			s.watchErrors = append(s.watchErrors, mirror.ErrUnavailable)
		}
		g.follower = mirror.NewFollower(mirror.FollowerConfig{
			Store: s, Now: g.now, OnAvailability: func(error) {}, ExpectedRemoval: func(old mirror.Item) bool { return old.Key != "b" },
			Deliver: func(items []mirror.Item, _ bool) {
				if !slices.Contains(keys(items), "a") {
					g.removedAt.CompareAndSwap(0, int64(g.now()))
				}
			},
		})
		if !g.follower.SeedReplica(mirror.Replica{Items: []mirror.Item{item("a", 4), item("b", 5)}, Revision: 5, CurrentAt: g.now()}) {
			t.Fatal("got the initial copy refused, want it accepted")
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = g.follower.Serve(ctx) }() // returns when ctx ends
		<-time.After(6 * time.Second)
		scenario(g)
		cancel()
		synctest.Wait()
	})
}

// receive passes on an update that names the state of the store at currentAt.
func (g *graceFixture) receive(currentAt clock.Millis, since, revision uint64, events ...mirror.Event) {
	g.follower.ReceiveUpdate(mirror.Update{CurrentAt: currentAt, Since: since, Revision: revision, Events: events})
}

// The removal of a is expected. That of b needs a call of the store that confirms it.
var (
	removalOfA = mirror.Event{Item: mirror.Item{Key: "a", Revision: 8}, Gone: true}
	removalOfB = mirror.Event{Item: mirror.Item{Key: "b", Revision: 7}, Gone: true}
)

// Guards against an upstream that is used for seconds after it has left: each update that reached a node
// whose own calls still failed started the grace period of removed values again.
func TestGracePeriodOfAnOutageStartsOnce(t *testing.T) {
	runCutOff(t, func(g *graceFixture) {
		returnedAt := g.now()
		g.receive(returnedAt, 5, 7, removalOfB)
		<-time.After(time.Second)
		g.receive(g.now(), 7, 8, removalOfA)
		for range 8 {
			<-time.After(500 * time.Millisecond)
			g.receive(g.now(), 8, 8)
		}
		if got, want := clock.Millis(g.removedAt.Load()), returnedAt+2*clock.Second; got == 0 || got > want {
			t.Errorf("got the value removed at %v, want %v at the latest", got, want)
		}
	})
}

// Guards against an upstream that is used until the next update, when the grace period is over.
func TestGracePeriodEndsWithoutAnUpdate(t *testing.T) {
	runCutOff(t, func(g *graceFixture) {
		returnedAt := g.now()
		g.receive(returnedAt, 5, 8, removalOfA)
		<-time.After(1900 * time.Millisecond)
		want := returnedAt + 2*clock.Second
		if got := clock.Millis(g.removedAt.Load()); got != 0 {
			t.Errorf("got the value removed at %v, want it kept until %v", got, want)
		}
		<-time.After(200 * time.Millisecond)
		if got := clock.Millis(g.removedAt.Load()); got != want {
			t.Errorf("got the value removed at %v, want %v", got, want)
		}
	})
}

// Guards against a grace period that late updates start: they tell what the store held long ago, not
// that it has returned.
func TestLateUpdatesStartNoGracePeriod(t *testing.T) {
	runCutOff(t, func(g *graceFixture) {
		returnedAt := g.now()
		g.receive(returnedAt, 5, 7)
		<-time.After(3 * time.Second)
		for age := 3 * clock.Second; age > 0; age -= 500 { // the store has answered others all the time
			g.receive(g.now()-age, 7, 7)
		}
		want := g.now()
		g.receive(want, 7, 8, removalOfA)
		if got := clock.Millis(g.removedAt.Load()); got != want {
			t.Errorf("got the value removed at %v, want %v at once", got, want)
		}
	})
}
