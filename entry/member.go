package entry

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/floor"
	"fuchsiapick.example/fuchsiapick/grade"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// member is one upstream as this entry sees it.
type member struct {
	upstream table.Upstream
	target   Target
	state    wire.Upstream
	heard    clock.Millis // when state was heard
	lost     bool
	gone     bool // the instance list says that it is leaving
	sent     int  // dispatches of this entry without an outcome
	// invited is until when its gate's wish for a request stands.
	invited clock.Millis
}

// verdict is the gate's as last heard. A hold-off that has run out since is a
// trial: the link may have been closed for want of requests, and then no
// heartbeat says so.
func (m *member) verdict(now clock.Millis) health.State {
	state := health.State(m.state.State)
	if state == health.Ejected && now >= m.heard+m.state.Until {
		return health.Trial
	}
	return state
}

// setAside reports a verdict that the floor decides about.
func (m *member) setAside(now clock.Millis) bool {
	state := m.verdict(now)
	return state == health.Ejected || state == health.Trial
}

// isAside reports a verdict that the floor decides about.
func (m *member) isAside(now clock.Millis, brief bool) bool {
	if brief {
		return m.severity(now, brief) >= grade.EjectThreshold
	}
	return m.setAside(now)
}

// severity is the gate's as last heard. That of a brief episode draws back to
// what is usual while nothing is heard.
func (m *member) severity(now clock.Millis, brief bool) float64 {
	if brief {
		return grade.Drift(m.state.Severity, now-m.heard)
	}
	return m.state.Severity
}

func (m *member) candidate(now clock.Millis, best float64, usable bool) choice.Candidate {
	return choice.Candidate{
		Domain:   m.upstream.Domain,
		Weight:   m.upstream.Weight,
		Slots:    m.upstream.Slots,
		InFlight: max(m.sent, choice.DecayLoad(m.state.InFlight+m.state.Waiting, now-m.heard)),
		Share:    m.share(now) * m.relative(best),
		Usable:   usable,
	}
}

// share is the part of its work that slow start grants it. Its gate's last word may be
// of a hold-off, in which that is none, and which has run out since.
func (m *member) share(now clock.Millis) float64 {
	if m.verdict(now) == health.Trial {
		return max(m.state.Share, health.TrialShare)
	}
	return m.state.Share
}

// notably is the difference between two shares of failures at which it counts:
// far above the scatter of healthy upstreams, whose shares are about 0.01.
const notably = 0.2

// relative is the part of its work that an upstream gets, given the service's
// lowest share of failures. It guards against what the verdict leaves alone: when
// most upstreams of a service are gray at once, that counts as its usual state,
// and none is set aside. Work still goes where it succeeds, and where all fail
// alike, as in a fault common to the service, nothing changes.
func (m *member) relative(best float64) float64 {
	own := m.state.Own
	if excess := own.Failed - best; own.Known && excess > notably {
		return 1 - min(excess, 1)
	}
	return 1
}

func (m *member) describe(now clock.Millis, use floor.Use) string {
	switch {
	case m.upstream.Weight == 0:
		return access.StateOff
	case m.state.Leaving || m.gone:
		return access.StateLeaving
	case m.lost || m.state.Down:
		return access.StateUnreachable
	case use == floor.Forced:
		return access.StateKept
	}
	return access.StateOf(m.verdict(now))
}
