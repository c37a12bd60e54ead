package mirror_test

import (
	"context"
	"io"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
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

func (s *script) List(context.Context) ([]mirror.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.at = append(s.calls, "list"), append(s.at, s.now())
	first := s.lists[0]
	if len(s.lists) > 1 {
		s.lists = s.lists[1:]
	}
	return first, uint64(len(s.calls)), nil
}

func (s *script) Watch(_ context.Context, _ uint64, wait clock.Millis) ([]mirror.Event, uint64, error) {
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
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	s := &script{
		lists: [][]mirror.Item{{item("a", 1)}, {item("a", 1), item("b", 2)}},
		watch: []error{mirror.ErrHistory, mirror.ErrUnavailable},
		now:   clock.NewSystem().Now,
		next:  cancel,
	}
	var delivered []int
	var away []bool
	f := mirror.NewFollower(mirror.FollowerConfig{
		Store:   s,
		Now:     s.now,
		Deliver: func(items []mirror.Item) { delivered = append(delivered, len(items)) },
		Away:    func(cause error) { away = append(away, cause != nil) },
		Log:     log,
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
	if got := s.at[1] - s.at[0]; got < 1390 {
		t.Errorf("got %v between two calls, want the pace of 1.4 s: each call is priced", got)
	}
}
