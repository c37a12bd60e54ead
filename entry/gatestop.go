package entry

import (
	"maps"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

// stopRetention is how long an entry takes a gate for one whose node stops after a refusal. The
// gate's status doesn't tell, as the gate still takes other requests.
const stopRetention = clock.Second

// demand is what a request asks of the upstream that runs it.
type demand struct {
	repeatable bool
	deadline   clock.Millis
}

// nodeStop is what an entry knows of a gate that refuses requests because its node stops.
type nodeStop struct {
	until clock.Millis // when the knowledge ends
	// refused is the earliest deadline of a request that the gate refused.
	refused clock.Millis
}

// refuses reports whether the gate most likely refuses a request.
func (s nodeStop) refuses(now clock.Millis, d demand) bool {
	return !d.repeatable && now < s.until && d.deadline >= s.refused
}

// withRefusal returns the knowledge after another refusal.
func (s nodeStop) withRefusal(now, deadline clock.Millis) nodeStop {
	if now < s.until {
		deadline = min(deadline, s.refused)
	}
	return nodeStop{until: now + stopRetention, refused: deadline}
}

func (r *request) demand() demand {
	return demand{repeatable: r.repeatable, deadline: r.deadline}
}

// recordNodeStop records a gate's refusal of a request that may run only once and may outlast the
// gate's node.
func (r *request) recordNodeStop(m *member, o *result) {
	if r.repeatable || o.kind != retry.NotRun || o.reason != string(wire.ReasonLeaving) {
		return
	}
	r.service.recordNodeStop(r.entry.config.Now(), m, r.deadline)
}

// recordNodeStop forgets the gates whose knowledge has ended, too.
func (s *service) recordNodeStop(now clock.Millis, m *member, deadline clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.stops, func(_ *member, stop nodeStop) bool { return now >= stop.until })
	if s.byName[m.upstream.Name] == m {
		s.stops[m] = s.stops[m].withRefusal(now, deadline)
	}
}
