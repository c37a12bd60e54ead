package waiting_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/waiting"
)

// The simulated service: 60 upstreams of 5 slots, runs of about 0.3 s, that get 0.55 of the
// load that they can serve, and 2.8 times that for 7 s.
const (
	upstreams   = 60
	slots       = 5
	runTime     = 300.0
	usualLoad   = 0.55
	burst       = 2.8
	burstBegin  = 3 * clock.Second
	burstEnd    = burstBegin + 7*clock.Second
	simEnd      = burstEnd + 5*clock.Second
	oneWay      = 2 * clock.Millis(1)
	target      = 2 * clock.Second
	deadline    = 6 * clock.Second
	heartbeat   = 500 * clock.Millis(1)
	unreachable = 6 // upstreams whose gates don't answer during the burst
)

// sim runs requests against gates in virtual time.
type sim struct {
	now    clock.Millis
	calls  map[clock.Millis][]func()
	random *rand.Rand
	gates  []*simGate
	tally  tally
}

type tally struct {
	inTarget, late, claims int
	refusedAfter           []clock.Millis
}

// value is that of the answers: an answer after the target has a tenth of its full value.
func (y *tally) value() float64 { return float64(y.inTarget) + 0.1*float64(y.late) }

// simGate is a gate with its queue. published is the load that entries see.
type simGate struct {
	sim       *sim
	slots     *limit.Slots
	waiters   map[uint64]*simClaim
	tickets   uint64
	published float64
	isSilent  bool
}

// simClaim is one request's claim at one gate.
type simClaim struct {
	gate    *simGate
	ticket  uint64
	until   clock.Millis
	granted func()
	refused func(limit.Decision)
	queued  func(wait clock.Millis)
	// isReleased means that its withdrawal is on the way, hasSlot that a slot is reserved for it.
	isReleased, hasSlot bool
	// isClaim means that waiting.Search makes the claim.
	isClaim bool
}

func (s *sim) after(wait clock.Millis, call func()) {
	s.calls[s.now+wait] = append(s.calls[s.now+wait], call)
}

// ask sends a claim to its gate.
func (c *simClaim) ask(s *sim, requestDeadline clock.Millis) {
	s.tally.claims++
	s.after(oneWay, func() {
		g := c.gate
		if g.isSilent || c.isReleased {
			return
		}
		g.tickets++
		c.ticket = g.tickets
		acquire := g.slots.Acquire
		if c.isClaim {
			acquire = g.slots.AcquireClaim
		}
		d := acquire(s.now, limit.Request{Ticket: c.ticket, Deadline: requestDeadline, Until: c.until, Priority: 2})
		switch d.Result {
		case limit.Run:
			c.hasSlot = true
			s.after(oneWay, c.granted)
		case limit.Wait:
			g.waiters[c.ticket] = c
			wait := g.slots.WaitEstimate(s.now, c.ticket)
			s.after(oneWay, func() { c.queued(wait) })
			s.after(c.until-s.now+1, g.expire)
		default:
			s.after(oneWay, func() { c.refused(d) })
		}
		g.expire()
	})
}

// withdraw tells the gate that the claim isn't needed.
func (c *simClaim) withdraw() {
	c.isReleased = true
	g := c.gate
	g.sim.after(oneWay, func() {
		delete(g.waiters, c.ticket)
		g.slots.Cancel(c.ticket)
		if c.hasSlot {
			c.hasSlot = false
			g.admit(g.slots.Return(g.sim.now))
		}
	})
}

func (g *simGate) expire() {
	for _, ticket := range g.slots.Expire(g.sim.now) {
		if c, ok := g.waiters[ticket]; ok {
			delete(g.waiters, ticket)
			d := limit.Decision{Result: limit.Late, RetryAfter: g.slots.RetryAfter(g.sim.now)}
			g.sim.after(oneWay, func() { c.refused(d) })
		}
	}
}

func (g *simGate) admit(ticket uint64, ok bool) {
	if c := g.waiters[ticket]; ok && c != nil {
		delete(g.waiters, ticket)
		c.hasSlot = true
		g.sim.after(oneWay, c.granted)
	}
}

// request is one request of a method under test.
type request struct {
	sim     *sim
	arrived clock.Millis
	done    bool
}

func (r *request) start(g *simGate) {
	r.done = true
	s := r.sim
	s.after(oneWay+clock.Millis(runTime*math.Exp(0.25*s.random.NormFloat64())), func() {
		g.admit(g.slots.Release(s.now))
		if s.now+oneWay-r.arrived <= target {
			s.tally.inTarget++
		} else {
			s.tally.late++
		}
	})
}

func (r *request) refuse() {
	r.done = true
	r.sim.tally.refusedAfter = append(r.sim.tally.refusedAfter, r.sim.now-r.arrived)
}

// best returns the gate with the lowest published load among those that are permitted.
func (s *sim) best(isPermitted func(i int) bool) (int, bool) {
	best, lowest := -1, 0.0
	for i, g := range s.gates {
		if load := g.published + 0.5*s.random.Float64(); (best < 0 || load < lowest) && isPermitted(i) {
			best, lowest = i, load
		}
	}
	return best, best >= 0
}

