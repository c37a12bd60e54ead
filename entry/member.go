package entry

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/floor"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// member is one upstream as this entry sees it.
type member struct {
	upstream    table.Upstream
	gate        GateClient
	state       wire.Upstream
	updatedAt   clock.Millis // when state was heard
	unreachable bool
	leaving     bool // the instance list says that it is leaving
	inFlight    int  // dispatches of this entry without an outcome
	// workRequestUntil is until when its gate's wish for a request stands.
	workRequestUntil clock.Millis
}

// verdict is the gate's as last heard. A hold-off that has run out since is a
// trial: the link may have been closed for want of requests, and then no
// heartbeat says so.
func (m *member) verdict(now clock.Millis) health.State {
	state := health.State(m.state.State)
	if state == health.Ejected && now >= m.updatedAt+m.state.Until {
		return health.Trial
	}
	return state
}

// hasEjectVerdict reports a verdict that the floor decides about.
func (m *member) hasEjectVerdict(now clock.Millis) bool {
	state := m.verdict(now)
	return state == health.Ejected || state == health.Trial
}

// isEjected reports a verdict that the floor decides about.
func (m *member) isEjected(now clock.Millis, brief bool) bool {
	if brief {
		return m.severity(now, brief) >= episode.EjectThreshold
	}
	return m.hasEjectVerdict(now)
}

// severity is the gate's as last heard. That of a brief episode draws back to
// what is usual while nothing is heard.
func (m *member) severity(now clock.Millis, brief bool) float64 {
	if brief {
		return episode.Drift(m.state.Severity, now-m.updatedAt)
	}
	return m.state.Severity
}

func (m *member) candidate(now clock.Millis, best float64, usable bool) choice.Candidate {
	return choice.Candidate{
		Domain:   m.upstream.Domain,
		Weight:   m.upstream.Weight,
		Slots:    m.upstream.Slots,
		InFlight: max(m.inFlight, choice.DecayLoad(m.state.InFlight+m.state.Waiting, now-m.updatedAt)),
		Share:    m.slowStartShare(now) * m.failureWeight(best),
		Usable:   usable,
	}
}

// slowStartShare is the part of its work that slow start grants it. Its gate's last word may be
// of a hold-off, in which that is none, and which has run out since.
func (m *member) slowStartShare(now clock.Millis) float64 {
	if m.verdict(now) == health.Trial {
		return max(m.state.Share, health.TrialShare)
	}
	return m.state.Share
}

// minFailureExcess is the difference between two shares of failures at which it counts:
// far above the scatter of healthy upstreams, whose shares are about 0.01.
const minFailureExcess = 0.2

// failureWeight is the part of its work that an upstream gets, given the service's
// lowest share of failures. It guards against what the verdict leaves alone: when
// most upstreams of a service are gray at once, that counts as its usual state,
// and none is set aside. Work still goes where it succeeds, and where all fail
// alike, as in a fault common to the service, nothing changes.
func (m *member) failureWeight(best float64) float64 {
	own := m.state.Local
	if excess := own.FailureRate - best; own.Known && excess > minFailureExcess {
		return 1 - min(excess, 1)
	}
	return 1
}

func (m *member) stateName(now clock.Millis, use floor.Use) string {
	switch {
	case m.upstream.Weight == 0:
		return access.StateOff
	case m.state.Leaving || m.leaving:
		return access.StateLeaving
	case m.unreachable || m.state.Down:
		return access.StateUnreachable
	case use == floor.Forced:
		return access.StateForced
	}
	return access.StateOf(m.verdict(now))
}
