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

// largeText is a value of 300 KB, with an edit in its middle.
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

// edited is a store with a large value that was edited twice since the list.
type edited struct{ script }

func (s *edited) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	s.next()
	return []mirror.Event{
		{Item: mirror.Item{Key: "table", Revision: 3, Created: 1, Value: largeText(1)}},
		{Item: mirror.Item{Key: "table", Revision: 4, Created: 1, Value: largeText(2)}},
	}, 4, nil
}

// toldOfEdits is what a node tells that has read both edits.
func toldOfEdits(t *testing.T) mirror.Update {
	t.Helper()
	var told mirror.Update
	ctx, cancel := context.WithCancel(t.Context())
	s := &edited{script{
		lists: [][]mirror.Item{{{Key: "table", Revision: 1, Created: 1, Value: largeText(0)}}}, now: clock.NewSystem().Now, next: cancel,
	}}
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: s, Now: s.now, MaxStaleness: 50, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		Publish: func(n mirror.Update) { told = n },
	})
	_ = f.Serve(ctx) // it ends with the context
	return told
}

// holding returns a follower that knows one value at a revision.
func holding(t *testing.T, value []byte, revision uint64) *mirror.Follower {
	t.Helper()
	f := mirror.NewFollower(mirror.FollowerConfig{
		Now: func() clock.Millis { return clock.Minute }, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
	})
	if !f.Seed([]mirror.Item{{Key: "table", Revision: revision, Created: 1, Value: value}}, revision) {
		t.Fatal("got the first copy refused, want it taken")
	}
	return f
}

// Weights of one route change in a table of 300 KB. Each of a hundred nodes used to read it
// whole: a hundred calls, and 30 MB over the store's line. A node that holds another table
// than the teller did must not make a third one of it.
func TestAnEditOfALargeValueIsTold(t *testing.T) {
	told := toldOfEdits(t)
	if len(told.Events) != 2 || told.IsTruncated {
		t.Fatalf("got %d changes told and more %v, want both", len(told.Events), told.IsTruncated)
	}
	for _, e := range told.Events {
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
		{"holds what the teller held", largeText(0), 1, largeText(2), 4},
		{"holds the first edit", largeText(1), 3, largeText(2), 4},
		{"holds another value", largeText(7), 1, largeText(7), 1},
		{"holds both", largeText(2), 4, largeText(2), 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := holding(t, tt.held, tt.at)
			f.ReceiveUpdate(told)
			items, revision := f.Snapshot()
			if revision != tt.revision || !bytes.Equal(items[0].Value, tt.want) {
				t.Errorf("got revision %d and a value of %d bytes, want %d with the right one", revision, len(items[0].Value), tt.revision)
			}
		})
	}
}

// A list is read while a table is edited: what it brings is newer than its revision, and is
// told to a node that knows that revision, but holds another table. It must not take the
// edit for a table without text: no route would be left.
func TestAnEditOfAnotherValueLeavesItAsItIs(t *testing.T) {
	told := toldOfEdits(t)
	f := holding(t, largeText(7), 9)
	late := told.Events[0]
	late.Revision = 12
	f.ReceiveUpdate(mirror.Update{Since: 5, Revision: 8, IsListDiff: true, Events: []mirror.Event{late}})
	if items, _ := f.Snapshot(); !bytes.Equal(items[0].Value, largeText(7)) {
		t.Errorf("got a value of %d bytes, want the one held", len(items[0].Value))
	}
}

// reading is a store whose list takes a second.
type reading struct {
	revision uint64
}

func (s *reading) List(context.Context) (mirror.Listing, error) {
	<-time.After(time.Second)
	return mirror.Listing{Items: []mirror.Item{{Key: "table", Revision: 3, Created: 1, Value: largeText(1)}}, Revision: s.revision, IsSnapshot: true}, nil
}

func (s *reading) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	return nil, 0, mirror.ErrUnavailable
}

// A node that starts reads a large table for a second; the next edit is told meanwhile, when
// it knows nothing yet. It used to be forgotten, and the node read the table once more: where
// edits follow each other faster than a read, it read every one.
func TestNewsDuringAReadAreTakenAfterIt(t *testing.T) {
	told := toldOfEdits(t)
	second := mirror.Update{Since: 3, Revision: 4, Events: slices.Clone(told.Events[1:])}
	synctest.Test(t, func(t *testing.T) {
		f := mirror.NewFollower(mirror.FollowerConfig{
			Store: &reading{revision: 3}, Now: clock.NewSystem().Now, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = f.Serve(ctx) }() // it ends with the context
		<-time.After(500 * time.Millisecond)
		f.ReceiveUpdate(second)
		<-time.After(600 * time.Millisecond)
		if got := f.Revision(); got != 4 {
			t.Errorf("got revision %d after the read, want 4: the edit was told", got)
		}
		cancel()
		<-done
	})
}
