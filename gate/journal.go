package gate

import (
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

func (g *Gate) note(e account.Event) {
	e.Service, e.Upstream, e.Node = g.service.Name, g.upstream.Name, g.upstream.Node
	g.config.Journal.Note(e)
}

// noteState journals a change of the verdict.
func (g *Gate) noteState(now clock.Millis) {
	s := g.judge.Status(now)
	if s.State == g.state {
		return
	}
	g.state = s.State
	e := account.Event{At: now, Kind: kindOf(s.State), Reason: s.Evidence.Reason}
	if s.State == health.Aside {
		e.Until = s.Until
		e.Evidence = evidenceOf(s.Evidence)
	}
	g.note(e)
	g.log.WithFields(logrus.Fields{
		"state":    s.State.String(),
		"evidence": e.Evidence,
		"reason":   e.Reason,
	}).Info("verdict changed")
}

func kindOf(s health.State) account.EventKind {
	switch s {
	case health.Aside:
		return account.SetAside
	case health.Trial:
		return account.Trial
	case health.Ramp:
		return account.Ramp
	default:
		return account.Back
	}
}

func evidenceOf(e health.Evidence) account.Evidence {
	return account.Evidence{
		Outcomes:        e.Outcomes,
		Failed:          e.Failed,
		Slow:            e.Slow,
		Overdue:         e.Overdue,
		Score:           e.Score,
		Threshold:       e.Threshold,
		BaselineFailed:  e.Baseline.Failed,
		BaselineLatency: e.Baseline.Latency,
	}
}
