package entry

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/floor"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
)

// trackForced records the upstreams that the floor has begun to keep in use. With short
// episodes it exchanges them at each request, so that only a shortage that lasts is
// recorded. The caller holds s.mu.
func (s *service) trackForced(now clock.Millis) {
	span := clock.Millis(0)
	if s.config.Caution == table.ShortEpisodes {
		span = floor.LastingSpan
	}
	for i, use := range s.uses {
		if use != floor.Forced && len(s.forced) == 0 {
			continue
		}
		m := s.members[i]
		lasting, ok := s.forced[m]
		if use != floor.Forced && !ok {
			continue
		}
		if lasting.Update(now, use, span) {
			s.recordForced(now, m)
		}
		if lasting.IsActive() {
			if s.forced == nil {
				s.forced = map[*member]floor.Lasting{}
			}
			s.forced[m] = lasting
		} else {
			delete(s.forced, m)
		}
	}
}

func (s *service) recordForced(now clock.Millis, m *member) {
	logging.Repeatable(s.log.WithField("upstream", m.upstream.Name)).Warn("kept in use under the floor")
	s.recorder.RecordEvent(access.Event{
		At:       now,
		Kind:     access.ForcedUnderFloor,
		Service:  s.config.Name,
		Upstream: m.upstream.Name,
		Node:     m.upstream.Node,
		Reason:   "floor",
	})
}
