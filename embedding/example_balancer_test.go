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

// timeSource is a clock.System in a program, and a clock.Manual in this example.
type timeSource interface {
	Now() clock.Millis
}

// balancer distributes the requests of one service to its servers. It provides what the
// decision packages leave to their caller: a lock, a clock, seeds and the I/O.
type balancer struct {
	clock    timeSource
	deadline clock.Millis
	floor    float64
	quota    float64
	// send does the I/O: it blocks until an answer or the timeout.
	send func(server string, timeout clock.Millis) health.Result

	mu            sync.Mutex // guards the fields below
	rates         *limit.Rates
	chooser       *choice.Chooser
	budget        *retry.Budget
	servers       []*server
	outcomes      int
	retries       int
	onStateChange func(server string, s health.Status)
}

// server is one upstream with its failure detector.
type server struct {
	name     string
	detector *health.Detector
	state    health.State
	inFlight int
}

const (
	weight = 100
	slots  = 3
	// baselineInterval is the number of outcomes between two updates of the baselines.
	baselineInterval = 20
)

// newBalancer returns a balancer for the named servers. A program draws a random seed for
// each process: two processes with the same seed would make the same choices.
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
		detector := health.New(health.Config{Caution: table.Fast, Seed: seed + uint64(i)})
		b.servers = append(b.servers, &server{name: name, detector: detector})
	}
	return b
}

// request is a caller's request. A repeatable request may run more than once.
type request struct {
	caller     string
	repeatable bool
}

// serve sends a request until it is answered or must not be retried. It reports whether the
// request was answered.
func (b *balancer) serve(r request) bool {
	until := b.clock.Now() + b.deadline
	if !b.admit(r) {
		return false
	}
	tried := make([]bool, len(b.servers))
	for attempts := 1; ; attempts++ {
		s, timeout, ok := b.pickServer(r, tried, until)
		if !ok {
			return false
		}
		began := b.clock.Now()
		result := b.send(s.name, timeout) // without the lock
		if b.recordResult(s, r, result, b.clock.Now()-began) {
			return true
		}
		if !b.shouldRetry(r, result, attempts, until) {
			return false
		}
	}
}

// admit reports whether the caller is within its request rate, and counts the request.
func (b *balancer) admit(r request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.budget.RecordRequest(now)
	return b.rates.Allow(now, "conferme", 0, r.caller, b.quota).OK
}

// pickServer chooses a server not yet tried, and the timeout of the attempt. It returns
// false if none is left.
func (b *balancer) pickServer(r request, tried []bool, until clock.Millis) (*server, clock.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	uses, candidates := b.evaluateServers(now)
	for {
		i, ok := b.chooser.Choose(candidates, func(i int) bool { return tried[i] })
		if !ok {
			return nil, 0, false
		}
		tried[i] = true
		s := b.servers[i]
		// A forced server is used although it is ejected, to keep the floor. For any
		// other server the detector decides: it admits only some requests during a trial.
		if uses[i] == floor.Forced || s.detector.Admit(now, r.repeatable) {
			s.inFlight++
			return s, min(until-now, s.detector.OverdueAfter()), true
		}
	}
}

// evaluateServers returns the use that the floor allows of each server, and the candidates
// for choice.
func (b *balancer) evaluateServers(now clock.Millis) ([]floor.Use, []choice.Candidate) {
	members := make([]floor.Member, len(b.servers))
	for i, s := range b.servers {
		status := s.detector.Status(now)
		members[i] = floor.Member{
			Capacity: weight * slots,
			Ejected:  status.State == health.Ejected || status.State == health.Trial,
			Severity: status.Severity,
		}
	}
	uses := floor.Decide(nil, b.floor, members)
	candidates := make([]choice.Candidate, len(b.servers))
	for i, s := range b.servers {
		status := s.detector.Status(now)
		candidates[i] = choice.Candidate{
			Domain: "palermo", Weight: weight, Slots: slots, InFlight: s.inFlight, Share: status.Share,
			Usable: uses[i] == floor.Normal || uses[i] == floor.Forced || status.State == health.Trial,
		}
	}
	return uses, candidates
}

// recordResult records the result of an attempt in the server's detector. It reports
// whether the request was answered.
func (b *balancer) recordResult(s *server, r request, result health.Result, took clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s.inFlight--
	s.detector.Observe(now, health.Observation{Result: result, Latency: took, Caller: r.caller})
	if status := s.detector.Status(now); status.State != s.state {
		s.state = status.State
		b.onStateChange(s.name, status)
	}
	if b.outcomes++; b.outcomes%baselineInterval == 0 {
		b.updateBaselines()
	}
	return result == health.Good
}

// updateBaselines gives each detector the median baseline of the servers, so that a fault
// common to all servers ejects none of them.
func (b *balancer) updateBaselines() {
	baselines := make([]health.Baseline, 0, len(b.servers))
	for _, s := range b.servers {
		baselines = append(baselines, s.detector.LocalBaseline())
	}
	median := health.Median(baselines)
	for _, s := range b.servers {
		s.detector.SetBaseline(median)
	}
}

// shouldRetry reports whether the budget allows a retry of the request.
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
	decision := b.budget.Decide(now, retry.Attempt{
		Result: kind, RefusedForLoad: result == health.Shed, Repeatable: r.repeatable,
		Attempts: attempts, Remaining: until - now, Untried: len(b.servers) - attempts,
	})
	if decision.Retry {
		b.retries++
	}
	return decision.Retry
}

// Six backend servers answer in 15 to 25 ms. After a minute, one of them fails three of ten
// requests and still answers the others (a gray failure). It must be ejected before
// many requests fail or are retried.
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
	ejected := map[string]bool{}
	b.onStateChange = func(server string, s health.Status) {
		if s.State == health.Ejected && !ejected[server] {
			ejected[server] = true
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
