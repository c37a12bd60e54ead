package entry

import (
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

// record adds a refusal.
func (s *nodeStop) record(now, deadline clock.Millis) {
	if now >= s.until || deadline < s.refused {
		s.refused = deadline
	}
	s.until = now + stopRetention
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

func (s *service) recordNodeStop(now clock.Millis, m *member, deadline clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.stop.record(now, deadline)
}
