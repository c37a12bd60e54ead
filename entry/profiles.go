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

// maxProfiles bounds the routes that have a latency profile. When it is exceeded, all
// profiles are discarded and start afresh.
const maxProfiles = 10_000

// latencyProfiles records how long the runs of each route take and how they fail, over
// all upstreams of a service: a gate that saw only its own upstream would take a slow
// upstream for a typical one. It is safe for concurrent use.
type latencyProfiles struct {
	mu      sync.Mutex
	byRoute map[string]*episode.LatencyProfile
	// failures maps a service to the ways in which its upstreams fail.
	failures map[string]*episode.FailureModes
}

func newLatencyProfiles() *latencyProfiles {
	return &latencyProfiles{byRoute: map[string]*episode.LatencyProfile{}, failures: map[string]*episode.FailureModes{}}
}

// routeKey identifies a route in a profile.
func routeKey(r *table.Route) string {
	return strings.ToLower(r.Host) + r.Prefix
}

// routeProfile returns a route's profile and creates it if needed. The caller holds p.mu.
func (p *latencyProfiles) routeProfile(r *table.Route) *episode.LatencyProfile {
	key := routeKey(r)
	profile, ok := p.byRoute[key]
	if !ok {
		if len(p.byRoute) >= maxProfiles {
			clear(p.byRoute)
		}
		profile = &episode.LatencyProfile{}
		p.byRoute[key] = profile
	}
	return profile
}

// typicalLatency returns the typical latency of the request's route. It is zero unless
// upstreams of the service fail in short episodes, since only their gates judge by it.
func (r *request) typicalLatency() episode.TypicalLatency {
	if r.config.Caution != table.ShortEpisodes {
		return episode.TypicalLatency{}
	}
	typical := r.routeLatency()
	p := r.entry.profiles
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.failures[r.serviceName]; ok {
		typical.HangShare = f.Published()
	}
	return typical
}

// routeLatency returns the latency of the runs on the request's route.
func (r *request) routeLatency() episode.TypicalLatency {
	p := r.entry.profiles
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routeProfile(r.route).Estimate(r.route.LatencyTarget)
}

// updateProfile records how long the upstream took to serve the request, or how it
// failed.
func (r *request) updateProfile(o *result) {
	isHung := o.reason == string(wire.ReasonHung)
	if (o.reply == nil && !isHung) || (o.reply != nil && o.reply.Replay) || (r.config.Caution != table.ShortEpisodes && !o.served) {
		return
	}
	p := r.entry.profiles
	p.mu.Lock()
	defer p.mu.Unlock()
	if isHung {
		p.serviceFailures(r.serviceName).AddHung(1)
		return
	}
	profile := p.routeProfile(r.route)
	switch {
	case o.served:
		profile.Observe(o.reply.Took)
	case o.kind != retry.Failed, o.reason == string(wire.ReasonCallerLeft):
	case o.reason == string(wire.ReasonTimeout):
		p.serviceFailures(r.serviceName).AddHung(1 - profile.Estimate(r.route.LatencyTarget).Survival(o.reply.Took))
	case o.reply.Took < episode.ImmediateWindow:
		p.serviceFailures(r.serviceName).AddImmediate(o.reply.Upstream.Severity)
	}
}

// serviceFailures returns a service's failure modes and creates them if needed. The
// caller holds p.mu.
func (p *latencyProfiles) serviceFailures(service string) *episode.FailureModes {
	f, ok := p.failures[service]
	if !ok {
		f = &episode.FailureModes{}
		p.failures[service] = f
	}
	return f
}

// prune drops the services that the table no longer lists.
func (p *latencyProfiles) prune(isListed func(service string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.failures, func(service string, _ *episode.FailureModes) bool { return !isListed(service) })
}
