package gate

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Status is what heartbeats and replies say of the upstream.
func (g *Gate) Status() wire.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status(g.config.Now())
}

// Describe is what metrics say of the gate.
func (g *Gate) Describe() metrics.GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	load := g.slots.Load()
	retries, bound := g.quota.Usage(now)
	return metrics.GateState{
		Service:    g.service.Name,
		Upstream:   g.upstream.Name,
		Verdict:    g.judge.Status(now).State,
		Leaving:    g.left(),
		Running:    load.InFlight,
		Waiting:    load.Waiting,
		Slots:      g.upstream.Slots,
		Queue:      g.service.Queue,
		Retries:    retries,
		RetryBound: bound,
	}
}

func (g *Gate) status(now clock.Millis) wire.Upstream {
	g.noteState(now)
	s := g.judge.Status(now)
	load := g.slots.Load()
	own := g.judge.Own()
	return wire.Upstream{
		Name:     g.upstream.Name,
		State:    uint8(s.State),
		Severity: wire.Short(s.Severity),
		Share:    wire.Short(s.Share),
		InFlight: load.InFlight,
		Waiting:  load.Waiting,
		Until:    max(s.Until-now, 0),
		Leaving:  g.left(),
		Down:     g.crash.isDown,
		Own:      wire.BaselineOf(own),
	}
}

func (g *Gate) reply(now clock.Millis, d *wire.Dispatch) *wire.Reply {
	return &wire.Reply{ID: d.ID, Attempt: d.Attempt, Time: now, Upstream: g.status(now)}
}