// fourGatesOnce waits at the four best gates for half of the target, as services do whose
// requests wait at gates.
func fourGatesOnce(r *request) {
	s, pending := r.sim, 4
	claims := make([]*simClaim, 0, pending)
	asked := map[int]bool{}
	for range 4 {
		i, _ := s.best(func(i int) bool { return !asked[i] })
		asked[i] = true
		c := &simClaim{gate: s.gates[i], until: s.now + target/2, queued: func(clock.Millis) {}}
		claims = append(claims, c)
		c.granted = func() {
			if r.done {
				return
			}
			r.start(c.gate)
			for _, other := range claims {
				if other != c {
					other.withdraw()
				}
			}
		}
		c.refused = func(limit.Decision) {
			if pending--; pending == 0 && !r.done {
				r.refuse()
			}
		}
		c.ask(s, r.arrived+deadline)
	}
	s.after(target/2+waiting.ConfirmTimeout, func() {
		if !r.done {
			r.refuse()
		}
	})
}

// pollAtRandom asks a random gate for a free slot every 100 ms.
func pollAtRandom(r *request) {
	s := r.sim
	if s.now >= r.arrived+deadline-clock.Millis(runTime) {
		r.refuse()
		return
	}
	c := &simClaim{gate: s.gates[s.random.IntN(len(s.gates))], until: s.now}
	c.granted = func() { r.start(c.gate) }
	c.refused = func(limit.Decision) {}
	c.ask(s, r.arrived+deadline)
	s.after(waiting.ConfirmTimeout, func() {
		if !r.done {
			pollAtRandom(r)
		}
	})
}

// searchRequest is a request that uses waiting.Search.
type searchRequest struct {
	*request
	search *waiting.Search
	claims []*simClaim
}

func searchService(r *request) {
	q := &searchRequest{request: r, search: waiting.New(waiting.Config{StartBy: r.arrived + deadline - clock.Millis(runTime), Claims: waiting.MaxClaims})}
	q.step()
}

func (q *searchRequest) step() {
	s := q.sim
	if q.done {
		return
	}
	for _, w := range q.search.Withdraw(s.now) {
		q.claims[w.Index].withdraw()
	}
	for q.search.WantsClaim(s.now) {
		i, ok := s.best(func(i int) bool { return q.search.MayAsk(s.now, gateName(i)) })
		if !ok {
			q.search.Exhaust(s.now)
			break
		}
		q.ask(i)
	}
	if q.search.HasEnded(s.now) {
		q.refuse()
		return
	}
	s.after(q.search.WakeAt(s.now)-s.now, q.step)
}

func gateName(i int) string { return string(rune('A' + i)) }

func (q *searchRequest) ask(i int) {
	s := q.sim
	index := q.search.Claim(s.now, gateName(i))
	c := &simClaim{gate: s.gates[i], isClaim: true, until: q.arrived + deadline - clock.Millis(runTime)}
	c.granted = func() {
		if !q.search.Grant(index) {
			return // its withdrawal is on the way
		}
		q.start(c.gate)
		for _, w := range q.search.Withdraw(s.now) {
			q.claims[w.Index].withdraw()
		}
	}
	c.refused = func(d limit.Decision) {
		q.search.Refuse(s.now, index, waiting.Refusal{IsFull: d.Result == limit.Full, RetryAfter: d.RetryAfter})
		q.step()
	}
	c.queued = func(wait clock.Millis) {
		q.search.Queue(s.now, index, wait)
		q.step()
	}
	q.claims = append(q.claims, c)
	c.ask(s, q.arrived+deadline)
}

// run simulates the burst with a method and returns its result.
func run(method func(*request)) tally {
	s := &sim{calls: map[clock.Millis][]func(){}, random: rand.New(rand.NewPCG(7, 7))}
	for i := range upstreams {
		s.gates = append(s.gates, &simGate{
			sim: s, waiters: map[uint64]*simClaim{},
			slots: limit.NewSlots(limit.SlotsConfig{Slots: slots, Queue: 3 * slots, Seed: uint64(i)}),
		})
	}
	for at := clock.Millis(0); at < simEnd; at += heartbeat {
		s.after(at, func() {
			for i, g := range s.gates {
				load := g.slots.Load(s.now)
				g.published = float64(load.InFlight + load.Waiting)
				g.isSilent = i < unreachable && s.now >= burstBegin && s.now < burstEnd
			}
		})
	}
	rate := usualLoad * upstreams * slots / runTime
	for at := 0.0; at < float64(simEnd); {
		s.after(clock.Millis(at), func() { method(&request{sim: s, arrived: s.now}) })
		factor := 1.0
		if at >= float64(burstBegin) && at < float64(burstEnd) {
			factor = burst
		}
		at += s.random.ExpFloat64() / (rate * factor)
	}
	for ; s.now < simEnd+2*deadline; s.now++ {
		for i := 0; i < len(s.calls[s.now]); i++ {
			s.calls[s.now][i]()
		}
		delete(s.calls, s.now)
	}
	slices.Sort(s.tally.refusedAfter)
	return s.tally
}

// Guards against refusals while the service has room: asked once, the four best gates refuse a
// burst of which others could serve a part in time.
func TestSearchServesMoreOfABurst(t *testing.T) {
	once, polled, searched := run(fourGatesOnce), run(pollAtRandom), run(searchService)
	for name, y := range map[string]*tally{"four gates once": &once, "poll at random": &polled, "search": &searched} {
		refused := y.refusedAfter
		t.Logf("%s: %d in target, %d late, %d refused after %v (median), %d claims", name, y.inTarget, y.late, len(refused), refused[len(refused)/2], y.claims)
	}
	if got, want := searched.value(), 1.1*max(once.value(), polled.value()); got < want {
		t.Errorf("got answers worth %.0f, want %.0f or more: a tenth more than by either other method", got, want)
	}
	if got := searched.refusedAfter[len(searched.refusedAfter)/2]; got > target/4 {
		t.Errorf("got half of the refusals after %v or more, want them within %v", got, target/4)
	}
}
