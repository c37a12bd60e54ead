package limit_test

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// init fixes the seed of the property tests unless -rapid.seed is given on the command line.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// gateModel tracks the tickets of a gate and checks each result of its Slots.
type gateModel struct {
	slots      *limit.Slots
	config     limit.SlotsConfig
	now        clock.Millis
	lastTicket uint64
	running    int
	waiting    map[uint64]clock.Millis
	isFair     bool // draw FairShare, accounts, weights and priorities
}

func (g *gateModel) markRunning(t *rapid.T, ticket uint64) {
	deadline, ok := g.waiting[ticket]
	if !ok || deadline <= g.now {
		t.Fatalf("ticket %d: got a slot at %v, want one that waits; deadline %v", ticket, g.now, deadline)
	}
	delete(g.waiting, ticket)
	g.running++
}

func (g *gateModel) acquire(t *rapid.T) {
	g.lastTicket++
	deadline := g.now + clock.Millis(rapid.IntRange(-5, 200).Draw(t, "deadline"))
	load := g.slots.Load(g.now)
	request := limit.Request{Ticket: g.lastTicket, Deadline: deadline, Until: deadline}
	if g.isFair {
		request.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
		request.Account = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account")
		request.Weight = rapid.Float64Range(0, 2).Draw(t, "weight")
		request.StartBy = g.now + clock.Millis(rapid.IntRange(0, 100).Draw(t, "start by"))
		g.slots.BeginUse(g.now, request.Account)
	}
	decision := g.slots.Acquire(g.now, request)
	refused := decision.Result == limit.Full || decision.Result == limit.Late
	if refused != (decision.RetryAfter > 0) {
		t.Fatalf("got %+v, want RetryAfter on a refusal only", decision)
	}
	if load.Free > 0 && deadline > g.now && decision.Result != limit.Run {
		t.Fatalf("got %+v with %+v, want a free slot used", decision, load)
	}
	switch decision.Result {
	case limit.Run:
		g.running++
	case limit.Wait:
		g.waiting[g.lastTicket] = deadline
	case limit.Full, limit.Late, limit.Paced:
	}
}

func (g *gateModel) step(t *rapid.T) {
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0, 1:
		g.acquire(t)
	case 2:
		g.running = max(g.running-1, 0)
		if ticket, ok := g.slots.Release(g.now); ok {
			g.markRunning(t, ticket)
		}
	case 3:
		g.now += clock.Millis(rapid.IntRange(0, 60).Draw(t, "span"))
	case 4:
		ticket := uint64(rapid.IntRange(0, 9).Draw(t, "ticket"))
		_, want := g.waiting[g.lastTicket-ticket]
		if got := g.slots.Cancel(g.lastTicket - ticket); got != want {
			t.Fatalf("cancelling %d: got %v, want %v", g.lastTicket-ticket, got, want)
		}
		delete(g.waiting, g.lastTicket-ticket)
	case 5:
		g.config = limit.SlotsConfig{
			Slots: rapid.IntRange(0, 7).Draw(t, "slots"), Queue: rapid.IntRange(0, 5).Draw(t, "queue"),
			FairShare: g.isFair && rapid.Bool().Draw(t, "fair share"),
		}
		g.expire(t)
		for _, ticket := range g.slots.Resize(g.config) {
			g.markRunning(t, ticket)
		}
	case 6:
		g.expire(t)
	}
}

func (g *gateModel) expire(t *rapid.T) {
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

// Requests arrive, complete, are cancelled and expire while operators change the number of
// slots. A lost ticket would leave its caller without an answer, a ticket that runs twice
// would repeat a payroll entry, and a lost slot would reduce the upstream's capacity until
// a restart.
func TestSlotsLoseNoTicketOrSlot(t *testing.T) {
	t.Run("by arrival", func(t *testing.T) { checkSlots(t, false) })
	t.Run("by shares", func(t *testing.T) { checkSlots(t, true) })
}

func checkSlots(t *testing.T, isFair bool) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		g := &gateModel{config: limit.SlotsConfig{Slots: 3, Queue: 4, FairShare: isFair}, waiting: make(map[uint64]clock.Millis), isFair: isFair}
		g.slots = limit.NewSlots(g.config)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			g.step(t)
			got := g.slots.Load(g.now)
			if want := max(g.config.Slots-g.running, 0); got.InFlight != g.running || got.Free != want {
				t.Fatalf("got %+v, want %d in flight, %d free", got, g.running, want)
			}
			if got.Free > 0 && got.Waiting > 0 {
				t.Fatalf("got %+v, want no waiter beside a free slot", got)
			}
		}
		g.expire(t)
		if got, want := g.slots.Load(g.now).Waiting, len(g.waiting); got != want {
			t.Fatalf("got %d waiting, want %d", got, want)
		}
	})
}

