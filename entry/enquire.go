package entry

import (
	"time"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// largeBodySize is the size, in bytes, from which a gate in another failure
	// domain is asked for a slot first, so that the body crosses once.
	largeBodySize = 1 << 10
	// probeTimeout is how long an answer may take before the gate counts as out of
	// reach.
	probeTimeout = 100 * clock.Millis(1)
	// betterSlotWindow is how long after the first slot others may still come that are
	// at a sounder upstream: two round trips between failure domains and a node
	// that is busy.
	betterSlotWindow = 8 * clock.Millis(1)
)

// needsProbe reports whether the gate is to be asked before the request is sent.
func (r *request) needsProbe(a *attempt) bool {
	return a.noWait && !a.isReserved && len(r.body) >= largeBodySize &&
		a.upstream.Domain != r.entry.config.Domain
}

// probeGate asks the gate for a free slot. Without one the result says why, and
// nothing was sent.
func (r *request) probeGate(a *attempt) (result, bool) {
	s := r.probeCandidates([]attempt{*a}, 0, false)
	if s.reserved < 0 {
		return s.refusals[0], false
	}
	return result{}, true
}

// candidateProbe is an enquiry at several gates at once.
type candidateProbe struct {
	request  *request
	attempts []attempt
	answers  chan probeAnswer
	refusals []result
	done     []bool
	pending  int
	reserved int // the place whose slot is taken, -1 without one
	cost     float64
}

type probeAnswer struct {
	index int
	reply *wire.Reservation
}

// probeCandidates asks gates for a slot and waits for one: the first that comes, or the
// soundest of those that come together. Slots that are not taken are waived.
func (r *request) probeCandidates(places []attempt, patience clock.Millis, soundest bool) *candidateProbe {
	s := &candidateProbe{
		request: r, attempts: places, answers: make(chan probeAnswer, len(places)),
		refusals: make([]result, len(places)), done: make([]bool, len(places)), pending: len(places), reserved: -1,
	}
	for i := range places {
		s.send(i, patience)
	}
	timer := time.NewTimer((patience + probeTimeout).Duration())
	defer timer.Stop()
	for s.pending > 0 {
		select {
		case a := <-s.answers:
			if !s.handleAnswer(a) {
				continue
			}
			if !soundest {
				s.pending = 0
				break
			}
			timer.Reset(betterSlotWindow.Duration())
		case <-timer.C:
			s.pending = 0
		case <-r.callerGone:
			s.pending, s.reserved = 0, -1
		}
	}
	s.releaseUnused()
	return s
}

func (s *candidateProbe) send(i int, patience clock.Millis) {
	r, a := s.request, &s.attempts[i]
	s.refusals[i] = result{kind: retry.NotRun, reason: access.ReasonUnreachable}
	err := a.member.gate.ProbeCapacity(&wire.CapacityProbe{
		ID: r.id, Attempt: a.number, Upstream: a.upstream.Name, Repeatable: r.repeatable, Retry: r.reachedUpstream, Forced: a.forced,
		Priority: r.priority(), Budget: r.deadline - r.entry.config.Now(), WaitBudget: patience,
	}, func(h *wire.Reservation) { s.answers <- probeAnswer{i, h} })
	if err != nil { // the path is lost: the gate can't be asked
		s.done[i] = true
		s.pending--
	}
}

// handleAnswer takes in an answer and reports whether it is a slot to take.
func (s *candidateProbe) handleAnswer(a probeAnswer) bool {
	s.pending--
	if a.reply == nil {
		s.done[a.index] = true
		return false
	}
	if !a.reply.Reserved {
		s.done[a.index] = true
		s.refusals[a.index] = result{
			kind: retry.NotRun, reason: string(a.reply.Reason), retryAfter: a.reply.RetryAfter,
			full: a.reply.Reason == wire.ReasonFull || a.reply.Reason == wire.ReasonDeadlineTooShort,
		}
		return false
	}
	near := s.attempts[a.index].upstream.Domain == s.request.entry.config.Domain
	if cost := choice.ProbedCost(a.reply.Upstream.Severity, near); s.reserved < 0 || cost < s.cost {
		s.reserved, s.cost = a.index, cost
	}
	return true
}

// releaseUnused lets go of the slots that are not taken, or still asked for.
func (s *candidateProbe) releaseUnused() {
	r := s.request
	for i := range s.attempts {
		if i == s.reserved || s.done[i] {
			continue
		}
		a := &s.attempts[i]
		a.member.gate.ReleaseReservation(&wire.ReleaseReservation{ID: r.id, Attempt: a.number, Upstream: a.upstream.Name})
	}
}
