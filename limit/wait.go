package limit

import (
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// WaitEstimate returns the estimated time until the waiter with the ticket gets a slot, if no
// waiter that ranks higher arrives; 0 if no waiter has the ticket.
func (s *Slots) WaitEstimate(now clock.Millis, ticket uint64) clock.Millis {
	s.advance(now)
	position := slices.IndexFunc(s.waiting, func(w waiter) bool { return w.ticket == ticket })
	if position < 0 {
		return 0
	}
	if s.fair != nil {
		s.updateExcess(now)
		position = s.countAhead(now, &s.waiting[position])
	}
	wait := s.releaseInterval() * float64(position+1)
	if s.running < s.config.Slots {
		wait = 0 // only the pace delays the waiter
	}
	return clock.Millis(math.Ceil(max(wait, s.pace.wait(now, position))))
}

// AcquireClaim is Acquire for a request that asks several upstreams at the same time. A refusal
// states when there may be room, but assigns no retry time: the request most likely gets a slot
// elsewhere, and with a retry time for each of its refusals the times would soon lie beyond
// any request's deadline.
func (s *Slots) AcquireClaim(now clock.Millis, r Request) Decision {
	schedule := s.schedule
	decision := s.Acquire(now, r)
	if decision.Result != Run && decision.Result != Wait {
		s.schedule = schedule
	}
	return decision
}

// NextRetryAfter returns what RetryAfter would, without assigning the retry time.
func (s *Slots) NextRetryAfter(now clock.Millis) clock.Millis {
	schedule := s.schedule
	defer func() { s.schedule = schedule }()
	return s.RetryAfter(now)
}
