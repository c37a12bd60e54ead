package overload

import (
	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
)

// entry routes requests and sends them again.
type entry struct {
	world   *world
	domain  string
	chooser *choice.Chooser
	budget  *retry.Budget
	all     []choice.Candidate
	// inFlight counts the entry's outstanding requests by upstream, heard is the
	// load last heard and at when.
	inFlight     []int
	reportedLoad []int
	reportedAt   []clock.Millis
	turn         int
}

func newEntry(w *world, i int) *entry {
	n := len(w.gates)
	e := &entry{
		world:        w,
		domain:       w.domain(i),
		inFlight:     make([]int, n),
		reportedLoad: make([]int, n),
		reportedAt:   make([]clock.Millis, n),
		turn:         w.random.IntN(n),
	}
	seed := w.random.Uint64()
	e.chooser = choice.New(choice.Config{Domain: e.domain, Seed: seed})
	e.budget = retry.New(retry.Config{Share: w.config.Share, Seed: seed})
	for u := range n {
		e.all = append(e.all, choice.Candidate{
			Domain: w.domain(u), Weight: 1, Slots: w.config.Slots, Share: 1, Usable: true,
		})
	}
	return e
}

// begin sends a request the first time.
func (e *entry) begin(r *request) {
	now := e.world.events.now
	e.budget.RecordRequest(now)
	e.send(r)
	if h := e.world.config.Hedge; h > 0 {
		e.world.events.after(h, func() { e.retry(r, retry.NoResponse, 0) })
	}
}

// send makes an attempt at an upstream not yet tried.
func (e *entry) send(r *request) {
	u, ok := e.pick(r)
	if !ok {
		return
	}
	w := e.world
	w.tickets++
	w.result.Attempts++
	a := &attempt{request: r, gate: w.gates[u], ticket: w.tickets}
	if w.domain(u) != e.domain {
		a.hop = w.config.Hop
	}
	r.tried[u] = true
	r.tries++
	e.inFlight[u]++
	w.events.after(a.hop, func() { a.gate.arrive(a) })
	if t := w.config.Timeout; t > 0 {
		w.events.after(t, func() { e.timeout(a) })
	}
}

// pick returns an upstream. With unlimited retries all may be tried anew when
// none is left.
func (e *entry) pick(r *request) (int, bool) {
	if e.world.config.Retries == Unlimited && e.untried(r) == 0 {
		clear(r.tried)
	}
	if e.world.config.Routing == RoundRobin {
		for range e.all {
			e.turn = (e.turn + 1) % len(e.all)
			if !r.tried[e.turn] {
				return e.turn, true
			}
		}
		return 0, false
	}
	now := e.world.events.now
	if aside := e.world.config.EjectAt; aside > 0 && now >= aside {
		e.all[0].Usable = false
	}
	for u := range e.all {
		e.all[u].InFlight = max(e.inFlight[u], choice.DecayLoad(e.reportedLoad[u], now-e.reportedAt[u]))
	}
	return e.chooser.Choose(e.all, func(i int) bool { return r.tried[i] })
}

func (e *entry) untried(r *request) int {
	n := 0
	for _, tried := range r.tried {
		if !tried {
			n++
		}
	}
	return n
}

// complete ends an attempt that got no answer yet.
func (e *entry) complete(a *attempt) {
	if !a.done {
		a.done = true
		e.inFlight[a.gate.index]--
	}
}

func (e *entry) recordLoad(a *attempt, load int) {
	e.complete(a)
	e.reportedLoad[a.gate.index] = load
	e.reportedAt[a.gate.index] = e.world.events.now
}

// answered takes an answer; one that isn't whole was cut off at its deadline.
func (e *entry) answered(a *attempt, load int, whole bool) {
	e.recordLoad(a, load)
	e.budget.RecordReply(e.world.events.now, false)
	if whole && !a.request.done {
		e.world.serve(a.request)
	}
}

// refused takes a "not run".
func (e *entry) refused(a *attempt, load int, after clock.Millis) {
	e.recordLoad(a, load)
	e.budget.RecordReply(e.world.events.now, true)
	if !e.retry(a.request, retry.NotRun, after) && !a.request.done {
		e.world.refuse(a.request, after)
	}
}

// timeout sends an unanswered request again.
func (e *entry) timeout(a *attempt) {
	if !a.done {
		e.complete(a)
		e.retry(a.request, retry.NoResponse, 0)
	}
}

// retry sends a request again if the rule allows it, and says whether it did.
func (e *entry) retry(r *request, result retry.Result, after clock.Millis) bool {
	now := e.world.events.now
	if r.done {
		return false
	}
	switch e.world.config.Retries {
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
