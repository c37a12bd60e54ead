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
	// largeBody is the size, in bytes, from which a gate in another failure
	// domain is asked for a slot first, so that the body crosses once.
	largeBody = 1 << 10
	// enquiryTime is how long an answer may take before the gate counts as out of
	// reach.
	enquiryTime = 100 * clock.Millis(1)
	// betterTime is how long after the first slot others may still come that are
	// at a sounder upstream: two round trips between failure domains and a node
	// that is busy.
	betterTime = 8 * clock.Millis(1)
)

// enquires reports whether the gate is to be asked before the request is sent.
func (r *request) enquires(a *attempt) bool {
	return a.bounded && !a.isHeld && len(r.body) >= largeBody &&
		a.upstream.Domain != r.entry.config.Domain
}

// enquire asks the gate for a free slot. Without one the result says why, and
// nothing was sent.
func (r *request) enquire(a *attempt) (result, bool) {
	s := r.survey([]attempt{*a}, 0, false)
	if s.held < 0 {
		return s.refusals[0], false
	}
	return result{}, true
}

// survey is an enquiry at several gates at once.
type survey struct {
	request  *request
	places   []attempt
	answers  chan answered
	refusals []result
	done     []bool
	left     int
	held     int // the place whose slot is taken, -1 without one
	cost     float64
}

type answered struct {
	place int
	hold  *wire.Hold
}

// survey asks gates for a slot and waits for one: the first that comes, or the
// soundest of those that come together. Slots that are not taken are waived.
func (r *request) survey(places []attempt, patience clock.Millis, soundest bool) *survey {
	s := &survey{
		request: r, places: places, answers: make(chan answered, len(places)),
		refusals: make([]result, len(places)), done: make([]bool, len(places)), left: len(places), held: -1,
	}
	for i := range places {
		s.send(i, patience)
	}
	timer := time.NewTimer((patience + enquiryTime).Duration())
	defer timer.Stop()
	for s.left > 0 {
		select {
		case a := <-s.answers:
			if !s.take(a) {
				continue
			}
			if !soundest {
				s.left = 0
				break
			}
			timer.Reset(betterTime.Duration())
		case <-timer.C:
			s.left = 0
		case <-r.left:
			s.left, s.held = 0, -1
		}
	}
	s.waive()
	return s
}

func (s *survey) send(i int, patience clock.Millis) {
	r, a := s.request, &s.places[i]
	s.refusals[i] = result{kind: retry.NotRun, reason: access.ReasonUnreachable}
	err := a.member.target.Enquire(&wire.Enquiry{
		ID: r.id, Attempt: a.number, Upstream: a.upstream.Name, Repeatable: r.repeatable, Retry: r.arrived, Forced: a.forced,
		Priority: r.priority(), Budget: r.deadline - r.entry.config.Now(), Patience: patience,
	}, func(h *wire.Hold) { s.answers <- answered{i, h} })
	if err != nil { // the path is lost: the gate can't be asked
		s.done[i] = true
		s.left--
	}
}

// take takes in an answer and reports whether it is a slot to take.
func (s *survey) take(a answered) bool {
	s.left--
	if a.hold == nil {
		s.done[a.place] = true
		return false
	}
	if !a.hold.Held {
		s.done[a.place] = true
		s.refusals[a.place] = result{
			kind: retry.NotRun, reason: string(a.hold.Reason), after: a.hold.RetryAfter,
			full: a.hold.Reason == wire.ReasonFull || a.hold.Reason == wire.ReasonLate,
		}
		return false
	}
	near := s.places[a.place].upstream.Domain == s.request.entry.config.Domain
	if cost := choice.ProbedCost(a.hold.Upstream.Severity, near); s.held < 0 || cost < s.cost {
		s.held, s.cost = a.place, cost
	}
	return true
}

// waive lets go of the slots that are not taken, or still asked for.
func (s *survey) waive() {
	r := s.request
	for i := range s.places {
		if i == s.held || s.done[i] {
			continue
		}
		a := &s.places[i]
		a.member.target.Waive(&wire.Waive{ID: r.id, Attempt: a.number, Upstream: a.upstream.Name})
	}
}
