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
		if got := s.Ask(at, limit.Ask{Ticket: ticket, Deadline: at + 3000, Until: at + 700, Priority: 2}).Answer; got != limit.Run {
			t.Fatalf("roster %d: got answer %v, want a slot", ticket, got)
		}
	}
	if got := s.Ask(at, limit.Ask{Ticket: 10, Deadline: at + 3000, Until: at + 700, Priority: 2}).Answer; got != limit.Wait {
		t.Fatalf("fourth roster: got answer %v, want a place", got)
	}
	if got := s.Ask(at+1, limit.Ask{Ticket: 11, Deadline: at + 600, Until: at + 300, Priority: 1}).Answer; got != limit.Wait {
		t.Fatalf("call: got answer %v, want a place", got)
	}
	if got, ok := s.Release(at + 10); !ok || got != 11 {
		t.Errorf("got ticket %d and %v for the slot that got free, want the call's", got, ok)
	}
	if got, ok := s.Release(at + 15); !ok || got != 10 {
		t.Errorf("got ticket %d and %v for the next one, want the roster's that waits", got, ok)
	}
	s.Release(at + 18)
	if got := s.Ask(at+20, limit.Ask{Ticket: 12, Deadline: at + 3000, Until: at + 20, Priority: 2}).Answer; got != limit.Run {
		t.Errorf("roster with a slot free: got answer %v, want it run: no slot idles for a call that may come", got)
	}
}

// A queue full of rosters must not refuse a call: the last roster gives up its
// place and is named by Expire, or its caller would wait for nothing.
func TestBetterRankTakesThePlaceOfTheLast(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 1, Seed: 1})
	s.Ask(1, limit.Ask{Ticket: 1, Deadline: 5000, Until: 5000})
	s.Ask(2, limit.Ask{Ticket: 2, Deadline: 5000, Until: 5000, Priority: 2})
	if got := s.Ask(3, limit.Ask{Ticket: 3, Deadline: 5000, Until: 5000, Priority: 1}).Answer; got != limit.Wait {
		t.Fatalf("got answer %v, want a place", got)
	}
	if got := s.Expire(4); len(got) != 1 || got[0] != 2 {
		t.Errorf("got %v given up, want ticket 2", got)
	}
}

// A request that only asks for a free slot must hear at once that there is none.
func TestAskWithoutPatienceDoesNotWait(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 5, Seed: 1})
	s.Ask(1, limit.Ask{Ticket: 1, Deadline: 5000, Until: 1})
	if got := s.Ask(2, limit.Ask{Ticket: 2, Deadline: 5000, Until: 2}).Answer; got != limit.Full {
		t.Errorf("got answer %v, want full", got)
	}
}

// A waiter whose patience is over is named, so that it is answered at once.
func TestPatienceEnds(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 5, Seed: 1})
	s.Ask(1, limit.Ask{Ticket: 1, Deadline: 5000, Until: 5000})
	s.Ask(2, limit.Ask{Ticket: 2, Deadline: 5000, Until: 100})
	if got := s.Expire(101); len(got) != 1 || got[0] != 2 {
		t.Errorf("got %v given up, want ticket 2", got)
	}
}

// Label releases of 860 ms and short calls of 310 ms, which bookings wait for, share the
// slots of a service whose other upstreams are in an episode: together they ask for a
// fifth more than there is. In order of ranks nearly every refused request was a call,
// and each took a booking along. With both, most of each must be served, and releases
// not less than calls. The pattern is that of the larger deployments on a busy day.
func TestOverloadIsSharedByWorthAndTime(t *testing.T) {
	kinds := []struct {
		every, work clock.Millis
		ask         limit.Ask
	}{
		{every: 95, work: 860, ask: limit.Ask{Priority: 0, Target: 2500}},
		{every: 36, work: 310, ask: limit.Ask{Priority: 1, Target: 1500}},
	}
	s := limit.NewSlots(limit.SlotsConfig{Slots: 15, Queue: 45, Seed: 1})
	asked, served := make([]int, 2), make([]int, 2)
	kindOf, ends := map[uint64]int{}, map[clock.Millis]int{}
	run := func(now clock.Millis, kind int) {
		served[kind]++
		ends[now+kinds[kind].work]++
	}
	ticket := uint64(0)
	for now := clock.Millis(1); now <= clock.Minute; now++ {
		s.Expire(now)
		for range ends[now] {
			if next, ok := s.Release(now); ok {
				run(now, kindOf[next])
			}
		}
		for i, k := range kinds {
			if now%k.every != 0 {
				continue
			}
			asked[i]++
			ticket++
			kindOf[ticket] = i
			k.ask.Ticket, k.ask.Deadline, k.ask.Until = ticket, now+4000, now+3*k.ask.Target/2
			if s.Ask(now, k.ask).Answer == limit.Run {
				run(now, i)
			}
		}
	}
	release, call := float64(served[0])/float64(asked[0]), float64(served[1])/float64(asked[1])
	t.Logf("served %.3f of the releases, %.3f of the calls", release, call)
	if release < call || release < 0.85 || call < 0.6 {
		t.Errorf("got %.3f of the releases served and %.3f of the calls, want 0.85 and 0.6 at least, and releases first", release, call)
	}
}

// With the same target, ranks alone decide who goes first, and of one rank who came first.
func TestSameTargetsGoByRank(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 5, Seed: 1})
	s.Ask(1, limit.Ask{Ticket: 1, Deadline: 5000, Until: 5000, Target: 800})
	for i, rank := range []int{2, 1, 1, 0} {
		s.Ask(2, limit.Ask{Ticket: uint64(i + 2), Deadline: 5000, Until: 5000, Priority: rank, Target: 800})
	}
	for _, want := range []uint64{5, 3, 4, 2} {
		if got, ok := s.Release(10); !ok || got != want {
			t.Errorf("got ticket %d and %v, want %d", got, ok, want)
		}
	}
}
