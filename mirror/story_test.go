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

// overtaken is a store that answers one watch only after its reader has heard the same
// changes from another node.
type overtaken struct {
	script

	hear func()
}

func (s *overtaken) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	s.hear()
	s.next()
	return []mirror.Event{{Item: item("a", 12)}, {Item: item("b", 15)}}, 20, nil
}

// All nodes start together, and nine upstreams register. One node reads them and tells
// those with a link to it. A second one was just asking the store for the same; by its
// answer it learns nothing new, and tells all others that up to there nothing has changed.
// These believe it: they never learn of the nine, which get no request all day.
func TestNewsIsCompleteThoughHeardBefore(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &overtaken{script: script{lists: [][]mirror.Item{{}}, now: clock.NewSystem().Now, next: cancel}}
	var told []mirror.Update
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50,
		Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(n mirror.Update) { told = append(told, n) },
	})
	s.hear = func() {
		f.ReceiveUpdate(mirror.Update{Since: 1, Revision: 20, Events: []mirror.Event{{Item: item("a", 12)}, {Item: item("b", 15)}}})
	}
	_ = f.Serve(ctx) // it ends with the context
	if len(told) != 1 || told[0].Since != 1 || len(told[0].Events) != 2 {
		t.Errorf("got %+v told, want both upstreams, complete from revision 1", told)
	}
}

// An upstream says that it drains, then is ready again, all between two calls of the
// node that reads. Compared with what that node held before, the second change is
// none: told of the first alone, all others would leave the upstream alone for good.
func TestAChangeAndItsOppositeAreBothTold(t *testing.T) {
	var told []mirror.Update
	s := &changing{script: script{lists: [][]mirror.Item{{{Key: "a", Revision: 1, Created: 1, Value: []byte("ready")}}}, now: clock.NewSystem().Now}}
	ctx, cancel := context.WithCancel(t.Context())
	s.next = cancel
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50,
		Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(n mirror.Update) { told = append(told, n) },
	})
	_ = f.Serve(ctx) // it ends with the context
	if len(told) != 1 || len(told[0].Events) != 2 {
		t.Errorf("got %+v told, want both changes", told)
	}
}

type changing struct{ script }

func (s *changing) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	s.next()
	return []mirror.Event{
		{Item: mirror.Item{Key: "a", Revision: 3, Created: 1, Value: []byte("draining")}},
		{Item: mirror.Item{Key: "a", Revision: 4, Created: 1, Value: []byte("ready")}},
	}, 4, nil
}

// A node has missed an upstream, whatever the cause, and no event touches it again. The
// next news of a node that knows it must make it read all values anew, and say so once.
func TestACopyThatDiffersIsReadAnew(t *testing.T) {
	whole := []mirror.Item{item("a", 2), item("b", 3)}
	sound := mirror.NewCopy(nil)
	sound.Reset(0, mirror.Listing{Items: whole, Revision: 5})
	digest, _ := sound.Digest()
	log := logging.Silent()
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewSystem().Now
		s := &script{lists: [][]mirror.Item{{item("a", 2)}, whole}, now: now, next: func() {}}
		f := mirror.NewFollower(mirror.FollowerConfig{
			Store: s, Now: now, Log: log, MaxStaleness: clock.Hour, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Serve(ctx) }() // it ends with the context
		for range 5 {                    // a list is not read for doubt so soon after another
			<-time.After(time.Second)
			f.ReceiveUpdate(mirror.Update{Since: 1, Revision: 5, Digest: digest})
		}
		<-time.After(time.Second)
		cancel()
		items, _ := f.Snapshot()
		if got := keys(items); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("got %v, want both", got)
		}
		if got := f.Stats().CopyErrors; got != 1 {
			t.Errorf("got %d copies found wrong, want 1", got)
		}
	})
}

// A version of a large configuration is told while the answer with the one before is still
// on its way, for a second on a slow line. That answer was taken for the call that the news
// asked for: the next one was due only with the usual pace, a second and more later.
func TestALargeChangeToldDuringAnAnswerIsReadNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &overtaken{script: script{lists: [][]mirror.Item{{}}, now: clock.NewSystem().Now, next: func() {}}}
		var at []clock.Millis
		f := mirror.NewFollower(mirror.FollowerConfig{
			Store: s, Now: s.now, MaxStaleness: 2 * clock.Second, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		})
		s.hear = func() {
			at = append(at, s.now())
			if len(at) == 2 {
				cancel()
				return
			}
			f.ReceiveUpdate(mirror.Update{Since: 20, Revision: 30, IsTruncated: true})
		}
		_ = f.Serve(ctx) // it ends with the context
		if len(at) < 2 || at[1]-at[0] > 200 {
			t.Errorf("got calls at %v, want the second within 200ms of the first", at)
		}
	})
}

// crowded is a store whose watches tell more than all values together.
type crowded struct{ script }

func (s *crowded) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	return nil, 0, mirror.ErrTooLarge
}

