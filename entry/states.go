package entry

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// states returns the state of each upstream for the report.
func (s *service) states(now clock.Millis) []access.UpstreamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	all := make([]access.UpstreamState, 0, len(s.members))
	for i, m := range s.members {
		all = append(all, access.UpstreamState{
			Service:  s.config.Name,
			Name:     m.upstream.Name,
			Domain:   m.upstream.Domain,
			Node:     m.upstream.Node,
			State:    m.stateName(now, s.uses[i]),
			Weight:   m.upstream.Weight,
			Slots:    m.upstream.Slots,
			InFlight: max(m.inFlight, m.state.InFlight),
			Severity: m.state.Severity,
		})
	}
	return all
}

// retryAfter returns how long until a caller may find an upstream in use again: when the
// first ejection ends, but at least one second.
func (s *service) retryAfter(now clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := clock.Millis(0)
	for _, m := range s.members {
		left := m.updatedAt + m.state.Until - now
		if m.verdict(now) == health.Ejected && (first == 0 || left < first) {
			first = left
		}
	}
	return max(first, clock.Second)
}
