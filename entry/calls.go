package entry

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

// calls counts what the backend servers beside this node call. It is safe for concurrent
// use.
type calls struct {
	mu   *sync.Mutex
	made *retry.Calls
}

func newCalls() calls {
	return calls{mu: &sync.Mutex{}, made: retry.NewCalls()}
}

// Ran takes in that a backend server beside this node began a run.
func (e *Entry) Ran() {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	e.calls.made.Ran(e.config.Now())
}

// Calls are those that a run beside this node makes, on average, of the services that it
// calls at all.
func (e *Entry) Calls() []wire.Calls {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	var all []wire.Calls
	for service, each := range e.calls.made.Each(e.config.Now()) {
		if each >= leastCalls {
			all = append(all, wire.Calls{Service: service, Each: wire.Short(each)})
		}
	}
	return all
}

// noteCall counts a call of a backend server beside this node.
func (e *Entry) noteCall(now clock.Millis, service string) {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	e.calls.made.Made(now, service)
}

// leastCalls is the number of calls a run below which they aren't told: a hundredth of
// what the smallest budgets hold for each.
const leastCalls = 0.02

// lastingRun is the time within which a failed run has made no calls: the runs of an
// upstream in an episode end within milliseconds.
const lastingRun = 20 * clock.Millis(1)

// chargeCalls counts the calls that a repeated run has made again, in the budgets of the
// services called. These see each of them for the first time. It is asked before the
// request takes the outcome in.
func (r *request) chargeCalls(now, sent clock.Millis, a *attempt, o *result) {
	if o.kind == retry.NotRun || r.arrivals < 1 || (!o.served && now-sent < lastingRun) {
		return
	}
	for _, c := range r.service.callsOf(a.member) {
		if s, ok := (*r.entry.services.Load())[c.Service]; ok {
			s.repeated(now, c.Each)
		}
	}
}

// callsSpent reports whether a service that the run would call again has no retries left.
func (r *request) callsSpent(now clock.Millis) bool {
	if len(r.tried) == 0 {
		return false
	}
	for _, c := range r.service.callsOf(r.tried[len(r.tried)-1]) {
		if s, ok := (*r.entry.services.Load())[c.Service]; ok && s != r.service && !s.affords(now, c.Each) {
			return true
		}
	}
	return false
}
