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
	wait := s.releaseInterval() * float64(position+1)
	if s.running < s.config.Slots {
		wait = 0 // only the pace delays the waiter
	}
	return clock.Millis(math.Ceil(max(wait, s.pace.wait(now, position))))
}
