package limit_test

import (
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/share"
)

// fairRequest returns a request that can wait for a minute.
func fairRequest(ticket uint64, priority int, account string, weight float64) limit.Request {
	return limit.Request{Ticket: ticket, Deadline: clock.Minute, Until: clock.Minute, Priority: priority, Account: account, Weight: weight}
}

// Requests of priority 0 always wait, as under lasting overload. Without a part of its own,
// priority 2 would get no slot, or not even a queue position. It must not get more than that
// part either: nothing less urgent goes before a more urgent request otherwise.
func TestNoPriorityStarves(t *testing.T) {
	for _, queue := range []int{2, 6} {
		s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: queue, Seed: 1, FairShare: true})
		now, ticket, isLow, low := clock.Millis(0), uint64(0), map[uint64]bool{}, 0
		for range 1000 {
			now += 20
			for _, priority := range []int{0, 2, 0} {
				ticket++
				isLow[ticket] = priority == 2
				s.Acquire(now, fairRequest(ticket, priority, "", 0))
			}
			if next, _ := s.Release(now); isLow[next] {
				low++
			}
			s.Expire(now)
		}
		if low < 48 || low > 50 {
			t.Errorf("queue of %d: got %d of 1000 slots for priority 2, want 0.05 of them", queue, low)
		}
	}
}

// An account over its share, of which the gate knows only from what claims state, fills the queue.
// A request of another account must displace its last waiter. If that one returned no later than the others, or before those refused earlier, the
// account would gain from being refused.
func TestAccountOverItsShareIsDisplacedAndReturnsLater(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 3, Seed: 1, FairShare: true})
	s.Acquire(10, fairRequest(1, 1, "large", 1))
	for ticket := range uint64(3) {
		s.Acquire(10, fairRequest(ticket+2, 1, "large", 0.1))
	}
	first := s.Acquire(10, fairRequest(5, 1, "large", 0.1))
	if first.Result != limit.Full {
		t.Errorf("fourth request of the large account: got %v, want Full", first.Result)
	}
	if got := s.Acquire(10, fairRequest(6, 1, "small", 1)).Result; got != limit.Wait {
		t.Errorf("request of the small account: got %v, want a queue position", got)
	}
	if got := s.Expire(10); !slices.Equal(got, []uint64{4}) {
		t.Errorf("got tickets %v displaced, want the last one of the large account", got)
	}
	second, ok := s.Displacement(4)
	if !ok || second < first.RetryAfter {
		t.Errorf("got %v and %v for the displaced request, want it to return after the one refused before, in %v", second, ok, first.RetryAfter)
	}
	s.Acquire(10, fairRequest(7, 0, "small", 1))
	s.Acquire(10, fairRequest(8, 0, "small", 1))
	if got := s.Acquire(10, fairRequest(9, 1, "other", 1)); got.Result != limit.Full || got.RetryAfter >= first.RetryAfter {
		t.Errorf("got %+v for an account within its share, want it to return before the large one's, in %v", got, first.RetryAfter)
	}
	if next, _ := s.Release(11); next != 7 {
		t.Errorf("got ticket %d, want the most urgent one", next)
	}
}

// Two accounts always have more requests than they can get slots for. Each must get slots by its
// weight, with what entries state and by the gate's count alone, whether weights are above or
// below the default.
func TestSlotsAreSharedByWeight(t *testing.T) {
	for _, weights := range []map[string]float64{{"a": 3, "b": 1}, {"a": 1.5, "b": 0.5}, {"a": 30, "b": 10}} {
		for _, isStated := range []bool{true, false} {
			weightOf := func(account string) float64 { return weights[account] }
			s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 8, Seed: 1, FairShare: true, AccountWeight: weightOf})
			service, accounts, runs := share.NewService(), map[uint64]string{}, map[string]int{}
			for ticket := uint64(0); ticket < 4000; {
				now := clock.Millis(ticket) * 50
				for _, account := range []string{"a", "b"} {
					ticket++
					stated := weights[account]
					if isStated {
						stated = service.Weight(now, account, stated)
					}
					accounts[ticket] = account
					s.Acquire(now, limit.Request{Ticket: ticket, Deadline: now + 1000, Until: now + 900, Account: account, Weight: stated})
				}
				s.Expire(now)
				if next, ok := s.Release(now); ok {
					runs[accounts[next]]++
					s.BeginUse(now, accounts[next])
					s.EndUse(now+100, accounts[next])
				}
				largest, _ := s.LargestUses(now+100, 8)
				service.Update(now, "c1", largest)
			}
			if got := float64(runs["a"]) / float64(runs["b"]); got < 2.7 || got > 3.3 {
				t.Errorf("weights %v, stated %v: got %v runs, want 3 to 1", weights, isStated, runs)
			}
		}
	}
}
