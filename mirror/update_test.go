package mirror_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/wire"
)

// overtakenStore is a store that answers a watch only after onWatch has delivered the
// same changes from another node.
type overtakenStore struct {
	scriptedStore

	onWatch func()
}

func (s *overtakenStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	s.onWatch()
	s.onDone()
	return []mirror.Event{{Item: item("a", 12)}, {Item: item("b", 15)}}, 20, nil
}

// Nine upstreams register while all nodes start. One node reads the registrations and
// publishes them to the nodes with a link to it. A second node receives them while its
// own call is under way. If it left them out of its own update as already known, that
// update would claim to be complete, and the nodes that receive only this update would
// never learn of the nine upstreams.
func TestUpdateIncludesChangesReceivedFromPeers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &overtakenStore{scriptedStore: scriptedStore{lists: [][]mirror.Item{{}}, now: clock.NewSystem().Now, onDone: cancel}}
	var updates []mirror.Update
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50,
		Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(u mirror.Update) { updates = append(updates, u) },
	})
	s.onWatch = func() {
		f.ReceiveUpdate(mirror.Update{CurrentAt: s.now(), Since: 1, Revision: 20, Events: []mirror.Event{{Item: item("a", 12)}, {Item: item("b", 15)}}})
	}
	_ = f.Serve(ctx) // returns when ctx ends
	if len(updates) != 1 || updates[0].Since != 1 || len(updates[0].Events) != 2 {
		t.Errorf("got updates %+v, want one with both upstreams, complete from revision 1", updates)
	}
}

// An upstream announces that it drains and then that it is ready again, between two calls
// of a node. The second change restores what the node's copy held before the call. If
// only the first were published, the other nodes would send no more requests to the
// upstream.
func TestUpdateIncludesChangeAndReversal(t *testing.T) {
	var updates []mirror.Update
	s := &reversingStore{scriptedStore: scriptedStore{lists: [][]mirror.Item{{{Key: "a", Revision: 1, Created: 1, Value: []byte("ready")}}}, now: clock.NewSystem().Now}}
	ctx, cancel := context.WithCancel(t.Context())
	s.onDone = cancel
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50,
		Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(u mirror.Update) { updates = append(updates, u) },
	})
	_ = f.Serve(ctx) // returns when ctx ends
	if len(updates) != 1 || len(updates[0].Events) != 2 {
		t.Errorf("got updates %+v, want one with both changes", updates)
	}
}

type reversingStore struct{ scriptedStore }

func (s *reversingStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	s.onDone()
	return []mirror.Event{
		{Item: mirror.Item{Key: "a", Revision: 3, Created: 1, Value: []byte("draining")}},
		{Item: mirror.Item{Key: "a", Revision: 4, Created: 1, Value: []byte("ready")}},
	}, 4, nil
}

// A node has missed an upstream, for whatever reason, and no later event concerns that
// upstream. The next update of a node that knows it must cause the node to list all
// values, and to count one copy error.
func TestDigestMismatchTriggersRelist(t *testing.T) {
	all := []mirror.Item{item("a", 2), item("b", 3)}
	complete := mirror.NewCopy(nil, nil)
	complete.Reset(0, mirror.Listing{Items: all, Revision: 5})
	digest, _ := complete.Digest()
	log := logging.Silent()
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewSystem().Now
		s := &scriptedStore{lists: [][]mirror.Item{{item("a", 2)}, all}, now: now, onDone: func() {}}
		f := mirror.NewFollower(mirror.FollowerConfig{
			Store: s, Now: now, Log: log, MaxStaleness: clock.Hour, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Serve(ctx) }() // returns when ctx ends
		for range 5 {                    // a list on suspicion needs a delay after the previous list
			<-time.After(time.Second)
			f.ReceiveUpdate(mirror.Update{CurrentAt: now(), Since: 1, Revision: 5, Digest: digest})
		}
		<-time.After(time.Second)
		cancel()
		items, _ := f.Snapshot()
		if got := keys(items); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("got %v, want both", got)
		}
		if got := f.Stats().CopyErrors; got != 1 {
			t.Errorf("got %d copy errors, want 1", got)
		}
	})
}

