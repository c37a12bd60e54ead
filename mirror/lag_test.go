package mirror_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
)

// failingWatchStore is a store whose watches fail until it is available.
type failingWatchStore struct {
	scriptedStore

	isAvailable atomic.Bool
}

func (s *failingWatchStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	if !s.isAvailable.Load() {
		return nil, 0, mirror.ErrUnavailable
	}
	return []mirror.Event{{Item: item("b", 9)}}, 9, nil
}

// A peer knows a change that this node can't read. The node serves requests by old values
// for minutes without a log line that says so: only the first failed call was logged, and
// the age of the copy looks the same as while the store is unavailable.
func TestLateChangesAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewSystem().Now
		s := &failingWatchStore{scriptedStore: scriptedStore{lists: [][]mirror.Item{{item("a", 1)}}, now: now}}
		log, lines := test.NewNullLogger()
		received := uint64(0)
		f := mirror.NewFollower(mirror.FollowerConfig{
			Store: s, Now: now, Log: log, MaxStaleness: 2 * clock.Second,
			BytesReceived: func() uint64 { received += 500; return received },
			Deliver:       func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = f.Serve(ctx) }() // returns when ctx ends
		<-time.After(3 * time.Second)
		f.ReceiveUpdate(mirror.Update{CurrentAt: now(), Since: 7, Revision: 9})
		<-time.After(5 * time.Second)
		if got := f.Stats(); got.LateChanges != 1 || got.Lag < 5*clock.Second || got.Failed.Bytes != 500*got.Failed.Count {
			t.Errorf("got %+v, want one late change, announced 5s ago, and the bytes of each failed call", got)
		}
		s.isAvailable.Store(true)
		<-time.After(3 * time.Second)
		if got := f.Stats(); got.LateChanges != 1 || got.Lag != 0 || got.Answered.Count < 2 {
			t.Errorf("got %+v, want no unread change", got)
		}
		cancel()
		<-done
		counts := map[string]int{}
		for _, line := range lines.AllEntries() {
			counts[line.Message]++
		}
		failed, old, read := counts["call of the platform failed"],
			counts["platform's values are old: changes that a peer has read are not known here"],
			counts["late changes of the platform's values were read"]
		if failed < 4 || failed > 6 || old != 2 || read != 1 {
			t.Errorf("got %d lines about failed calls, %d about old values and %d about late changes read, want 4 to 6, 2 and 1", failed, old, read)
		}
	})
}
