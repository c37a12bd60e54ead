package entry

import (
	"maps"
	"strings"
	"sync"

	"fuchsiapick.example/fuchsiapick/episode"
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
	byRoute map[string]*episode.LatencyProfile
	// failures is how upstreams fail, by service.
	failures map[string]*episode.FailureModes
}

func newLatencyProfiles() *latencyProfiles {
	return &latencyProfiles{byRoute: map[string]*episode.LatencyProfile{}, failures: map[string]*episode.FailureModes{}}
}

// routeProfile returns that of a route. The lock is held.
func (p *latencyProfiles) routeProfile(r *table.Route) *episode.LatencyProfile {
	key := strings.ToLower(r.Host) + r.Prefix
	one, ok := p.byRoute[key]
	if !ok {
		if len(p.byRoute) >= maxProfiles {
			clear(p.byRoute)
		}
		one = &episode.LatencyProfile{}
		p.byRoute[key] = one
	}
	return one
}

// typicalLatency is what the request's run usually takes; nothing is told where upstreams aren't
// judged by it.
func (r *request) typicalLatency() episode.TypicalLatency {
	if r.config.Caution != table.ShortEpisodes {
		return episode.TypicalLatency{}
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
	case o.reply.Took < episode.ImmediateWindow:
		p.serviceFailures(r.serviceName).AddImmediate(o.reply.Upstream.Severity)
	}
}

// serviceFailures returns how a service fails. The lock is held.
func (p *latencyProfiles) serviceFailures(service string) *episode.FailureModes {
	f, ok := p.failures[service]
	if !ok {
		f = &episode.FailureModes{}
		p.failures[service] = f
	}
	return f
}

// prune drops the services that a table no longer names.
func (p *latencyProfiles) prune(named func(service string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.failures, func(service string, _ *episode.FailureModes) bool { return !named(service) })
}