// An upstream comes and goes while one node is several versions behind; it lists all values
// and tells what has changed. A second node has read the upstream's coming, but not its
// going, which no list shows. Taken for complete, the news would leave it in use for good.
func TestAListIsNotAllThatHasChanged(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &crowded{script{lists: [][]mirror.Item{{item("a", 1)}, {item("a", 1), item("c", 2)}}, now: clock.NewSystem().Now}}
	var told mirror.Update
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(n mirror.Update) { told = n; cancel() },
	})
	_ = f.Serve(ctx) // it ends with the context
	if len(told.Events) != 1 || !told.IsListDiff {
		t.Fatalf("got %+v told of a list, want the change, and that it is from a list", told)
	}
	var delivered [][]mirror.Item
	second := hearing(t, &delivered) // it holds a and b at 5
	second.ReceiveUpdate(mirror.Update{Since: 4, Revision: 9, IsListDiff: true, Events: []mirror.Event{{Item: item("c", 8)}}})
	if got := second.Revision(); got != 5 {
		t.Errorf("got revision %d after the news of a list, want 5", got)
	}
	if got := keys(delivered[len(delivered)-1]); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("got %v, want c known beside a and b", got)
	}
	third := hearing(t, &delivered)
	third.ReceiveUpdate(mirror.Update{Since: 5, Revision: 9, IsListDiff: true, Events: []mirror.Event{{Item: item("c", 8)}}})
	if got := third.Revision(); got != 9 {
		t.Errorf("got revision %d of a node that knew just what the teller had known, want 9", got)
	}
}

// The store was away for a minute, and thousands of upstreams registered anew. The node that
// reads it first tells more changes than a frame holds: nobody can read them, each time.
func TestMoreChangesThanAFrameHoldsAreReadByEach(t *testing.T) {
	var told mirror.Update
	ctx, cancel := context.WithCancel(t.Context())
	s := &returning{script{lists: [][]mirror.Item{{}}, now: clock.NewSystem().Now, next: cancel}}
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(n mirror.Update) { told = n },
	})
	_ = f.Serve(ctx) // it ends with the context
	packed, err := wire.Pack(told.Events)
	if err != nil {
		t.Fatal(err)
	}
	var heard []mirror.Event
	if err := wire.Unpack(packed, &heard); err != nil || !told.IsTruncated {
		t.Errorf("got %v for what is told, more %v, want what can be read, and that there is more", err, told.IsTruncated)
	}
}

// returning is a store in which 5,000 values have changed.
type returning struct{ script }

func (s *returning) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	s.next()
	events := make([]mirror.Event, 5000)
	for i := range events {
		events[i] = mirror.Event{Item: item(fmt.Sprint(i), uint64(i+2))}
	}
	return events, 5002, nil
}

// A registration ends while the answer to a watch that saw it before is on its way. The
// removal comes first, from a peer. The older answer must not bring the upstream back:
// nothing would tell its removal again.
func TestAnOlderAnswerBringsNothingBack(t *testing.T) {
	c := mirror.NewCopy(nil)
	c.Reset(0, mirror.Listing{Items: []mirror.Item{item("a", 1)}, Revision: 5})
	c.Apply(1, []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 9}, Gone: true}}, 9)
	c.Apply(2, []mirror.Event{{Item: item("a", 7)}}, 8)
	if got := keys(c.Items(3)); len(got) != 0 {
		t.Errorf("got %v, want nothing", got)
	}
	c.Apply(4, []mirror.Event{{Item: item("a", 11)}}, 11)
	if got := keys(c.Items(5)); len(got) != 1 {
		t.Errorf("got %v, want it back once it is written anew", got)
	}
}

// A list was answered while news went on. What is newer than the list must stay, or an
// upstream that just joined would be gone again for a moment, on this node alone.
func TestAListKeepsWhatIsNewer(t *testing.T) {
	c := mirror.NewCopy(nil)
	c.Reset(0, mirror.Listing{Items: []mirror.Item{item("a", 1)}, Revision: 5})
	c.Apply(1, []mirror.Event{{Item: item("b", 8)}}, 8)
	c.Reset(2, mirror.Listing{Items: []mirror.Item{item("a", 1)}, Revision: 6})
	if got := keys(c.Items(3)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("got %v, want a and b", got)
	}
}

// flaky is a store that fails one watch.
type flaky struct {
	script

	calls []clock.Millis
}

func (f *flaky) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	f.calls = append(f.calls, f.now())
	if len(f.calls) == 1 {
		return nil, 0, mirror.ErrUnavailable
	}
	return nil, 9, nil
}

// The store drops its history and cuts the watches. A third of the nodes is cut off from
// it and says all the time that it is away; the rest read all values anew and tell what
// follows. A node whose watch was cut put its next call off with each word of those that
// are cut off: a new route was refused there for seconds more than allowed.
func TestWordsOfTheCutOffKeepNobodyFromTheStore(t *testing.T) {
	for name, gap := range map[string]bool{"others read on": true, "nobody else reads": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := clock.NewSystem().Now
				s := &flaky{script: script{lists: [][]mirror.Item{{item("a", 1)}}, now: now, next: func() {}}}
				f := mirror.NewFollower(mirror.FollowerConfig{
					Store: s, Now: now, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
					Nodes: func() (int, bool) { return 30, false },
				})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = f.Serve(ctx) }() // it ends with the context
				for turn := range 100 {
					<-time.After(30 * time.Millisecond)
					f.ReceiveUpdate(mirror.Update{IsUnavailable: true})
					if gap && turn%10 == 0 {
						f.ReceiveUpdate(mirror.Update{Since: 50, Revision: 60})
					}
				}
				cancel()
				most := clock.Millis(1500)
				if gap {
					most = 450
				}
				if len(s.calls) < 2 || s.calls[1]-s.calls[0] > most {
					t.Errorf("got calls at %v, want the second within %v of the failed one", s.calls, most)
				}
			})
		})
	}
}
