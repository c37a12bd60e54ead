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
	updatedAt   clock.Millis // when state was received
	unreachable bool
	leaving     bool // the instance list marks its node as leaving
	// announced is what the upstream has announced to this entry, nil if nothing.
	announced *announced
	inFlight  int // dispatches of this entry without an outcome
	// pacedUntil is when the gate's next request is due by the upstream's rate limit, as far as
	// this entry knows.
	pacedUntil clock.Millis
	// workRequestUntil is when the gate's work request expires; 0 if there is none.
	workRequestUntil clock.Millis
}

// verdict returns the verdict that the gate last reported. If an ejection has ended
// since, the verdict is Trial: the link may have been closed because it carried no
// requests, and then no heartbeat reports the change.
func (m *member) verdict(now clock.Millis) health.State {
	state := health.State(m.state.State)
	if state == health.Ejected && now >= m.updatedAt+m.state.Until {
		return health.Trial
	}
	return state
}

// hasEjectVerdict reports whether the gate's verdict is Ejected or Trial. Whether the
// upstream then leaves use is up to the floor.
func (m *member) hasEjectVerdict(now clock.Millis) bool {
	state := m.verdict(now)
	return state == health.Ejected || state == health.Trial
}

// isEjected reports whether the upstream is to be ejected as far as the floor allows.
// With short episodes the severity decides, otherwise the gate's verdict.
func (m *member) isEjected(now clock.Millis, shortEpisodes bool) bool {
	if shortEpisodes {
		return m.severity(now, shortEpisodes) >= episode.EjectThreshold
	}
	return m.hasEjectVerdict(now)
}

// severity returns the severity that the gate last reported. With short episodes it
// drifts back to the typical value while no update arrives.
func (m *member) severity(now clock.Millis, shortEpisodes bool) float64 {
	if shortEpisodes {
		return episode.Drift(m.state.Severity, now-m.updatedAt)
	}
	return m.state.Severity
}

// isPaced reports whether the upstream's rate limit most likely admits no request now.
func (m *member) isPaced(now clock.Millis) bool {
	return now < m.pacedUntil
}

// isExcludedByPace reports whether a request that some upstreams have refused or failed isn't sent
// to this one, which would most likely refuse it, too.
func (m *member) isExcludedByPace(now clock.Millis, tried int) bool {
	return tried > 0 && m.isPaced(now)
}

func (m *member) candidate(now clock.Millis, best float64, usable bool) choice.Candidate {
	inFlight := max(m.inFlight, choice.DecayLoad(m.state.InFlight+m.state.Waiting, now-m.updatedAt))
	if m.isPaced(now) {
		inFlight = max(inFlight, m.upstream.Slots) // used only if no other upstream has room
	}
	return choice.Candidate{
		Domain:   m.upstream.Domain,
		Weight:   m.upstream.Weight,
		Slots:    m.upstream.Slots,
		InFlight: inFlight,
		Share:    m.slowStartShare(now) * m.failureWeight(best),
		Usable:   usable,
	}
}

// slowStartShare returns the share of its normal load that slow start allows the
// upstream. The gate reports 0 for an ejected upstream; once the ejection has ended, the
// upstream gets the share of a trial even if no update has arrived since.
func (m *member) slowStartShare(now clock.Millis) float64 {
	if m.verdict(now) == health.Trial {
		return max(m.state.Share, health.TrialShare)
	}
	return m.state.Share
}

// minFailureExcess is how far an upstream's failure rate must exceed the service's lowest
// to count. It is far above the scatter of healthy upstreams, whose rates are about 0.01.
const minFailureExcess = 0.2

// failureWeight returns the share of its normal load that the upstream gets, given the
// service's lowest failure rate. It covers a case that the verdict does not: if most
// upstreams of a service fail partially together, that counts as the service's baseline
// and none is ejected. Load still moves to upstreams that succeed. If all fail alike, as
// in a fault common to the service, nothing changes.
func (m *member) failureWeight(best float64) float64 {
	local := m.state.Local
	if excess := local.FailureRate - best; local.Known && excess > minFailureExcess {
		return 1 - min(excess, 1)
	}
	return 1
}

func (m *member) stateName(now clock.Millis, use floor.Use) string {
	switch {
	case m.upstream.Weight == 0:
		return access.StateOff
	case m.isLeaving(now):
		return access.StateLeaving
	case m.unreachable || m.state.Down:
		return access.StateUnreachable
	case use == floor.Forced:
		return access.StateForced
	}
	return access.StateOf(m.verdict(now))
}
