package episodes

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// multiWait is a request's wait at several gates at once.
type multiWait struct {
	request *request
	done    bool
	pending int // gates that have not declined yet
	gates   []int
	tickets map[int]uint64
	granted map[int]bool
}

// waiter is the position of a request in the queue of one gate.
type waiter struct {
	wait *multiWait
	gate int
}

// chooseSeveral returns up to count gates that the request has not tried. Gates that were
// full are included.
func (s *shortEpisodes) chooseSeveral(r *request, count int) []int {
	excluded := map[int]bool{}
	for i := range r.tried {
		excluded[i] = true
	}
	full := r.full
	r.full = map[int]bool{} // these gates may have a free slot by now
	defer func() { r.full = full }()
	var chosen []int
	for len(chosen) < count {
		i, ok := s.choose(r, excluded, false)
		if !ok {
			break
		}
		excluded[i] = true
		chosen = append(chosen, i)
	}
	return chosen
}

// probeCandidates asks several gates to reserve a slot and runs the request at the one
// that is least likely to be in an episode. It returns false if there is no gate to ask.
func (s *shortEpisodes) probeCandidates(r *request) bool {
	gates := s.chooseSeveral(r, maxProbedGates)
	pending, best, lowestRisk := len(gates), -1, 0.0
	for _, i := range gates {
		s.sim.after(hopDelay, func() {
			s.openLink(r.entry, i)
			risk := s.filters[i].Probability(s.sim.now)
			isFree := s.trials[i].Admit(s.sim.now, risk, false) && s.tryAcquire(r, i)
			s.publish(r.entry, i)
			s.sim.after(hopDelay, func() {
				pending--
				switch {
				case isFree && best < 0:
					best, lowestRisk = i, risk
				case isFree && risk < lowestRisk:
					s.releaseReservation(best)
					best, lowestRisk = i, risk
				case isFree:
					s.releaseReservation(i)
				}
				switch {
				case pending > 0:
				case best < 0:
					s.start(r)
				default:
					r.tried[best] = true
					s.sim.after(hopDelay, func() { s.run(r, best) })
				}
			})
		})
	}
	return len(gates) > 0
}

// releaseReservation releases a reserved slot at the gate.
func (s *shortEpisodes) releaseReservation(i int) {
	s.sim.after(hopDelay, func() { s.release(i) })
}

// waitAtGates queues a request at several gates for at most span and runs it at the
// first that has a slot. It returns false if there is no gate to wait at.
func (s *shortEpisodes) waitAtGates(r *request, span clock.Millis) bool {
	w := &multiWait{request: r, tickets: map[int]uint64{}, granted: map[int]bool{}}
	w.gates = s.chooseSeveral(r, maxQueuedGates)
	for _, i := range w.gates {
		s.tickets++
		w.tickets[i] = s.tickets
		w.pending++
		s.sim.after(hopDelay, func() { s.enqueue(w, i, span) })
	}
	if w.pending > 0 {
		s.sim.after(span+2*hopDelay, func() { s.endWait(w) })
	}
	return w.pending > 0
}

// enqueue acquires a slot at a gate, or queues the request there. The gate declines if
// its trials don't admit the request or its queue is full.
func (s *shortEpisodes) enqueue(w *multiWait, i int, span clock.Millis) {
	now := s.sim.now
	s.openLink(w.request.entry, i)
	s.recordSender(w.request, i)
	if w.done || !s.trials[i].Admit(now, s.filters[i].Probability(now), w.request.kind.Repeatable) {
		s.decline(w, i)
		return
	}
	slotRequest := limit.Request{Ticket: w.tickets[i], Deadline: w.request.deadline(), Until: now + span, Priority: w.request.kind.Priority}
	switch s.slots[i].Acquire(now, slotRequest).Result {
	case limit.Run:
		s.reserve(w, i)
	case limit.Wait:
		s.waiters[slotRequest.Ticket] = waiter{w, i}
		s.sim.after(span+1, func() { s.expire(i) })
		s.expire(i)
	default:
		s.decline(w, i)
	}
}

// decline notifies the entry that the gate has no slot for the request. When all gates
// have declined, the request takes its next step.
func (s *shortEpisodes) decline(w *multiWait, i int) {
	s.publish(w.request.entry, i)
	s.sim.after(hopDelay, func() {
		if w.pending--; w.pending == 0 && !w.done {
			w.done = true
			s.start(w.request)
		}
	})
}

// reserve reserves a slot for a waiting request. The request runs there unless its wait
// is over, in which case the slot is released.
func (s *shortEpisodes) reserve(w *multiWait, i int) {
	w.granted[i] = true
	s.sim.after(hopDelay, func() {
		if w.done {
			s.releaseReservation(i)
			return
		}
		w.done = true
		s.cancelWaits(w)
		w.request.tried[i] = true
		s.sim.after(hopDelay, func() { s.run(w.request, i) })
	})
}

// endWait ends a wait that has reached its time limit. The request takes its next step.
func (s *shortEpisodes) endWait(w *multiWait) {
	if w.done {
		return
	}
	w.done = true
	s.cancelWaits(w)
	s.start(w.request)
}

// cancelWaits removes a request from the queues of gates that have not granted a slot.
func (s *shortEpisodes) cancelWaits(w *multiWait) {
	for _, i := range w.gates {
		s.sim.after(hopDelay, func() {
			if !w.granted[i] {
				delete(s.waiters, w.tickets[i])
				s.slots[i].Cancel(w.tickets[i])
			}
		})
	}
}

// release frees a slot and reserves it for the next waiting request, if any.
func (s *shortEpisodes) release(i int) {
	ticket, ok := s.slots[i].Release(s.sim.now)
	if next, found := s.waiters[ticket]; ok && found {
		delete(s.waiters, ticket)
		s.reserve(next.wait, i)
	}
	s.expire(i)
}
