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

// maxProfiles bounds the routes whose times are remembered; what is beyond begins anew.
const maxProfiles = 10_000

// latencyProfiles remembers how long the runs of each route usually take, and how they fail, at all
// upstreams of a service: a gate that knew its own alone would take a slow one for the usual.
// It is safe for concurrent use.
type latencyProfiles struct {
	mu      sync.Mutex
	byRoute map[string]*grade.LatencyProfile
	// failures is how upstreams fail, by service.
	failures map[string]*grade.FailureModes
}

func newLatencyProfiles() *latencyProfiles {
	return &latencyProfiles{byRoute: map[string]*grade.LatencyProfile{}, failures: map[string]*grade.FailureModes{}}
}

// routeProfile returns that of a route. The lock is held.
func (p *latencyProfiles) routeProfile(r *table.Route) *grade.LatencyProfile {
	key := strings.ToLower(r.Host) + r.Prefix
	one, ok := p.byRoute[key]
	if !ok {
		if len(p.byRoute) >= maxProfiles {
			clear(p.byRoute)
		}
		one = &grade.LatencyProfile{}
		p.byRoute[key] = one
	}
	return one
}

// typicalLatency is what the request's run usually takes; nothing is told where upstreams aren't
// judged by it.
func (r *request) typicalLatency() grade.TypicalLatency {
	if r.config.Caution != table.ShortEpisodes {
		return grade.TypicalLatency{}
	}
	p := r.entry.profiles
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.routeProfile(r.route).Estimate(r.route.LatencyTarget)
	if f, ok := p.failures[r.serviceName]; ok {
		usual.HangShare = f.Published()
	}
	return usual
}

// updateProfile takes in how long an upstream took that served the request, or how it failed.
func (r *request) updateProfile(o *result) {
	isStalled := o.reason == string(wire.ReasonHung)
	if r.config.Caution != table.ShortEpisodes || (o.reply == nil && !isStalled) || (o.reply != nil && o.reply.Replay) {
		return
	}
	p := r.entry.profiles
	p.mu.Lock()
	defer p.mu.Unlock()
	if isStalled {
		p.serviceFailures(r.serviceName).AddHung(1)
		return
	}
	pace := p.routeProfile(r.route)
	switch {
	case o.served:
		pace.Observe(o.reply.Took)
	case o.kind != retry.Failed, o.reason == string(wire.ReasonCallerLeft):
	case o.reason == string(wire.ReasonTimeout):
		p.serviceFailures(r.serviceName).AddHung(1 - pace.Estimate(r.route.LatencyTarget).Survival(o.reply.Took))
	case o.reply.Took < grade.ImmediateWindow:
		p.serviceFailures(r.serviceName).AddImmediate(o.reply.Upstream.Severity)
	}
}

// serviceFailures returns how a service fails. The lock is held.
func (p *latencyProfiles) serviceFailures(service string) *grade.FailureModes {
	f, ok := p.failures[service]
	if !ok {
		f = &grade.FailureModes{}
		p.failures[service] = f
	}
	return f
}

// prune drops the services that a table no longer names.
func (p *latencyProfiles) prune(named func(service string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.failures, func(service string, _ *grade.FailureModes) bool { return !named(service) })
}
