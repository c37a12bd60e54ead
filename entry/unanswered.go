package entry

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// unansweredSpan is how long a gate that didn't answer counts as busy: a few times what a
	// request loses by asking it. The path detector takes seconds to find a link that is cut in
	// one direction.
	unansweredSpan = clock.Second
	// unansweredLoad is the load of such a gate, as a multiple of its slots.
	unansweredLoad = 2
)

// recordAnswer records whether a member's gate answered an attempt. The caller holds s.mu.
func (s *service) recordAnswer(now clock.Millis, m *member, o *result) {
	switch {
	case o.reason == access.ReasonUnreachable:
		s.unansweredUntil[m] = now + unansweredSpan
	case o.reply != nil:
		delete(s.unansweredUntil, m)
	}
}

// reportedLoad returns the number of requests at the upstream, as far as this entry knows. A gate
// that doesn't answer counts as full with a queue, so that requests ask others first; it may only
// be slow, so it can still be chosen. The caller holds s.mu.
func (s *service) reportedLoad(now clock.Millis, m *member) int {
	load := max(m.inFlight, choice.DecayLoad(m.state.InFlight+m.state.Waiting, now-m.updatedAt))
	if now < s.unansweredUntil[m] {
		return max(load, unansweredLoad*m.upstream.Slots)
	}
	return load
}
