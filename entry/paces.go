package entry

import (
	"maps"
	"strings"
	"sync"

	"fuchsiapick.example/fuchsiapick/grade"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// mostPaces bounds the routes whose times are remembered; what is beyond begins anew.
const mostPaces = 10_000

// paces remembers how long the runs of each route usually take, and how they fail, at all
// upstreams of a service: a gate that knew its own alone would take a slow one for the usual.
// It is safe for concurrent use.
type paces struct {
	mu  sync.Mutex
	all map[string]*grade.LatencyProfile
	// failures is how upstreams fail, by service.
	failures map[string]*grade.FailureModes
}

func newPaces() *paces {
	return &paces{all: map[string]*grade.LatencyProfile{}, failures: map[string]*grade.FailureModes{}}
}

// pace returns that of a route. The lock is held.
func (p *paces) pace(r *table.Route) *grade.LatencyProfile {
	key := strings.ToLower(r.Host) + r.Prefix
	one, ok := p.all[key]
	if !ok {
		if len(p.all) >= mostPaces {
			clear(p.all)
		}
		one = &grade.LatencyProfile{}
		p.all[key] = one
	}
	return one
}

// usual is what the request's run usually takes; nothing is told where upstreams aren't
// judged by it.
func (r *request) usual() grade.TypicalLatency {
	if r.config.Caution != table.Brief {
		return grade.TypicalLatency{}
	}
	p := r.entry.paces
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.pace(r.route).Estimate(r.route.Target)
	if f, ok := p.failures[r.target]; ok {
		usual.HangShare = f.Published()
	}
	return usual
}

// learn takes in how long an upstream took that served the request, or how it failed.
func (r *request) learn(o *result) {
	isStalled := o.reason == string(wire.ReasonStalled)
	if r.config.Caution != table.Brief || (o.reply == nil && !isStalled) || (o.reply != nil && o.reply.Replay) {
		return
	}
	p := r.entry.paces
	p.mu.Lock()
	defer p.mu.Unlock()
	if isStalled {
		p.failing(r.target).AddHung(1)
		return
	}
	pace := p.pace(r.route)
	switch {
	case o.served:
		pace.Observe(o.reply.Took)
	case o.kind != retry.Failed, o.reason == string(wire.ReasonLeft):
	case o.reason == string(wire.ReasonTimeout):
		p.failing(r.target).AddHung(1 - pace.Estimate(r.route.Target).Survival(o.reply.Took))
	case o.reply.Took < grade.ImmediateWindow:
		p.failing(r.target).AddImmediate(o.reply.Upstream.Severity)
	}
}

// failing returns how a service fails. The lock is held.
func (p *paces) failing(service string) *grade.FailureModes {
	f, ok := p.failures[service]
	if !ok {
		f = &grade.FailureModes{}
		p.failures[service] = f
	}
	return f
}

// forget drops the services that a table no longer names.
func (p *paces) forget(named func(service string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.failures, func(service string, _ *grade.FailureModes) bool { return !named(service) })
}
