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

// recordedCalls returns the calls made so far.
func (s *scriptedStore) recordedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// newFollowerWithEvidence returns a follower that holds a and b at revision 5, with evidence of a until
// isForgotten is set, and the store that it reads.
func newFollowerWithEvidence(t *testing.T, isForgotten *atomic.Bool) (*mirror.Follower, *scriptedStore) {
	t.Helper()
	s := &scriptedStore{lists: [][]mirror.Item{{}}, now: clock.NewSystem().Now, onDone: func() {}}
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: clock.Minute, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Evidence: func(old mirror.Item) mirror.Evidence {
			if old.Key == "a" && !isForgotten.Load() {
				return mirror.EvidencePeer
			}
			return mirror.EvidenceNone
		},
	})
	if !f.SeedReplica(mirror.Replica{Items: []mirror.Item{item("a", 4), item("b", 5)}, Revision: 5}) {
		t.Fatal("got the initial copy refused, want it accepted")
	}
	return f, s
}

// Guards against calls that grow with the fleet: each upstream that left without announcing it cost
// a call of every node, 983 for one upstream.
func TestRemovalOfUnusedUpstreamNeedsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFollowerWithEvidence(t, new(atomic.Bool))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Serve(ctx) }() // returns when ctx ends
		f.ReceiveUpdate(mirror.Update{CurrentAt: s.now(), Since: 5, Revision: 7, Events: []mirror.Event{{Item: mirror.Item{Key: "b", Revision: 7}, Gone: true}}})
		<-time.After(5 * time.Second)
		items, _ := f.Snapshot()
		if got, want := keys(items), []string{"a"}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
		if got := len(s.recordedCalls()); got != 0 {
			t.Errorf("got %d calls, want none", got)
		}
		f.ReceiveUpdate(mirror.Update{CurrentAt: s.now(), Since: 7, Revision: 9, Events: []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 9}, Gone: true}}})
		<-time.After(5 * time.Second)
		if got := s.recordedCalls(); len(got) == 0 || got[0] != "watch" {
			t.Errorf("got calls %v after the removal of an upstream that this node uses, want a watch", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against calls that grow with the links of a fleet: the node beside an upstream asks the store,
// and the nodes with a link to it take its word.
func TestRemovalIsConfirmedByTheNodeBesideTheUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isForgotten atomic.Bool
		f, s := newFollowerWithEvidence(t, &isForgotten)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Serve(ctx) }() // returns when ctx ends
		<-time.After(5 * time.Second)    // after the window of a call
		f.ReceiveUpdate(mirror.Update{CurrentAt: s.now(), Since: 5, Revision: 7, Events: []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 7}, Gone: true}}})
		<-time.After(50 * time.Millisecond)
		items, _ := f.Snapshot()
		if got, want := keys(items), []string{"a", "b"}; !slices.Equal(got, want) {
			t.Errorf("got %v before the confirmation, want %v", got, want)
		}
		isForgotten.Store(true)
		f.RecheckRemovals()
		items, _ = f.Snapshot()
		if got, want := keys(items), []string{"b"}; !slices.Equal(got, want) {
			t.Errorf("got %v after the confirmation, want %v", got, want)
		}
		<-time.After(5 * time.Second)
		if got := len(s.recordedCalls()); got != 0 {
			t.Errorf("got %d calls, want none", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a node that drops what only it can reach: while its own calls fail, it may be cut
// off together with the upstream.
func TestRemovalNeedsConfirmationWhileCallsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFollowerWithEvidence(t, new(atomic.Bool))
		for range 1000 {
			s.watchErrors = append(s.watchErrors, mirror.ErrUnavailable)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Serve(ctx) }() // returns when ctx ends
		<-time.After(45 * time.Second)
		f.ReceiveUpdate(mirror.Update{CurrentAt: s.now(), Since: 5, Revision: 7, Events: []mirror.Event{{Item: mirror.Item{Key: "b", Revision: 7}, Gone: true}}})
		items, _ := f.Snapshot()
		if got, want := keys(items), []string{"a", "b"}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a node that reads the store because it has replaced a link: the changes that it
// has missed come from its peer.
func TestChangesSinceARevisionAreMerged(t *testing.T) {
	var delivered [][]mirror.Item
	f, other := newFollowerAtRevision5(t, &delivered), newFollowerAtRevision5(t, &delivered)
	f.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 5, Revision: 7, Events: []mirror.Event{{Item: item("c", 7)}}})
	f.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 7, Revision: 9, Events: []mirror.Event{{Item: item("c", 8)}, {Item: item("d", 9)}}})
	u, ok := f.ChangesSince(5)
	if !ok || u.Since != 5 || u.Revision != 9 {
		t.Fatalf("got %+v, %v, want the changes from 5 to 9", u, ok)
	}
	other.ReceiveUpdate(u)
	items, revision := other.Snapshot()
	if got, want := keys(items), []string{"a", "b", "c", "d"}; !slices.Equal(got, want) || revision != 9 {
		t.Errorf("got %v at revision %d, want %v at 9", got, revision, want)
	}
	if u, ok := f.ChangesSince(4); ok {
		t.Errorf("got %+v for a revision before the recent updates, want none", u)
	}
}

