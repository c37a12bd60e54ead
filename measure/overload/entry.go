package overload

import (
	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
)

// entry routes and retries requests.
type entry struct {
	sim        *simulation
	domain     string
	chooser    *choice.Chooser
	budget     *retry.Budget
	candidates []choice.Candidate
	// inFlight counts the requests in flight from this entry, reportedLoad holds the
	// load that gates reported last, and reportedAt when they did, all by upstream.
	inFlight     []int
	reportedLoad []int
	reportedAt   []clock.Millis
	lastChosen   int
}

func newEntry(sim *simulation, i int) *entry {
	n := len(sim.gates)
	e := &entry{
		sim:          sim,
		domain:       sim.domain(i),
		inFlight:     make([]int, n),
		reportedLoad: make([]int, n),
		reportedAt:   make([]clock.Millis, n),
		lastChosen:   sim.random.IntN(n),
	}
	seed := sim.random.Uint64()
	e.chooser = choice.New(choice.Config{Domain: e.domain, Seed: seed})
	e.budget = retry.New(retry.Config{Share: sim.config.Share, Seed: seed})
	for u := range n {
		e.candidates = append(e.candidates, choice.Candidate{
			Domain: sim.domain(u), Weight: 1, Slots: sim.config.Slots, Share: 1, Usable: true,
		})
	}
	return e
}

// begin makes the first attempt at a request and schedules its hedge.
func (e *entry) begin(r *request) {
	now := e.sim.scheduler.now
	e.budget.RecordRequest(now)
	e.send(r)
	if h := e.sim.config.Hedge; h > 0 {
		e.sim.scheduler.after(h, func() { e.retry(r, retry.NoResponse, 0) })
	}
}

// send makes an attempt at an upstream that has not been tried, if there is one.
func (e *entry) send(r *request) {
	u, ok := e.pick(r)
	if !ok {
		return
	}
	sim := e.sim
	sim.tickets++
	sim.result.Attempts++
	a := &attempt{request: r, gate: sim.gates[u], ticket: sim.tickets}
	if sim.domain(u) != e.domain {
		a.hopDelay = sim.config.Hop
	}
	r.tried[u] = true
	r.tries++
	e.inFlight[u]++
	sim.scheduler.after(a.hopDelay, func() { a.gate.arrive(a) })
	if t := sim.config.Timeout; t > 0 {
		sim.scheduler.after(t, func() { e.timeout(a) })
	}
}

// pick returns an upstream that has not been tried, or false if there is none. With
// unlimited retries, all may be tried again once none is left.
func (e *entry) pick(r *request) (int, bool) {
	if e.sim.config.Retries == Unlimited && e.untried(r) == 0 {
		clear(r.tried)
	}
	if e.sim.config.Routing == RoundRobin {
		for range e.candidates {
			e.lastChosen = (e.lastChosen + 1) % len(e.candidates)
			if !r.tried[e.lastChosen] {
				return e.lastChosen, true
			}
		}
		return 0, false
	}
	now := e.sim.scheduler.now
	if ejectAt := e.sim.config.EjectAt; ejectAt > 0 && now >= ejectAt {
		e.candidates[0].Usable = false
	}
	for u := range e.candidates {
		e.candidates[u].InFlight = max(e.inFlight[u], choice.DecayLoad(e.reportedLoad[u], now-e.reportedAt[u]))
	}
	return e.chooser.Choose(e.candidates, func(i int) bool { return r.tried[i] })
}

// untried returns the number of upstreams that the request has not tried.
func (e *entry) untried(r *request) int {
	n := 0
	for _, tried := range r.tried {
		if !tried {
			n++
		}
	}
	return n
}

// complete stops counting an attempt as in flight.
func (e *entry) complete(a *attempt) {
	if !a.done {
		a.done = true
		e.inFlight[a.gate.index]--
	}
}

// recordLoad completes an attempt and records the load that the gate reported.
func (e *entry) recordLoad(a *attempt, load int) {
	e.complete(a)
	e.reportedLoad[a.gate.index] = load
	e.reportedAt[a.gate.index] = e.sim.scheduler.now
}

// answered handles an answer. An attempt that was cancelled at its deadline is not complete.
func (e *entry) answered(a *attempt, load int, isComplete bool) {
	e.recordLoad(a, load)
	e.budget.RecordReply(e.sim.scheduler.now, false)
	if isComplete && !a.request.done {
		e.sim.serve(a.request)
	}
}

// refused handles the answer "not run". If the retry rule does not allow a retry, the
// request ends as refused.
func (e *entry) refused(a *attempt, load int, after clock.Millis) {
	e.recordLoad(a, load)
	e.budget.RecordReply(e.sim.scheduler.now, true)
	if !e.retry(a.request, retry.NotRun, after) && !a.request.done {
		e.sim.refuse(a.request, after)
	}
}

// timeout retries a request whose attempt has not been answered.
func (e *entry) timeout(a *attempt) {
	if !a.done {
		e.complete(a)
		e.retry(a.request, retry.NoResponse, 0)
	}
}

// retry sends a request again if the retry rule allows it, and reports whether it did.
func (e *entry) retry(r *request, result retry.Result, after clock.Millis) bool {
	now := e.sim.scheduler.now
	if r.done {
		return false
	}
	switch e.sim.config.Retries {
	case NoRetries:
		return false
	case Unlimited:
		e.send(r)
		return true
	case Budget:
		d := e.budget.Decide(now, retry.Attempt{
			Result: result, RefusedForLoad: result == retry.NotRun, Repeatable: true, Attempts: r.tries,
			Remaining: r.deadline - now, RetryAfter: after, Untried: e.untried(r),
		})
		if d.Retry {
			e.send(r)
		}
		return d.Retry
	}
	return false
}
