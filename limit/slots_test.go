package limit_test

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// The draws are the same on every run unless -rapid.seed is given.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// gate is a model of what a gate does with its tickets.
type gate struct {
	slots   *limit.Slots
	config  limit.SlotsConfig
	now     clock.Millis
	last    uint64
	running int
	waiting map[uint64]clock.Millis
}

func (g *gate) run(t *rapid.T, ticket uint64) {
	deadline, ok := g.waiting[ticket]
	if !ok || deadline <= g.now {
		t.Fatalf("ticket %d: got a slot at %v, want one that waits; deadline %v", ticket, g.now, deadline)
	}
	delete(g.waiting, ticket)
	g.running++
}

func (g *gate) offer(t *rapid.T) {
	g.last++
	deadline := g.now + clock.Millis(rapid.IntRange(-5, 200).Draw(t, "deadline"))
	load := g.slots.Load()
	offer := g.slots.AcquireUntil(g.now, g.last, deadline)
	refused := offer.Result == limit.Full || offer.Result == limit.Late
	if refused != (offer.RetryAfter > 0) {
		t.Fatalf("got %+v, want RetryAfter on a refusal only", offer)
	}
	if load.Free > 0 && deadline > g.now && offer.Result != limit.Run {
		t.Fatalf("got %+v with %+v, want a free slot used", offer, load)
	}
	switch offer.Result {
	case limit.Run:
		g.running++
	case limit.Wait:
		g.waiting[g.last] = deadline
	case limit.Full, limit.Late:
	}
}

func (g *gate) step(t *rapid.T) {
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0, 1:
		g.offer(t)
	case 2:
		g.running = max(g.running-1, 0)
		if ticket, ok := g.slots.Release(g.now); ok {
			g.run(t, ticket)
		}
	case 3:
		g.now += clock.Millis(rapid.IntRange(0, 60).Draw(t, "span"))
	case 4:
		ticket := uint64(rapid.IntRange(0, 9).Draw(t, "ticket"))
		_, want := g.waiting[g.last-ticket]
		if got := g.slots.Cancel(g.last - ticket); got != want {
			t.Fatalf("withdrawing %d: got %v, want %v", g.last-ticket, got, want)
		}
		delete(g.waiting, g.last-ticket)
	case 5:
		g.config = limit.SlotsConfig{
			Slots: rapid.IntRange(0, 7).Draw(t, "slots"), Queue: rapid.IntRange(0, 5).Draw(t, "queue"),
		}
		g.expire(t)
		for _, ticket := range g.slots.Resize(g.config) {
			g.run(t, ticket)
		}
	case 6:
		g.expire(t)
	}
}

func (g *gate) expire(t *rapid.T) {
	for _, ticket := range g.slots.Expire(g.now) {
		if _, ok := g.waiting[ticket]; !ok {
			t.Fatalf("got %d expired, want one that waits", ticket)
		}
		delete(g.waiting, ticket)
	}
	for ticket, deadline := range g.waiting {
		if deadline <= g.now {
			t.Fatalf("got %d left in the queue at %v, want it expired: deadline %v", ticket, g.now, deadline)
		}
	}
}

// Requests arrive, end, are cancelled and expire while operators edit slots.
// A ticket lost by the gate would hang its caller; one run twice would double
// a payroll entry; a slot lost would shrink the upstream until the restart.
func TestSlotsConserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &gate{config: limit.SlotsConfig{Slots: 3, Queue: 4}, waiting: make(map[uint64]clock.Millis)}
		g.slots = limit.NewSlots(g.config)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			g.step(t)
			got := g.slots.Load()
			if want := max(g.config.Slots-g.running, 0); got.InFlight != g.running || got.Free != want {
				t.Fatalf("got %+v, want %d in flight, %d free", got, g.running, want)
			}
			if got.Free > 0 && got.Waiting > 0 {
				t.Fatalf("got %+v, want no waiter beside a free slot", got)
			}
		}
		g.expire(t)
		if got, want := g.slots.Load().Waiting, len(g.waiting); got != want {
			t.Fatalf("got %d waiting, want %d", got, want)
		}
	})
}

