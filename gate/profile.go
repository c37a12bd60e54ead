package gate

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/speed"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// minShedShare is the share of shed runs from which an entry that chooses a slot for a retry
// is told. Below it the share is mostly scatter, and the entry takes it for 0.
const minShedShare = 0.05

// retryProfile returns the profile to send before the reservation for a retry, so that the
// entry can choose among the gates that reserve a slot, or nil if the entry needs none. It is
// called with the gate's lock held.
func (g *Gate) retryProfile(now clock.Millis, probe *wire.CapacityProbe) *wire.UpstreamProfile {
	if !probe.Retry || g.service.Placement != table.PlaceByCost || g.config.SendProfile == nil || g.shed.Share(now) < minShedShare {
		return nil
	}
	return g.upstreamProfile(now)
}

const (
	// profileInterval is the minimum time between two profiles of an upstream: about ten runs
	// at most, which change the estimate little.
	profileInterval = clock.Second
	// profileRefresh is the time after which a profile is sent again: entries use one for 10 s,
	// and a link may have opened since the last one.
	profileRefresh = 8 * clock.Second
)

// profileState is what a gate has learned about its upstream's process, and what of that
// entries know.
type profileState struct {
	learner speed.Learner
	// sent is the estimate that was last sent, at sentAt.
	sent   speed.Estimate
	sentAt clock.Millis
}

// defaultEstimate is what entries assume of an upstream without a profile.
var defaultEstimate = speed.Estimate{Speed: 1}

// countRunning returns the number of dispatches that run. It is called with the gate's lock
// held.
func (g *Gate) countRunning() int {
	runs := 0
	for _, j := range g.jobs {
		if j.running {
			runs++
		}
	}
	return runs
}

// observeSpeed learns from a run that was served. It is called with the gate's lock held and
// returns the calls to make after the lock is released.
func (g *Gate) observeSpeed(now clock.Millis, j *job, response Response, err error) []func() {
	if g.service.Placement != table.PlaceByCost {
		return nil
	}
	if classifyResult(response, err, false) == health.Good {
		g.profile.learner.Observe(speed.Run{Took: now - j.began, Typical: j.dispatch.MedianTime, Concurrent: j.concurrent})
	}
	if g.config.OnProfile == nil || !g.isProfileDue(now) {
		return nil
	}
	p := g.upstreamProfile(now)
	g.profile.sent, g.profile.sentAt = speed.Estimate{Speed: p.Speed, Concurrency: p.Concurrency}, now
	return []func(){func() { g.config.OnProfile(p) }}
}

// isProfileDue reports whether entries are to get the upstream's profile now. It is called
// with the gate's lock held.
func (g *Gate) isProfileDue(now clock.Millis) bool {
	current, known := g.profile.learner.Estimate(), g.profile.sent
	if known == (speed.Estimate{}) {
		known = defaultEstimate
	}
	age := now - g.profile.sentAt
	// Accounts compete while requests wait.
	hasContent := current.IsNoticeable(defaultEstimate) || g.slots.Load(now).Waiting > 0
	isStale := age >= profileRefresh && hasContent
	return isStale || (age >= profileInterval && current.IsNoticeable(known))
}

// upstreamProfile returns what the gate has learned about its upstream. It is called with the
// gate's lock held.
func (g *Gate) upstreamProfile(now clock.Millis) *wire.UpstreamProfile {
	e := g.profile.learner.Estimate()
	return &wire.UpstreamProfile{
		Upstream: g.upstream.Name, Speed: wire.RoundFloat(e.Speed), Concurrency: e.Concurrency,
		Shares: g.shares(now), Shed: wire.RoundFloat(g.shed.Share(now)),
	}
}

// addProfile adds what the gate has learned about its upstream to the state that metrics
// export. It is called with the gate's lock held.
func (g *Gate) addProfile(s *metrics.GateState) {
	if g.service.Placement != table.PlaceByCost {
		return
	}
	e := g.profile.learner.Estimate()
	s.IsProfiled, s.Speed, s.Concurrency = true, e.Speed, e.Concurrency
	if s.Concurrency == 0 {
		s.Concurrency = g.upstream.Slots
	}
}
