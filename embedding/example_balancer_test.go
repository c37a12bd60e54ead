package embedding_test

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/floor"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
)

// timeSource is a clock.System in a program and a clock.Manual in this example.
type timeSource interface {
	Now() clock.Millis
}

// balancer spreads the requests of one service. It brings what the decision
// packages leave to their caller: a lock, a clock, seeds and the I/O.
type balancer struct {
	clock    timeSource
	deadline clock.Millis
	floor    float64
	quota    float64
	// send is the I/O: it blocks until an answer or the end of the budget.
	send func(server string, budget clock.Millis) health.Result

	mu       sync.Mutex // guards what follows
	rates    *limit.Rates
	chooser  *choice.Chooser
	budget   *retry.Budget
	servers  []*server
	outcomes int
	retries  int
	journal  func(server string, s health.Status)
}

// server is one upstream with its verdict.
type server struct {
	name     string
	judge    *health.Detector
	state    health.State
	inFlight int
}

const (
	weight = 100
	slots  = 3
	// baselineInterval is how many outcomes pass between two looks at what is usual.
	baselineInterval = 20
)

// newBalancer takes a seed, which a program draws anew for each process: two
// processes with one seed would make the same choices.
func newBalancer(source timeSource, seed uint64, names ...string) *balancer {
	b := &balancer{
		clock:    source,
		deadline: 2 * clock.Second,
		floor:    0.5,
		quota:    200,
		rates:    limit.NewRates(limit.RatesConfig{Seed: seed, Callers: 1000}),
		chooser:  choice.New(choice.Config{Domain: "palermo", Seed: seed}),
		budget:   retry.New(retry.Config{Share: 0.1, Seed: seed}),
	}
	for i, name := range names {
		judge := health.New(health.Config{Caution: table.Fast, Seed: seed + uint64(i)})
		b.servers = append(b.servers, &server{name: name, judge: judge})
	}
	return b
}

// request is what a caller wants. A repeatable one may run more than once.
type request struct {
	caller     string
	repeatable bool
}

// serve sends a request until it is answered or must not be sent again.
func (b *balancer) serve(r request) bool {
	until := b.clock.Now() + b.deadline
	if !b.admit(r) {
		return false
	}
	tried := make([]bool, len(b.servers))
	for attempts := 1; ; attempts++ {
		s, budget, ok := b.pick(r, tried, until)
		if !ok {
			return false
		}
		began := b.clock.Now()
		result := b.send(s.name, budget) // without the lock
		if b.recordResult(s, r, result, b.clock.Now()-began) {
			return true
		}
		if !b.shouldRetry(r, result, attempts, until) {
			return false
		}
	}
}

func (b *balancer) admit(r request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.budget.RecordRequest(now)
	return b.rates.Allow(now, "conferme", 0, r.caller, b.quota).OK
}

// pick chooses a server and the time that the attempt may take.
func (b *balancer) pick(r request, tried []bool, until clock.Millis) (*server, clock.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	uses, candidates := b.view(now)
	for {
		i, ok := b.chooser.Choose(candidates, func(i int) bool { return tried[i] })
		if !ok {
			return nil, 0, false
		}
		tried[i] = true
		s := b.servers[i]
		// A forced server serves in spite of its verdict, for the floor's sake.
		// Any other is asked, for one on trial has few places.
		if uses[i] == floor.Forced || s.judge.Admit(now, r.repeatable) {
			s.inFlight++
			return s, min(until-now, s.judge.OverdueAfter()), true
		}
	}
}

