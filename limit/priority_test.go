package limit_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// Rosters of 600 ms fill the three slots of an upstream whose short calls decide
// whether confirmations succeed. A call that finds all slots held waits for a
// roster or is refused, and its parent fails with it. The pattern is that of
// squadre on a busy day, with half of its upstreams failing.
func TestBetterRanksFindRoom(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 3, Queue: 3, Seed: 1})
	at := clock.Second
	for ticket := range uint64(3) {
		if got := s.Acquire(at, limit.Request{Ticket: ticket, Deadline: at + 3000, Until: at + 700, Priority: 2}).Result; got != limit.Run {
			t.Fatalf("roster %d: got answer %v, want a slot", ticket, got)
		}
	}
	if got := s.Acquire(at, limit.Request{Ticket: 10, Deadline: at + 3000, Until: at + 700, Priority: 2}).Result; got != limit.Wait {
		t.Fatalf("fourth roster: got answer %v, want a place", got)
	}
	if got := s.Acquire(at+1, limit.Request{Ticket: 11, Deadline: at + 600, Until: at + 300, Priority: 1}).Result; got != limit.Wait {
		t.Fatalf("call: got answer %v, want a place", got)
	}
	if got, ok := s.Release(at + 10); !ok || got != 11 {
		t.Errorf("got ticket %d and %v for the slot that got free, want the call's", got, ok)
	}
	if got, ok := s.Release(at + 15); !ok || got != 10 {
		t.Errorf("got ticket %d and %v for the next one, want the roster's that waits", got, ok)
	}
	s.Release(at + 18)
	if got := s.Acquire(at+20, limit.Request{Ticket: 12, Deadline: at + 3000, Until: at + 20, Priority: 2}).Result; got != limit.Run {
		t.Errorf("roster with a slot free: got answer %v, want it run: no slot idles for a call that may come", got)
	}
}

// A queue full of rosters must not refuse a call: the last roster gives up its
// place and is named by Expire, or its caller would wait for nothing.
func TestBetterRankTakesThePlaceOfTheLast(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 1, Seed: 1})
	s.Acquire(1, limit.Request{Ticket: 1, Deadline: 5000, Until: 5000})
	s.Acquire(2, limit.Request{Ticket: 2, Deadline: 5000, Until: 5000, Priority: 2})
	if got := s.Acquire(3, limit.Request{Ticket: 3, Deadline: 5000, Until: 5000, Priority: 1}).Result; got != limit.Wait {
		t.Fatalf("got answer %v, want a place", got)
	}
	if got := s.Expire(4); len(got) != 1 || got[0] != 2 {
		t.Errorf("got %v given up, want ticket 2", got)
	}
}

// A request that only asks for a free slot must hear at once that there is none.
func TestAskWithoutPatienceDoesNotWait(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 5, Seed: 1})
	s.Acquire(1, limit.Request{Ticket: 1, Deadline: 5000, Until: 1})
	if got := s.Acquire(2, limit.Request{Ticket: 2, Deadline: 5000, Until: 2}).Result; got != limit.Full {
		t.Errorf("got answer %v, want full", got)
	}
}

// A waiter whose patience is over is named, so that it is answered at once.
func TestPatienceEnds(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 5, Seed: 1})
	s.Acquire(1, limit.Request{Ticket: 1, Deadline: 5000, Until: 5000})
	s.Acquire(2, limit.Request{Ticket: 2, Deadline: 5000, Until: 100})
	if got := s.Expire(101); len(got) != 1 || got[0] != 2 {
		t.Errorf("got %v given up, want ticket 2", got)
	}
}