// A peer announces a version of a large configuration while the answer with the previous
// version is still being transferred, which takes a second on a slow connection. If that
// answer counted as the call that the update asked for, the next call would follow only
// on the regular schedule, more than a second later.
func TestTruncatedUpdateDuringCallTriggersAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &overtakenStore{scriptedStore: scriptedStore{lists: [][]mirror.Item{{}}, now: clock.NewSystem().Now, onDone: func() {}}}
		var callTimes []clock.Millis
		f := mirror.NewFollower(mirror.FollowerConfig{
			Store: s, Now: s.now, MaxStaleness: 2 * clock.Second, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		})
		s.onWatch = func() {
			callTimes = append(callTimes, s.now())
			if len(callTimes) == 2 {
				cancel()
				return
			}
			f.ReceiveUpdate(mirror.Update{CurrentAt: s.now(), Since: 20, Revision: 30, IsTruncated: true})
		}
		_ = f.Serve(ctx) // returns when ctx ends
		if len(callTimes) < 2 || callTimes[1]-callTimes[0] > 200 {
			t.Errorf("got calls at %v, want the second within 200ms of the first", callTimes)
		}
	})
}

// tooLargeStore is a store whose watches' answers are larger than all values.
type tooLargeStore struct{ scriptedStore }

func (s *tooLargeStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	return nil, 0, mirror.ErrTooLarge
}

// An upstream registers and leaves while one node is several versions behind. That node
// lists all values and publishes the difference. A second node has read the registration
// but not the removal, which no list shows. If it took the update for complete, it would
// never stop using the upstream.
func TestListDiffIsIncompleteForOtherRevisions(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &tooLargeStore{scriptedStore{lists: [][]mirror.Item{{item("a", 1)}, {item("a", 1), item("c", 2)}}, now: clock.NewSystem().Now}}
	var update mirror.Update
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(u mirror.Update) { update = u; cancel() },
	})
	_ = f.Serve(ctx) // returns when ctx ends
	if len(update.Events) != 1 || !update.IsListDiff {
		t.Fatalf("got update %+v after a list, want the change and IsListDiff", update)
	}
	var delivered [][]mirror.Item
	second := newFollowerAtRevision5(t, &delivered) // holds a and b at revision 5
	second.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 4, Revision: 9, IsListDiff: true, Events: []mirror.Event{{Item: item("c", 8)}}})
	if got := second.Revision(); got != 5 {
		t.Errorf("got revision %d after an update made from a list, want 5", got)
	}
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("got %v, want c besides a and b", got)
	}
	third := newFollowerAtRevision5(t, &delivered)
	third.ReceiveUpdate(mirror.Update{CurrentAt: frozenNow, Since: 5, Revision: 9, IsListDiff: true, Events: []mirror.Event{{Item: item("c", 8)}}})
	if got := third.Revision(); got != 9 {
		t.Errorf("got revision %d of a node that knew exactly the sender's state, want 9", got)
	}
}

// Thousands of upstreams register again after the store was unavailable for a minute. An
// update with more changes than a frame can hold could not be decoded by any node.
func TestUpdateFitsFrameArrayLimit(t *testing.T) {
	var update mirror.Update
	ctx, cancel := context.WithCancel(t.Context())
	s := &manyChangesStore{scriptedStore{lists: [][]mirror.Item{{}}, now: clock.NewSystem().Now, onDone: cancel}}
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(u mirror.Update) { update = u },
	})
	_ = f.Serve(ctx) // returns when ctx ends
	encoded, err := wire.Pack(update.Events)
	if err != nil {
		t.Fatal(err)
	}
	var decoded []mirror.Event
	if err := wire.Unpack(encoded, &decoded); err != nil || !update.IsTruncated {
		t.Errorf("got %v decoding the update with IsTruncated %v, want an update that decodes, with IsTruncated", err, update.IsTruncated)
	}
}

