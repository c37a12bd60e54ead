package entry

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
)

// shedShare is the share of its runs that an upstream sheds, as its gate said.
type shedShare struct {
	share      float64
	receivedAt clock.Millis
}

// avoidsShedding reports whether the request goes to upstreams that shed less, because one
// has shed it.
func (r *request) avoidsShedding() bool {
	return r.shed > 0 && r.config.Placement == table.PlaceByCost
}

// riskOfRetry returns the probability that a retry fails at an upstream of the given severity
// or is shed there. The caller holds s.mu.
func (s *service) riskOfRetry(now clock.Millis, m *member, severity float64) float64 {
	told := s.shed[m]
	return max(severity, retry.DecayShedShare(told.share, now-told.receivedAt))
}

// riskOfProbed is riskOfRetry for an upstream whose gate has just answered with its severity.
func (s *service) riskOfProbed(now clock.Millis, m *member, severity float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.riskOfRetry(now, m, severity)
}