// Guards against updates that nodes send to each other without end, and against updates that are
// not forwarded.
func TestOnlyNewsIsForwarded(t *testing.T) {
	var delivered [][]mirror.Item
	f := newFollowerAtRevision5(t, &delivered)
	for _, tt := range []struct {
		name   string
		update mirror.Update
		want   bool
	}{
		{"change", mirror.Update{Since: 5, Revision: 7, CurrentAt: frozenNow - 500, Events: []mirror.Event{{Item: item("c", 7)}}}, true},
		{"the same change by another way", mirror.Update{Since: 5, Revision: 7, CurrentAt: frozenNow - 500, Events: []mirror.Event{{Item: item("c", 7)}}}, false},
		{"a little fresher", mirror.Update{Since: 7, Revision: 7, CurrentAt: frozenNow - 490}, false},
		{"much fresher", mirror.Update{Since: 7, Revision: 7, CurrentAt: frozenNow - 100}, true},
		{"older", mirror.Update{Since: 5, Revision: 6, CurrentAt: frozenNow}, false},
		{"change after a gap", mirror.Update{CurrentAt: frozenNow, Since: 9, Revision: 10, Events: []mirror.Event{{Item: item("d", 10)}}}, true},
		{"the same change after a gap", mirror.Update{CurrentAt: frozenNow, Since: 9, Revision: 10, Events: []mirror.Event{{Item: item("d", 10)}}}, false},
		{"outage", mirror.Update{CurrentAt: frozenNow, IsUnavailable: true}, false},
	} {
		if got := f.ReceiveUpdate(tt.update); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a list of all values by every node when the store drops its history: the readers
// list them, and the others take their update.
func TestNodesAwaitReadersAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedStore{lists: [][]mirror.Item{{item("a", 9)}}, watchErrors: []error{mirror.ErrCompacted, mirror.ErrCompacted}, now: clock.NewSystem().Now, onDone: func() {}}
		f := mirror.NewFollower(mirror.FollowerConfig{
			Store: s, Now: s.now, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
			Nodes: func() (int, bool) { return 1000, false },
		})
		f.Seed([]mirror.Item{item("a", 4)}, 5)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Serve(ctx) }() // returns when ctx ends
		<-time.After(200 * time.Millisecond)
		f.ReceiveUpdate(mirror.Update{CurrentAt: s.now(), Since: 5, Revision: 9, IsListDiff: true, Events: []mirror.Event{{Item: item("a", 9)}}})
		<-time.After(500 * time.Millisecond)
		if got, want := s.recordedCalls(), []string{"watch"}; !slices.Equal(got, want) {
			t.Errorf("got calls %v, want %v", got, want)
		}
		if got, want := f.Revision(), uint64(9); got != want {
			t.Errorf("got revision %d, want %d", got, want)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a reading of the store by every node after history was dropped: the list of a node
// that joined by a peer's copy must continue exactly from that copy.
func TestListOfJoinedNodeIsACompleteUpdate(t *testing.T) {
	for _, isExact := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedStore{lists: [][]mirror.Item{{item("a", 9)}}, watchErrors: []error{mirror.ErrCompacted}, now: clock.NewSystem().Now, onDone: func() {}}
			var published []mirror.Update
			f := mirror.NewFollower(mirror.FollowerConfig{
				Store: s, Now: s.now, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
				Publish: func(u mirror.Update) { published = append(published, u) },
			})
			f.SeedReplica(mirror.Replica{Items: []mirror.Item{item("a", 1)}, Revision: 1, IsExact: isExact})
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = f.Serve(ctx) }() // returns when ctx ends
			<-time.After(1300 * time.Millisecond)
			cancel()
			synctest.Wait()
			if len(published) == 0 || published[0].IsTruncated == isExact {
				t.Errorf("exact copy %v: got updates %+v, want one that is complete only for an exact copy", isExact, published)
			}
		})
	}
}

// Guards against calls of every node that the store refuses, for as long as it does: while peers keep
// a copy current, only the confirmation of a removal waits for the store.
func TestConfirmationBacksOffWhilePeersKeepCopyCurrent(t *testing.T) {
	p := mirror.NewPollSchedule(mirror.PollConfig{MaxStaleness: 4 * clock.Second, Seed: 1})
	p.SetFleetSize(1000, false)
	p.Answered(0)
	calls := 0
	for now := clock.Millis(1); now <= 10*clock.Second; now++ {
		if now%700 == 0 {
			p.Refreshed(now)
		}
		if now == clock.Second {
			p.PollSoon(now)
		}
		if now >= p.Due() {
			calls++
			p.Failed(now)
		}
	}
	if calls < 4 || calls > 10 {
		t.Errorf("got %d calls in 9 s, want 4 to 10", calls)
	}
}