// manyChangesStore is a store in which 5,000 values have changed.
type manyChangesStore struct{ scriptedStore }

func (s *manyChangesStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	s.onDone()
	events := make([]mirror.Event, 5000)
	for i := range events {
		events[i] = mirror.Event{Item: item(fmt.Sprint(i), uint64(i+2))}
	}
	return events, 5002, nil
}

// A registration ends while an answer that still contains it is in transit, and the
// removal arrives first, from a peer. The older answer must not restore the upstream,
// because its removal is not announced again.
func TestOlderAnswerDoesNotRestoreRemovedValue(t *testing.T) {
	c := mirror.NewCopy(nil, nil)
	c.Reset(0, mirror.Listing{Items: []mirror.Item{item("a", 1)}, Revision: 5})
	c.Apply(1, []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 9}, Gone: true}}, 9)
	c.Apply(2, []mirror.Event{{Item: item("a", 7)}}, 8)
	if got := keys(c.Items(3)); len(got) != 0 {
		t.Errorf("got %v, want no value", got)
	}
	c.Apply(4, []mirror.Event{{Item: item("a", 11)}}, 11)
	if got := keys(c.Items(5)); len(got) != 1 {
		t.Errorf("got %v, want a, which was written again", got)
	}
}

// Updates arrive while a list is in transit. Values that are newer than the list must
// stay, or an upstream that has just registered would be removed for a moment on this
// node.
func TestResetKeepsNewerValues(t *testing.T) {
	c := mirror.NewCopy(nil, nil)
	c.Reset(0, mirror.Listing{Items: []mirror.Item{item("a", 1)}, Revision: 5})
	c.Apply(1, []mirror.Event{{Item: item("b", 8)}}, 8)
	c.Reset(2, mirror.Listing{Items: []mirror.Item{item("a", 1)}, Revision: 6})
	if got := keys(c.Items(3)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("got %v, want a and b", got)
	}
}

// flakyStore is a store that fails the first watch.
type flakyStore struct {
	scriptedStore

	calls []clock.Millis
}

func (f *flakyStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	f.calls = append(f.calls, f.now())
	if len(f.calls) == 1 {
		return nil, 0, mirror.ErrUnavailable
	}
	return nil, 9, nil
}

// The store drops its history and closes the watches. A third of the nodes is cut off
// from it and constantly publishes that it is unavailable; the others list all values and
// publish further changes. If each message from a node that is cut off delayed the next
// call of a node whose watch failed, that node would refuse a new route for seconds
// longer than allowed.
func TestUnavailableUpdatesDoNotDelayPolling(t *testing.T) {
	for name, othersRead := range map[string]bool{"others read on": true, "nobody else reads": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := clock.NewSystem().Now
				s := &flakyStore{scriptedStore: scriptedStore{lists: [][]mirror.Item{{item("a", 1)}}, now: now, onDone: func() {}}}
				f := mirror.NewFollower(mirror.FollowerConfig{
					Store: s, Now: now, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
					Nodes: func() (int, bool) { return 30, false },
				})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = f.Serve(ctx) }() // returns when ctx ends
				for round := range 100 {
					<-time.After(30 * time.Millisecond)
					f.ReceiveUpdate(mirror.Update{CurrentAt: now(), IsUnavailable: true})
					if othersRead && round%10 == 0 {
						f.ReceiveUpdate(mirror.Update{CurrentAt: now(), Since: 50, Revision: 60})
					}
				}
				cancel()
				maxDelay := clock.Millis(1500)
				if othersRead {
					maxDelay = 450
				}
				if len(s.calls) < 2 || s.calls[1]-s.calls[0] > maxDelay {
					t.Errorf("got calls at %v, want the second within %v of the failed one", s.calls, maxDelay)
				}
			})
		})
	}
}