// view is what floor and choice are to know of the servers.
func (b *balancer) view(now clock.Millis) ([]floor.Use, []choice.Candidate) {
	members := make([]floor.Member, len(b.servers))
	for i, s := range b.servers {
		status := s.judge.Status(now)
		members[i] = floor.Member{
			Capacity: weight * slots,
			Ejected:  status.State == health.Ejected || status.State == health.Trial,
			Severity: status.Severity,
		}
	}
	uses := floor.Decide(nil, b.floor, members)
	candidates := make([]choice.Candidate, len(b.servers))
	for i, s := range b.servers {
		status := s.judge.Status(now)
		candidates[i] = choice.Candidate{
			Domain: "palermo", Weight: weight, Slots: slots, InFlight: s.inFlight, Share: status.Share,
			Usable: uses[i] == floor.Normal || uses[i] == floor.Forced || status.State == health.Trial,
		}
	}
	return uses, candidates
}

// recordResult tells the judge what became of an attempt.
func (b *balancer) recordResult(s *server, r request, result health.Result, took clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s.inFlight--
	s.judge.Observe(now, health.Observation{Result: result, Latency: took, Caller: r.caller})
	if status := s.judge.Status(now); status.State != s.state {
		s.state = status.State
		b.journal(s.name, status)
	}
	if b.outcomes++; b.outcomes%baselineInterval == 0 {
		b.updateBaselines()
	}
	return result == health.Good
}

// updateBaselines tells each judge what is usual, so that a fault common to all servers
// sets none of them aside.
func (b *balancer) updateBaselines() {
	own := make([]health.Baseline, 0, len(b.servers))
	for _, s := range b.servers {
		own = append(own, s.judge.LocalBaseline())
	}
	usual := health.Median(own)
	for _, s := range b.servers {
		s.judge.SetBaseline(usual)
	}
}

// shouldRetry asks the budget whether a failed request is sent once more.
func (b *balancer) shouldRetry(r request, result health.Result, attempts int, until clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.budget.RecordReply(now, result == health.Shed)
	kind := retry.Failed
	switch result {
	case health.Shed:
		kind = retry.NotRun
	case health.Overdue:
		kind = retry.NoResponse
	default:
	}
	d := b.budget.Decide(now, retry.Attempt{
		Result: kind, RefusedForLoad: result == health.Shed, Repeatable: r.repeatable,
		Attempts: attempts, Remaining: until - now, Untried: len(b.servers) - attempts,
	})
	if d.Retry {
		b.retries++
	}
	return d.Retry
}

// Six backend servers answer in 15 to 25 ms. After a minute one of them fails
// three requests in ten and goes on answering the others: a gray failure.
func Example_balancer() {
	var now clock.Manual
	random := rand.New(rand.NewPCG(1, 2))
	b := newBalancer(&now, 1, "conferme-1", "conferme-2", "conferme-3", "conferme-4", "conferme-5", "conferme-6")
	b.send = func(server string, _ clock.Millis) health.Result {
		now.Advance(15 + clock.Millis(random.IntN(11)))
		if server == "conferme-3" && now.Now() > clock.Minute && random.Float64() < 0.3 {
			return health.Failed
		}
		return health.Good
	}
	aside := map[string]bool{}
	b.journal = func(server string, s health.Status) {
		if s.State == health.Ejected && !aside[server] {
			aside[server] = true
			fmt.Println("set aside:", server)
		}
	}
	lookups, confirmations, lostLookups, lostConfirmations := 0, 0, 0, 0
	for now.Now() < 3*clock.Minute {
		r := request{caller: fmt.Sprintf("van-%d", random.IntN(20)), repeatable: random.IntN(10) > 0}
		answered := b.serve(r)
		switch {
		case r.repeatable:
			lookups++
		default:
			confirmations++
		}
		switch {
		case answered:
		case r.repeatable:
			lostLookups++
		default:
			lostConfirmations++
		}
	}
	fmt.Println("lookups lost:", lostLookups)
	fmt.Println("under 1 in 100 confirmations failed:", 100*lostConfirmations < confirmations)
	fmt.Println("under 1 in 100 requests sent again:", 100*b.retries < lookups+confirmations)
	// Output:
	// set aside: conferme-3
	// lookups lost: 0
	// under 1 in 100 confirmations failed: true
	// under 1 in 100 requests sent again: true
}
