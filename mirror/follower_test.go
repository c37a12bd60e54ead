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

// script answers calls in order; the last answer stays.
type script struct {
	mu    sync.Mutex
	lists [][]mirror.Item
	watch []error
	calls []string
	waits []clock.Millis
	at    []clock.Millis
	now   func() clock.Millis
	next  func()
}

func (s *script) List(context.Context) (mirror.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.at = append(s.calls, "list"), append(s.at, s.now())
	first := s.lists[0]
	if len(s.lists) > 1 {
		s.lists = s.lists[1:]
	}
	return mirror.Listing{Items: first, Revision: uint64(len(s.calls)), IsSnapshot: true}, nil
}

func (s *script) Watch(_ context.Context, _ uint64, wait clock.Millis, _ int) ([]mirror.Event, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.at, s.waits = append(s.calls, "watch"), append(s.at, s.now()), append(s.waits, wait)
	if len(s.watch) == 0 {
		s.next()
		return nil, uint64(len(s.calls)), nil
	}
	err := s.watch[0]
	s.watch = s.watch[1:]
	return nil, uint64(len(s.calls)), err
}

// The store drops its history, then doesn't answer, then is back. The node must
// list anew, say that the store was away and that it is back, and go on.
func TestFollowerOutlivesLostHistoryAndOutages(t *testing.T) {
	log := logging.Silent()
	ctx, cancel := context.WithCancel(t.Context())
	s := &script{
		lists: [][]mirror.Item{{item("a", 1)}, {item("a", 1), item("b", 2)}},
		watch: []error{mirror.ErrCompacted, mirror.ErrUnavailable},
		now:   clock.NewSystem().Now,
		next:  cancel,
	}
	var delivered []int
	var away []bool
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store:          s,
		Now:            s.now,
		Deliver:        func(items []mirror.Item, _ bool) { delivered = append(delivered, len(items)) },
		OnAvailability: func(cause error) { away = append(away, cause != nil) },
		Log:            log,
	})
	_ = f.Serve(ctx) // it ends with the context
	if got, want := len(s.calls), 5; got != want || s.calls[2] != "list" {
		t.Errorf("got calls %v, want list, watch, list, watch, watch", s.calls)
	}
	if len(delivered) < 2 || delivered[0] != 1 || delivered[1] != 2 {
		t.Errorf("got %v values delivered, want 1, then 2", delivered)
	}
	if len(away) == 0 || !away[0] {
		t.Errorf("got %v for the store's absence, want it told", away)
	}
	// A watch with its full wait that began just before the store's return may
	// never be answered, and an edit made then would be in force seconds late.
	if last := s.waits[len(s.waits)-1]; last > 10 {
		t.Errorf("got a wait of %v while the store is away, want a call that ends at once", last)
	}
	if got := s.at[1] - s.at[0]; got < 790 {
		t.Errorf("got %v between two calls, want at least 0.8 s: each call is priced", got)
	}
}

// counting is a store that counts changes that it doesn't tell.
type counting struct {
	script

	after []uint64
}

func (c *counting) Watch(ctx context.Context, after uint64, _ clock.Millis, _ int) ([]mirror.Event, uint64, error) {
	c.after = append(c.after, after)
	if len(c.after) == 2 {
		c.next()
	}
	return nil, 90, ctx.Err()
}

// The store is about to drop its history: for a second its watches hear nothing, but
// its count of changes goes on. An upstream that joined meanwhile must be known once
// the history is gone and all is listed anew.
func TestUntoldChangesAreNotSkipped(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c := &counting{script: script{lists: [][]mirror.Item{{item("a", 1)}}, now: clock.NewSystem().Now, next: cancel}}
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: c, Now: c.now, MaxStaleness: 100, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
	})
	_ = f.Serve(ctx) // it ends with the context
	if !slices.Equal(c.after, []uint64{1, 1}) {
		t.Errorf("got watches after %v, want both after 1", c.after)
	}
}

// hearing returns a follower that knows a and b at revision 5.
func hearing(t *testing.T, delivered *[][]mirror.Item) *mirror.Follower {
	t.Helper()
	now := clock.Minute // long after any call
	f := mirror.NewFollower(mirror.FollowerConfig{
		Now:             func() clock.Millis { return now },
		Deliver:         func(items []mirror.Item, _ bool) { *delivered = append(*delivered, items) },
		OnAvailability:  func(error) {},
		ExpectedRemoval: func(old mirror.Item) bool { return string(old.Value) == "draining" },
	})
	if !f.Seed([]mirror.Item{item("a", 4), item("b", 5)}, 5) {
		t.Fatal("got the first copy refused, want it taken")
	}
	return f
}