// newBusySlots returns Slots that are all in use, after enough requests of 20 ms for a
// reliable estimate of the service time, and the current instant.
func newBusySlots(c limit.SlotsConfig) (*limit.Slots, clock.Millis) {
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

// A request with 25 ms left would wait behind 20 ms of other work. If it were accepted, it
// would be cut off while it runs: the slot is wasted and the caller gets the outcome
// unknown. It must be refused immediately, as not run and with a retry time.
func TestSlotsRefuseUnreachableDeadlines(t *testing.T) {
	s, now := newBusySlots(limit.SlotsConfig{Slots: 2, Queue: 3, Seed: 1})
	if got := s.AcquireUntil(now, 1, now+25).Result; got != limit.Late {
		t.Errorf("25 ms left: got %v, want Late", got)
	}
	for ticket := range uint64(3) {
		if got := s.AcquireUntil(now, ticket+2, now+75).Result; got != limit.Wait {
			t.Errorf("75 ms left, queue position %d: got %v, want Wait", ticket, got)
		}
	}
	if got := s.AcquireUntil(now, 5, now+clock.Second).Result; got != limit.Full {
		t.Errorf("queue full: got %v, want Full", got)
	}
	if ticket, ok := s.Release(now + 60); ok {
		t.Errorf("15 ms left: got ticket %d, want none run", ticket)
	}
	if got := s.Expire(now + 60); len(got) != 3 {
		t.Errorf("got %v expired, want the 3 skipped", got)
	}
}

// The gate's process is paused for an hour while slots are in use, or the first request is
// slow. If either raised the estimate of the service time, the queue would refuse all
// requests for minutes although the upstream is healthy.
func TestPauseOrSlowRequestKeepsQueueOpen(t *testing.T) {
	paused, now := newBusySlots(limit.SlotsConfig{Slots: 2, Queue: 3})
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

// Sixty callers are refused in the same millisecond. If all got the same delay, they
// would return together; they must return at the rate at which the upstream completes
// requests, here one every 10 ms.
func TestRetryAfterSpreadsRefusedCallers(t *testing.T) {
	s, now := newBusySlots(limit.SlotsConfig{Slots: 2, Queue: 2, Seed: 1})
	s.AcquireUntil(now, 1, now+clock.Second)
	s.AcquireUntil(now, 2, now+clock.Second)
	count := make(map[clock.Millis]int)
	for ticket := range uint64(60) {
		count[s.AcquireUntil(now, ticket+3, now+clock.Second).RetryAfter/100]++
	}
	for tenth, got := range count {
		if got > 15 {
			t.Errorf("from %v ms: got %d callers that are to retry within 100 ms, want at most 15", 100*tenth, got)
		}
	}
	if got := len(count); got < 6 {
		t.Errorf("got them spread over %d tenths of a second, want at least 6", got)
	}
}

// An upstream's process is replaced while three requests run there and one waits. The runs
// ended with the old process: if they kept their slots, the new process would be idle.
func TestRestartFreesTheSlotsOfRuns(t *testing.T) {
	s := limit.NewSlots(limit.SlotsConfig{Slots: 3, Queue: 4})
	for ticket := range uint64(4) {
		s.AcquireUntil(10, ticket, clock.Minute)
	}
	if got := s.Restart(3); !slices.Equal(got, []uint64{3}) {
		t.Errorf("got tickets %v, want the one that waited", got)
	}
	if got := s.Load(10); got.InFlight != 1 || got.Free != 2 {
		t.Errorf("got %+v, want one run and two free slots", got)
	}
}
