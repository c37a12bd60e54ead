package mirror_test

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
)

// hashOfGood is a HashFunc to which odd values matter to no reader.
func hashOfGood(i mirror.Item) uint64 {
	if strings.HasPrefix(string(i.Value), "odd") {
		return 0
	}
	return max(i.Revision, 1)
}

// Guards against copies that count as wrong all the time: updates leave out odd values, which matter to
// no reader, and a list has them.
func TestOddValueMakesNoCopyWrong(t *testing.T) {
	c := mirror.NewCopy(hashOfGood, nil)
	c.Reset(0, mirror.Listing{Items: []mirror.Item{item("a", 1)}, Revision: 2, IsSnapshot: true})
	c.Apply(0, nil, 5) // the update of a peer that has read an odd value at revision 4
	odd := mirror.Item{Key: "odd", Value: []byte("odd"), Revision: 4, Created: 4}
	if got := c.CountWrong([]mirror.Item{item("a", 1), odd}, 5); got != 0 {
		t.Errorf("got %d wrong values, want none", got)
	}
	if got := c.CountWrong([]mirror.Item{item("a", 1), odd, item("b", 4)}, 5); got != 1 {
		t.Errorf("got %d wrong values, want the good one that is missing", got)
	}
}

// Guards against copies that are too large to be sent because of odd values, which matter to no reader.
func TestOddValuesAreNotHandedOn(t *testing.T) {
	f := mirror.NewFollower(mirror.FollowerConfig{
		Now: func() clock.Millis { return 0 }, Hash: hashOfGood, Deliver: func([]mirror.Item, bool) {},
	})
	odd := mirror.Item{Key: "odd", Value: []byte("odd"), Revision: 4, Created: 4}
	f.Seed([]mirror.Item{item("a", 1), odd, item("z", 3)}, 5)
	want := []string{"a", "z"}
	if got, revision := f.Snapshot(); !slices.Equal(keys(got), want) || revision != 5 {
		t.Errorf("got snapshot %v at %d, want %v at 5", keys(got), revision, want)
	}
	if got := f.Replica(); !slices.Equal(keys(got.Items), want) {
		t.Errorf("got replica %v, want %v", keys(got.Items), want)
	}
}

// Guards against a log that is filled while each answer to a watch is too large: a line with each call.
func TestWatchesThatAreTooLargeAreLoggedAsRepeatable(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	ctx, cancel := context.WithCancel(t.Context())
	now := clock.NewSystem().Now
	store := &scriptedStore{
		lists: [][]mirror.Item{{item("a", 1)}}, watchErrors: []error{mirror.ErrTooLarge, mirror.ErrTooLarge}, now: now, onDone: cancel,
	}
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store: store, Now: now, MaxStaleness: 100, Log: log, Deliver: func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
	})
	if err := f.Serve(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
	marked := 0
	for _, line := range lines.AllEntries() {
		if strings.Contains(line.Message, "can't read the changes") && line.Data["repeatable"] == true {
			marked++
		}
	}
	if marked != 2 {
		t.Errorf("got %d lines that a limiter leaves out if they repeat, want 2", marked)
	}
}
