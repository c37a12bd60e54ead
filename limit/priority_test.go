package limit_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// Long requests of low priority (rosters of 600 ms) hold all three slots of an upstream. A
// short request of higher priority must get the next free slot: if it is late or refused,
// the request that needs it fails too. This is the load of the service squadre on a busy
// day with half of its upstreams failing.
func TestHigherPriorityGetsTheNextFreeSlot(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 3, Queue: 3, Seed: 1})
	at := clock.Second
	for ticket := range uint64(3) {
		if got := s.Acquire(at, limit.Request{Ticket: ticket, Deadline: at + 3000, Until: at + 700, Priority: 2}).Result; got != limit.Run {
			t.Fatalf("roster %d: got result %v, want a slot", ticket, got)
		}
	}
	if got := s.Acquire(at, limit.Request{Ticket: 10, Deadline: at + 3000, Until: at + 700, Priority: 2}).Result; got != limit.Wait {
		t.Fatalf("fourth roster: got result %v, want a queue position", got)
	}
	if got := s.Acquire(at+1, limit.Request{Ticket: 11, Deadline: at + 600, Until: at + 300, Priority: 1}).Result; got != limit.Wait {
		t.Fatalf("call: got result %v, want a queue position", got)
	}
	if got, ok := s.Release(at + 10); !ok || got != 11 {
		t.Errorf("got ticket %d and %v for the slot that became free, want the call's", got, ok)
	}
	if got, ok := s.Release(at + 15); !ok || got != 10 {
		t.Errorf("got ticket %d and %v for the next one, want the roster's that waits", got, ok)
	}
	s.Release(at + 18)
	if got := s.Acquire(at+20, limit.Request{Ticket: 12, Deadline: at + 3000, Until: at + 20, Priority: 2}).Result; got != limit.Run {
		t.Errorf("roster with a slot free: got result %v, want it run: no slot idles for a call that may come", got)
	}
}

// A queue full of low-priority requests must not refuse one of higher priority: it displaces
// the last waiter. Expire must return the displaced ticket, or its caller would wait in vain.
func TestHigherPriorityDisplacesTheLastWaiter(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 1, Seed: 1})
	s.Acquire(1, limit.Request{Ticket: 1, Deadline: 5000, Until: 5000})
	s.Acquire(2, limit.Request{Ticket: 2, Deadline: 5000, Until: 5000, Priority: 2})
	if got := s.Acquire(3, limit.Request{Ticket: 3, Deadline: 5000, Until: 5000, Priority: 1}).Result; got != limit.Wait {
		t.Fatalf("got result %v, want a queue position", got)
	}
	if got := s.Expire(4); len(got) != 1 || got[0] != 2 {
		t.Errorf("got %v expired, want ticket 2", got)
	}
}

// A request that can't wait must be refused immediately if no slot is free.
func TestRequestWithoutWaitBudgetDoesNotWait(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 5, Seed: 1})
	s.Acquire(1, limit.Request{Ticket: 1, Deadline: 5000, Until: 1})
	if got := s.Acquire(2, limit.Request{Ticket: 2, Deadline: 5000, Until: 2}).Result; got != limit.Full {
		t.Errorf("got result %v, want Full", got)
	}
}

// Expire must return a waiter whose Until has passed even if its deadline hasn't, so that
// its caller gets a refusal immediately.
func TestWaitBudgetExpires(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 5, Seed: 1})
	s.Acquire(1, limit.Request{Ticket: 1, Deadline: 5000, Until: 5000})
	s.Acquire(2, limit.Request{Ticket: 2, Deadline: 5000, Until: 100})
	if got := s.Expire(101); len(got) != 1 || got[0] != 2 {
		t.Errorf("got %v expired, want ticket 2", got)
	}
}
