package gate

import (
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
)

// recordEvent records an event with the names of the service, upstream and node. It is called
// with the gate's lock held.
func (g *Gate) recordEvent(e access.Event) {
	e.Service, e.Upstream, e.Node = g.service.Name, g.upstream.Name, g.upstream.Node
	g.config.Recorder.RecordEvent(e)
}

// recordState records and logs a change of the detector's state. It is called with the gate's
// lock held.
func (g *Gate) recordState(now clock.Millis) {
	s := g.detector.Status(now)
	g.publishLevel(s.Severity)
	if s.State == g.state {
		return
	}
	g.state = s.State
	e := access.Event{At: now, Kind: eventKind(s.State), Reason: s.Evidence.Reason}
	if s.State == health.Ejected {
		e.Until = s.Until
		e.Evidence = toEvidence(s.Evidence)
	}
	g.recordEvent(e)
	g.log.WithFields(logrus.Fields{
		"state":    s.State.String(),
		"evidence": e.Evidence,
		"reason":   e.Reason,
	}).Info("verdict changed")
}

// publishLevel notifies entries immediately of a severity that changes where they send
// requests. The next heartbeat or reply may be a second away, and in that second 24 entries
// would send a failing upstream about ten more requests.
func (g *Gate) publishLevel(severity float64) {
	if g.service.Caution != table.ShortEpisodes {
		return
	}
	previous := g.level
	g.level = episode.LevelOf(severity)
	if g.config.OnChange != nil && episode.ShouldAnnounce(previous, g.level) {
		g.config.OnChange()
	}
}

func eventKind(s health.State) access.EventKind {
	switch s {
	case health.Ejected:
		return access.Ejected
	case health.Trial:
		return access.Trial
	case health.Ramp:
		return access.Ramp
	default:
		return access.Restored
	}
}

func toEvidence(e health.Evidence) access.Evidence {
	return access.Evidence{
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
