package mirror_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/mirror"
)

// scriptedStore returns the scripted answers in order and repeats the last list. It calls
// onDone when a watch finds no scripted answer.
type scriptedStore struct {
	mu          sync.Mutex
	lists       [][]mirror.Item
	watchErrors []error
	calls       []string
	waits       []clock.Millis
	callTimes   []clock.Millis
	now         func() clock.Millis
	onDone      func()
}

func (s *scriptedStore) List(context.Context) (mirror.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.callTimes = append(s.calls, "list"), append(s.callTimes, s.now())
	list := s.lists[0]
	if len(s.lists) > 1 {
		s.lists = s.lists[1:]
	}
	return mirror.Listing{Items: list, Revision: uint64(len(s.calls)), IsSnapshot: true}, nil
}

func (s *scriptedStore) Watch(_ context.Context, _ uint64, wait clock.Millis, _ int) ([]mirror.Event, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.callTimes, s.waits = append(s.calls, "watch"), append(s.callTimes, s.now()), append(s.waits, wait)
	if len(s.watchErrors) == 0 {
		s.onDone()
		return nil, uint64(len(s.calls)), nil
	}
	err := s.watchErrors[0]
	s.watchErrors = s.watchErrors[1:]
	return nil, uint64(len(s.calls)), err
}

// The store drops its history, then doesn't answer, then returns. The node must list all
// values again, report the outage and its end, and continue.
func TestFollowerSurvivesCompactionAndOutage(t *testing.T) {
	log := logging.Silent()
	ctx, cancel := context.WithCancel(t.Context())
	s := &scriptedStore{
		lists:       [][]mirror.Item{{item("a", 1)}, {item("a", 1), item("b", 2)}},
		watchErrors: []error{mirror.ErrCompacted, mirror.ErrUnavailable},
		now:         clock.NewSystem().Now,
		onDone:      cancel,
	}
	var delivered []int
	var unavailable []bool
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store:          s,
		Now:            s.now,
		Deliver:        func(items []mirror.Item, _ bool) { delivered = append(delivered, len(items)) },
		OnAvailability: func(cause error) { unavailable = append(unavailable, cause != nil) },
		Log:            log,
	})
	_ = f.Serve(ctx) // returns when ctx ends
	if got, want := len(s.calls), 5; got != want || s.calls[2] != "list" {
		t.Errorf("got calls %v, want list, watch, list, watch, watch", s.calls)
	}
	if len(delivered) < 2 || delivered[0] != 1 || delivered[1] != 2 {
		t.Errorf("got %v values delivered, want 1, then 2", delivered)
	}
	if len(unavailable) == 0 || !unavailable[0] {
		t.Errorf("got %v from OnAvailability, want the outage reported first", unavailable)
	}
	// A watch with a long wait that starts shortly before the store's return may never be
	// answered; an edit made at that time would then be in force seconds late.
	if last := s.waits[len(s.waits)-1]; last > 10 {
		t.Errorf("got a wait of %v during the outage, want a call that returns immediately", last)
	}
	if got := s.callTimes[1] - s.callTimes[0]; got < 790 {
		t.Errorf("got %v between two calls, want at least 0.8 s, because each call has a price", got)
	}
}

// emptyWatchStore is a store whose revision advances although its watches return no
// changes.
type emptyWatchStore struct {
	scriptedStore

	after []uint64
}

func (c *emptyWatchStore) Watch(ctx context.Context, after uint64, _ clock.Millis, _ int) ([]mirror.Event, uint64, error) {
	c.after = append(c.after, after)
	if len(c.after) == 2 {
		c.onDone()
	}
	return nil, 90, ctx.Err()
}

// A store that is about to drop its history returns no changes for a second, but its
// revision advances. An upstream that registers meanwhile must be known once the history
// is dropped and all values are listed again.
func TestEmptyWatchDoesNotAdvanceRevision(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c := &emptyWatchStore{scriptedStore: scriptedStore{lists: [][]mirror.Item{{item("a", 1)}}, now: clock.NewSystem().Now, onDone: cancel}}
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: c, Now: c.now, MaxStaleness: 100, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
	})
	_ = f.Serve(ctx) // returns when ctx ends
	if !slices.Equal(c.after, []uint64{1, 1}) {
		t.Errorf("got watches after %v, want both after 1", c.after)
	}
}

// frozenNow is the time on the clock of newFollowerAtRevision5, long after any call.
const frozenNow = clock.Minute

// newFollowerAtRevision5 returns a follower that holds a and b at revision 5.
func newFollowerAtRevision5(t *testing.T, delivered *[][]mirror.Item) *mirror.Follower {
	t.Helper()
	f := mirror.NewFollower(mirror.FollowerConfig{
		Now:             func() clock.Millis { return frozenNow },
		Deliver:         func(items []mirror.Item, _ bool) { *delivered = append(*delivered, items) },
		OnAvailability:  func(error) {},
		ExpectedRemoval: func(old mirror.Item) bool { return string(old.Value) == "draining" },
	})
	if !f.Seed([]mirror.Item{item("a", 4), item("b", 5)}, 5) {
		t.Fatal("got the initial copy refused, want it accepted")
	}
	return f
}

