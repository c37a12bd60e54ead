package gate

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Status returns the status of the upstream that heartbeats and replies carry.
func (g *Gate) Status() wire.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status(g.config.Now())
}

// MetricsState returns the state of the gate that metrics export.
func (g *Gate) MetricsState() metrics.GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	load := g.slots.Load(now)
	retries, retryBound := g.quota.Usage(now)
	state := metrics.GateState{
		Service:    g.service.Name,
		Upstream:   g.upstream.Name,
		Verdict:    g.detector.Status(now).State,
		Leaving:    g.isLeaving(),
		Running:    load.InFlight,
		Waiting:    load.Waiting,
		Slots:      g.upstream.Slots,
		Queue:      g.service.Queue,
		Retries:    retries,
		RetryBound: retryBound,
		IsBounded:  g.service.RetryWindow > 0,
		IsLimited:  g.announced.IsLimited,
		RateLimit:  g.announced.RateLimit,
	}
	g.addProfile(&state)
	return state
}

// status returns the status of the upstream. It is called with the gate's lock held.
func (g *Gate) status(now clock.Millis) wire.Upstream {
	g.recordState(now)
	s := g.detector.Status(now)
	load := g.slots.Load(now)
	local := g.detector.LocalBaseline()
	if load.IsPaced {
		load.InFlight = max(load.InFlight, g.upstream.Slots) // entries choose upstreams with free slots
	}
	return wire.Upstream{
		Name:     g.upstream.Name,
		State:    uint8(s.State),
		Severity: wire.RoundFloat(s.Severity),
		Share:    wire.RoundFloat(s.Share),
		InFlight: load.InFlight,
		Waiting:  load.Waiting,
		Until:    max(s.Until-now, 0),
		Leaving:  g.isLeaving(),
		Down:     g.crash.isDown,
		Local:    wire.NewBaseline(local),
	}
}

// reply returns a reply to a dispatch without an outcome. It is called with the gate's lock
// held.
func (g *Gate) reply(now clock.Millis, d *wire.Dispatch) *wire.Reply {
	return &wire.Reply{ID: d.ID, Attempt: d.Attempt, Time: now, Upstream: g.status(now)}
}