// A node hears of changes from a peer. It may have missed those before: what it puts
// in force would lack them, and it would believe itself up to date.
func TestNewsWithAGapIsNotTaken(t *testing.T) {
	var delivered [][]mirror.Item
	f := hearing(t, &delivered)
	f.ReceiveUpdate(mirror.Update{Since: 7, Revision: 9, Events: []mirror.Event{{Item: item("c", 9)}}})
	if got := f.Revision(); got != 5 {
		t.Errorf("got revision %d after news with a gap, want 5", got)
	}
	f.ReceiveUpdate(mirror.Update{Since: 4, Revision: 9, Events: []mirror.Event{{Item: item("c", 9)}, {Item: item("a", 8)}}})
	if got := f.Revision(); got != 9 {
		t.Errorf("got revision %d, want 9", got)
	}
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("got %v, want a, b and c", got)
	}
	f.ReceiveUpdate(mirror.Update{Since: 4, Revision: 6, Events: []mirror.Event{{Item: item("a", 6)}}})
	if got := f.Revision(); got != 9 {
		t.Errorf("got revision %d after late news, want 9 kept", got)
	}
}

// A third of the nodes is cut off from the store, with the upstreams beside them. These
// still serve, but their registrations lapse, and the others tell so. A node that is
// cut off must go on using them until the store itself has told it that they are gone.
func TestRemovalsAreConfirmedByTheStore(t *testing.T) {
	var delivered [][]mirror.Item
	f := hearing(t, &delivered)
	gone := mirror.Event{Item: mirror.Item{Key: "a", Revision: 8}, Gone: true}
	f.ReceiveUpdate(mirror.Update{Since: 5, Revision: 9, Events: []mirror.Event{gone, {Item: item("c", 9)}}})
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("got %v on a peer's word, want a kept and c known", got)
	}
	if got := f.Revision(); got != 9 {
		t.Errorf("got revision %d, want 9", got)
	}
}

// An upstream drains and leaves, as it had said. Each node would ask the store whether it
// is really gone: 95 calls for each upstream of a release.
func TestAnnouncedRemovalsAreTakenOnAPeersWord(t *testing.T) {
	var delivered [][]mirror.Item
	f := hearing(t, &delivered)
	f.ReceiveUpdate(mirror.Update{Since: 5, Revision: 9, Events: []mirror.Event{
		{Item: mirror.Item{Key: "b", Revision: 7, Value: []byte("draining")}},
	}})
	f.ReceiveUpdate(mirror.Update{Since: 5, Revision: 9, Events: []mirror.Event{{Item: mirror.Item{Key: "b", Revision: 9}, Gone: true}}})
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"a"}) {
		t.Errorf("got %v, want a alone", got)
	}
}

// interrupted is a store during whose answer news of a peer come in.
type interrupted struct {
	script

	after []uint64
	hear  func()
}

func (s *interrupted) Watch(_ context.Context, after uint64, _ clock.Millis, _ int) ([]mirror.Event, uint64, error) {
	s.after = append(s.after, after)
	switch len(s.after) {
	case 1:
		s.hear()
		return []mirror.Event{{Item: item("b", 6)}}, 6, nil
	default:
		s.next()
		return []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 8}, Gone: true}}, 9, nil
	}
}

// A peer tells of a removal while the answer to this node's own call is on its way. That
// answer is older: taken for the confirmation, it would leave the upstream in use for
// good.
func TestOlderAnswerConfirmsNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	system, passed := clock.NewSystem().Now, atomic.Int64{}
	now := func() clock.Millis { return system() + clock.Millis(passed.Load()) }
	s := &interrupted{script: script{lists: [][]mirror.Item{{item("a", 1), item("b", 2)}}, now: now, next: cancel}}
	var delivered [][]mirror.Item
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: now, MaxStaleness: 100,
		Deliver: func(items []mirror.Item, _ bool) { delivered = append(delivered, items) }, OnAvailability: func(error) {},
	})
	s.hear = func() {
		passed.Store(int64(clock.Minute)) // since the last call that was answered
		f.ReceiveUpdate(mirror.Update{Since: 1, Revision: 8, Events: []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 8}, Gone: true}}})
	}
	_ = f.Serve(ctx) // it ends with the context
	if want := []uint64{1, 6}; !slices.Equal(s.after, want) {
		t.Errorf("got watches after %v, want %v", s.after, want)
	}
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"b"}) {
		t.Errorf("got %v, want b alone", got)
	}
}

// A configuration is too large to be told to a hundred nodes. They must know that
// there is one, and read it.
func TestLargeChangesAreReadNotTold(t *testing.T) {
	var delivered [][]mirror.Item
	f := hearing(t, &delivered)
	f.ReceiveUpdate(mirror.Update{Since: 5, Revision: 9, IsTruncated: true})
	if got := f.Revision(); got != 5 {
		t.Errorf("got revision %d, want 5: what changed isn't known", got)
	}
}