// A node receives changes from a peer but may have missed earlier ones. If it advanced
// its revision, it would lack those changes and consider itself up to date.
func TestUpdateWithGapDoesNotAdvanceRevision(t *testing.T) {
	var delivered [][]mirror.Item
	f := newFollowerAtRevision5(t, &delivered)
	f.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 7, Revision: 9, Events: []mirror.Event{{Item: item("c", 9)}}})
	if got := f.Revision(); got != 5 {
		t.Errorf("got revision %d after an update with a gap, want 5", got)
	}
	f.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 4, Revision: 9, Events: []mirror.Event{{Item: item("c", 9)}, {Item: item("a", 8)}}})
	if got := f.Revision(); got != 9 {
		t.Errorf("got revision %d, want 9", got)
	}
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("got %v, want a, b and c", got)
	}
	f.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 4, Revision: 6, Events: []mirror.Event{{Item: item("a", 6)}}})
	if got := f.Revision(); got != 9 {
		t.Errorf("got revision %d after a late update, want 9 unchanged", got)
	}
}

// A third of the nodes is cut off from the store, together with the upstreams next to
// them. These upstreams still serve requests, but their registrations expire, and the
// other nodes publish the removals. A node that is cut off must keep using the upstreams
// until the store itself confirms the removals.
func TestRemovalsNeedStoreConfirmation(t *testing.T) {
	var delivered [][]mirror.Item
	f := newFollowerAtRevision5(t, &delivered)
	removal := mirror.Event{Item: mirror.Item{Key: "a", Revision: 8}, Gone: true}
	f.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 5, Revision: 9, Events: []mirror.Event{removal, {Item: item("c", 9)}}})
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("got %v after a peer's update, want a kept and c added", got)
	}
	if got := f.Revision(); got != 9 {
		t.Errorf("got revision %d, want 9", got)
	}
}

// An upstream announces that it drains, and leaves. If each node asked the store to
// confirm the removal, each upstream of a release would cost 95 calls.
func TestExpectedRemovalsNeedNoConfirmation(t *testing.T) {
	var delivered [][]mirror.Item
	f := newFollowerAtRevision5(t, &delivered)
	f.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 5, Revision: 9, Events: []mirror.Event{
		{Item: mirror.Item{Key: "b", Revision: 7, Value: []byte("draining")}},
	}})
	f.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 5, Revision: 9, Events: []mirror.Event{{Item: mirror.Item{Key: "b", Revision: 9}, Gone: true}}})
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"a"}) {
		t.Errorf("got %v, want only a", got)
	}
}

// interruptedStore is a store that calls onFirstWatch while it answers the first watch.
type interruptedStore struct {
	scriptedStore

	after        []uint64
	onFirstWatch func()
}

func (s *interruptedStore) Watch(_ context.Context, after uint64, _ clock.Millis, _ int) ([]mirror.Event, uint64, error) {
	s.after = append(s.after, after)
	switch len(s.after) {
	case 1:
		s.onFirstWatch()
		return []mirror.Event{{Item: item("b", 6)}}, 6, nil
	default:
		s.onDone()
		return []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 8}, Gone: true}}, 9, nil
	}
}

// A peer sends a removal while this node waits for the answer to its own call. The answer
// is older than the removal. If it counted as the store's confirmation, the upstream
// would stay in use permanently.
func TestOlderAnswerDoesNotConfirmRemoval(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	system, elapsed := clock.NewSystem().Now, atomic.Int64{}
	now := func() clock.Millis { return system() + clock.Millis(elapsed.Load()) }
	s := &interruptedStore{scriptedStore: scriptedStore{lists: [][]mirror.Item{{item("a", 1), item("b", 2)}}, now: now, onDone: cancel}}
	var delivered [][]mirror.Item
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: now, MaxStaleness: 100,
		Deliver: func(items []mirror.Item, _ bool) { delivered = append(delivered, items) }, OnAvailability: func(error) {},
	})
	s.onFirstWatch = func() {
		elapsed.Store(int64(clock.Minute)) // time since the last answered call
		f.ReceiveUpdate(mirror.Update{CurrentAt: now(), Since: 1, Revision: 8, Events: []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 8}, Gone: true}}})
	}
	_ = f.Serve(ctx) // returns when ctx ends
	if want := []uint64{1, 6}; !slices.Equal(s.after, want) {
		t.Errorf("got watches after %v, want %v", s.after, want)
	}
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"b"}) {
		t.Errorf("got %v, want only b", got)
	}
}

// A configuration is too large to be sent to a hundred nodes. An update without it must
// not advance a node's revision, so that the node reads it from the store.
func TestTruncatedUpdateDoesNotAdvanceRevision(t *testing.T) {
	var delivered [][]mirror.Item
	f := newFollowerAtRevision5(t, &delivered)
	f.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 5, Revision: 9, IsTruncated: true})
	if got := f.Revision(); got != 5 {
		t.Errorf("got revision %d, want 5, because the changes are unknown", got)
	}
}
