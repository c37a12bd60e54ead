package mirror_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
)

// largeText returns a value of 300 KB with the number of an edit in its middle.
func largeText(edit int) []byte {
	var text bytes.Buffer
	for i := range 3000 {
		if i == 1500 {
			fmt.Fprintf(&text, "edit %d;", edit)
		}
		fmt.Fprintf(&text, "route %08x to a service, with a timeout of six seconds and a target of four, at most two tries;", i*2654435761)
	}
	return text.Bytes()
}

// editedStore is a store with a large value that is edited twice after the list.
type editedStore struct{ scriptedStore }

func (s *editedStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	s.onDone()
	return []mirror.Event{
		{Item: mirror.Item{Key: "table", Revision: 3, Created: 1, Value: largeText(1)}},
		{Item: mirror.Item{Key: "table", Revision: 4, Created: 1, Value: largeText(2)}},
	}, 4, nil
}

// editUpdate returns the update that a node publishes after reading both edits.
func editUpdate(t *testing.T) mirror.Update {
	t.Helper()
	var update mirror.Update
	ctx, cancel := context.WithCancel(t.Context())
	s := &editedStore{scriptedStore{
		lists: [][]mirror.Item{{{Key: "table", Revision: 1, Created: 1, Value: largeText(0)}}}, now: clock.NewSystem().Now, onDone: cancel,
	}}
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(u mirror.Update) { update = u },
	})
	_ = f.Serve(ctx) // returns when ctx ends
	return update
}

// newFollowerWithValue returns a follower that holds one value at a revision.
func newFollowerWithValue(t *testing.T, value []byte, revision uint64) *mirror.Follower {
	t.Helper()
	f := mirror.NewFollower(mirror.FollowerConfig{
		Now: func() clock.Millis { return clock.Minute }, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
	})
	if !f.Seed([]mirror.Item{{Key: "table", Revision: revision, Created: 1, Value: value}}, revision) {
		t.Fatal("got the initial copy refused, want it accepted")
	}
	return f
}

// An edit changes the weights of one route in a table of 300 KB. Without edits in
// updates, each of a hundred nodes read the whole table: a hundred calls and 30 MB over
// the store's connection. A node that holds a different table must not apply the edit.
func TestLargeValueIsPublishedAsEdit(t *testing.T) {
	update := editUpdate(t)
	if len(update.Events) != 2 || update.IsTruncated {
		t.Fatalf("got %d changes with IsTruncated %v, want both changes", len(update.Events), update.IsTruncated)
	}
	for _, e := range update.Events {
		if len(e.Value) > 0 || e.Edit == nil || len(e.Edit.Steps) > 3 {
			t.Fatalf("got %d bytes and edit %+v, want an edit of few steps", len(e.Value), e.Edit)
		}
	}
	tests := []struct {
		name     string
		held     []byte
		at       uint64
		want     []byte
		revision uint64
	}{
		{"holds the sender's base", largeText(0), 1, largeText(2), 4},
		{"holds the first edit", largeText(1), 3, largeText(2), 4},
		{"holds another value", largeText(7), 1, largeText(7), 1},
		{"holds both", largeText(2), 4, largeText(2), 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFollowerWithValue(t, tt.held, tt.at)
			update.CurrentAt = clock.Minute
			f.ReceiveUpdate(update)
			items, revision := f.Snapshot()
			if revision != tt.revision || !bytes.Equal(items[0].Value, tt.want) {
				t.Errorf("got revision %d and a value of %d bytes, want %d and the expected value", revision, len(items[0].Value), tt.revision)
			}
		})
	}
}

// A list that is read during an edit contains a table newer than the list's revision. An
// update made from it reaches a node that knows that revision but holds a different
// table. The node must not replace its table by the edit's empty value, which would
// remove all routes.
func TestEditWithDifferentBaseIsIgnored(t *testing.T) {
	update := editUpdate(t)
	f := newFollowerWithValue(t, largeText(7), 9)
	late := update.Events[0]
	late.Revision = 12
	f.ReceiveUpdate(mirror.Update{CurrentAt: clock.Minute, Since: 5, Revision: 8, IsListDiff: true, Events: []mirror.Event{late}})
	if items, _ := f.Snapshot(); !bytes.Equal(items[0].Value, largeText(7)) {
		t.Errorf("got a value of %d bytes, want the value unchanged", len(items[0].Value))
	}
}

// slowListStore is a store whose list takes one second.
type slowListStore struct {
	revision uint64
}

func (s *slowListStore) List(context.Context) (mirror.Listing, error) {
	<-time.After(time.Second)
	return mirror.Listing{Items: []mirror.Item{{Key: "table", Revision: 3, Created: 1, Value: largeText(1)}}, Revision: s.revision, IsSnapshot: true}, nil
}

func (s *slowListStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	return nil, 0, mirror.ErrUnavailable
}

// A starting node needs one second to read a large table, and receives the next edit
// meanwhile. If it discarded the update it would have to read the table again, and would
// read every version while edits follow each other faster than a read.
func TestUpdateDuringListIsAppliedAfterwards(t *testing.T) {
	update := editUpdate(t)
	second := mirror.Update{Since: 3, Revision: 4, Events: slices.Clone(update.Events[1:])}
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewSystem().Now
		f := mirror.NewFollower(mirror.FollowerConfig{
			Store: &slowListStore{revision: 3}, Now: now, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = f.Serve(ctx) }() // returns when ctx ends
		<-time.After(500 * time.Millisecond)
		second.CurrentAt = now()
		f.ReceiveUpdate(second)
		<-time.After(600 * time.Millisecond)
		if got := f.Revision(); got != 4 {
			t.Errorf("got revision %d after the list, want 4 from the update received meanwhile", got)
		}
		cancel()
		<-done
	})
}
