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

// stalling is a store whose answers to watches break off until it is well.
type stalling struct {
	script

	isWell atomic.Bool
}

func (s *stalling) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	if !s.isWell.Load() {
		return nil, 0, mirror.ErrUnavailable
	}
	return []mirror.Event{{Item: item("b", 9)}}, 9, nil
}

// A peer knows a change that this node can't get. It serves by what it knows to be old,
// for minutes, and nothing says so: the first failed call has a line, all further ones
// have none, and the age of what is known looks the same while the store is away.
func TestOldValuesAreSaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewSystem().Now
		s := &stalling{script: script{lists: [][]mirror.Item{{item("a", 1)}}, now: now}}
		log, lines := test.NewNullLogger()
		received := uint64(0)
		f := mirror.NewFollower(mirror.FollowerConfig{
			Store: s, Now: now, Log: log, MaxStaleness: 2 * clock.Second,
			BytesReceived: func() uint64 { received += 500; return received },
			Deliver:       func([]mirror.Item, bool) {}, OnAvailability: func(error) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = f.Serve(ctx) }() // it ends with the context
		<-time.After(3 * time.Second)
		f.ReceiveUpdate(mirror.Update{Since: 7, Revision: 9})
		<-time.After(5 * time.Second)
		if got := f.Stats(); got.LateChanges != 1 || got.Lag < 5*clock.Second || got.Failed.Bytes != 500*got.Failed.Count {
			t.Errorf("got %+v, want one late change, known of for 5s, and the bytes of each failed call", got)
		}
		s.isWell.Store(true)
		<-time.After(3 * time.Second)
		if got := f.Stats(); got.LateChanges != 1 || got.Lag != 0 || got.Answered.Count < 2 {
			t.Errorf("got %+v, want nothing left unread", got)
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
			t.Errorf("got %d lines on failed calls, %d on old values and %d on their end, want 4 to 6, 2 and 1", failed, old, read)
		}
	})
}