// busy returns Slots that serve one request in 20 ms each and have learnt so.
func busy(c limit.SlotsConfig) (*limit.Slots, clock.Millis) {
	s, now := limit.NewSlots(c), clock.Millis(0)
	for range 100 {
		for range c.Slots {
			s.AcquireUntil(now, 0, now+clock.Second)
		}
		now += 20
		for range c.Slots {
			s.Release(now)
		}
	}
	for range c.Slots {
		s.AcquireUntil(now, 0, now+clock.Second)
	}
	return s, now
}

// A roster request with 25 ms left is queued behind 20 ms of others. Were it
// taken, it would be cut off while it runs: a slot is wasted and the caller
// told "unknown". It must be told "not run" at once, and when to come back.
func TestSlotsRefuseWhatCannotBeReached(t *testing.T) {
	s, now := busy(limit.SlotsConfig{Slots: 2, Queue: 3, Seed: 1})
	if got := s.AcquireUntil(now, 1, now+25).Result; got != limit.Late {
		t.Errorf("25 ms left: got %v, want Late", got)
	}
	for ticket := range uint64(3) {
		if got := s.AcquireUntil(now, ticket+2, now+75).Result; got != limit.Wait {
			t.Errorf("75 ms left, place %d: got %v, want Wait", ticket, got)
		}
	}
	if got := s.AcquireUntil(now, 5, now+clock.Second).Result; got != limit.Full {
		t.Errorf("queue full: got %v, want Full", got)
	}
	if ticket, ok := s.Release(now + 60); ok {
		t.Errorf("15 ms left: got ticket %d, want none run", ticket)
	}
	if got := s.Expire(now + 60); len(got) != 3 {
		t.Errorf("got %v expired, want the 3 passed over", got)
	}
}

// The gate's process is paused for an hour with its slots in use, or its first
// request is slow. Taken for the time that requests need, either would have
// the queue refuse everyone for minutes with an upstream that is well.
func TestSlotsKeepTheirQueue(t *testing.T) {
	paused, now := busy(limit.SlotsConfig{Slots: 2, Queue: 3})
	paused.Expire(now + clock.Hour)
	slow := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 3})
	slow.AcquireUntil(clock.Hour, 1, 2*clock.Hour)
	slow.Expire(clock.Hour + 900)
	slow.Release(clock.Hour + 900)
	slow.AcquireUntil(clock.Hour+900, 2, 2*clock.Hour)
	for name, s := range map[string]*limit.Slots{"paused": paused, "slow first request": slow} {
		at := now + clock.Hour
		if got := s.AcquireUntil(at, 3, at+200).Result; got != limit.Wait {
			t.Errorf("%s: got %v for a request with 200 ms left, want Wait", name, got)
		}
	}
}

// Sixty callers are refused in one millisecond of a morning's rush. Were all
// told the same span, they would come back as the same rush; they must come
// back at the rate at which the upstream drains, here one each 10 ms.
func TestRetryAfterSpreadsTheRefused(t *testing.T) {
	s, now := busy(limit.SlotsConfig{Slots: 2, Queue: 2, Seed: 1})
	s.AcquireUntil(now, 1, now+clock.Second)
	s.AcquireUntil(now, 2, now+clock.Second)
	count := make(map[clock.Millis]int)
	for ticket := range uint64(60) {
		count[s.AcquireUntil(now, ticket+3, now+clock.Second).RetryAfter/100]++
	}
	for tenth, got := range count {
		if got > 15 {
			t.Errorf("from %v ms: got %d callers told to come back in 100 ms, want at most 15", 100*tenth, got)
		}
	}
	if got := len(count); got < 6 {
		t.Errorf("got them spread over %d tenths of a second, want at least 6", got)
	}
}

// An upstream's process is replaced while three requests run there and one waits. The
// runs ended with it: kept as running, they would leave the new process idle.
func TestRestartFreesTheSlotsOfRuns(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 3, Queue: 4})
	for ticket := range uint64(4) {
		s.AcquireUntil(10, ticket, clock.Minute)
	}
	if got := s.Restart(3); !slices.Equal(got, []uint64{3}) {
		t.Errorf("got tickets %v, want the one that waited", got)
	}
	if got := s.Load(); got.InFlight != 1 || got.Free != 2 {
		t.Errorf("got %+v, want one run and two free slots", got)
	}
}
