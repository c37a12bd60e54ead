package limit

import (
	"math/rand/v2"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// SlotsConfig is what a gate's Slots are made from.
type SlotsConfig struct {
	// Slots is how many requests the upstream serves at once.
	Slots int
	// Queue is how many more may wait for a slot.
	Queue int
	// Seed makes the jitter of RetryAfter repeatable.
	Seed uint64
}

// Result says what becomes of an offered request.
type Result uint8

// The values of Answer.
const (
	// Run means that the request has a slot.
	Run Result = iota
	// Wait means that it is in the queue: Release, Resize or Expire names its
	// ticket later.
	Wait
	// Full means not run: there is no place in the queue.
	Full
	// Late means not run: its turn can't come within its deadline.
	Late
)

// Decision is the answer to one request.
type Decision struct {
	Result Result
	// RetryAfter is when to come back; it is set for Full and Late.
	RetryAfter clock.Millis
}

// Load is what a gate publishes about its upstream's slots.
type Load struct {
	InFlight int
	Waiting  int
	Free     int
}

// Slots admits requests to one upstream: at most Slots run, at most Queue wait.
// It is not safe for concurrent use.
type Slots struct {
	config  SlotsConfig
	random  *rand.Rand
	running int
	waiting []waiter
	// skipped are waiters that were passed over, until Expire reports them.
	skipped     []uint64
	serviceTime serviceTime
	schedule    RetrySchedule
}

// waiter is a request in the queue. It gives up its place at until.
type waiter struct {
	ticket          uint64
	deadline, until clock.Millis
	priority        int
}

// Request is one request for a slot.
type Request struct {
	// Ticket names the request; it must differ from those of all waiting.
	Ticket uint64
	// Deadline is when its answer must stand, Until the latest instant at which
	// a slot is of use to it.
	Deadline, Until clock.Millis
	// Priority ranks requests, 0 first.
	Priority int
}

// NewSlots makes Slots with none in use.
func NewSlots(c SlotsConfig) *Slots {
	return &Slots{config: c, random: rand.New(rand.NewPCG(c.Seed, 0))}
}

// AcquireUntil asks for a slot until the deadline, an instant, at the first rank.
func (s *Slots) AcquireUntil(now clock.Millis, ticket uint64, deadline clock.Millis) Decision {
	return s.Acquire(now, Request{Ticket: ticket, Deadline: deadline, Until: deadline})
}

// Acquire asks for a slot. A request that outranks the last one in a full queue takes
// its place; Expire names the one that lost it.
//
// A free slot goes to whoever asks first: kept from lower ranks for better ones that may
// come, slots would stand idle while requests wait.
func (s *Slots) Acquire(now clock.Millis, a Request) Decision {
	s.serviceTime.advance(now, s.running)
	a.Priority = min(max(a.Priority, 0), priorityLevels-1)
	if a.Deadline <= now {
		return s.refuse(now, Late)
	}
	if s.running < s.config.Slots {
		s.running++
		return Decision{Result: Run}
	}
	place := s.queuePosition(a.Priority)
	wait := s.releaseInterval() * float64(place+1)
	switch {
	case a.Until <= now, place >= s.config.Queue:
		return s.refuse(now, Full)
	case !s.serviceTime.meetsDeadline(wait, a.Deadline), s.serviceTime.isReliable() && float64(now)+wait > float64(a.Until):
		return s.refuse(now, Late)
	}
	s.waiting = slices.Insert(s.waiting, place, waiter{
		ticket: a.Ticket, deadline: a.Deadline, until: a.Until, priority: a.Priority,
	})
	if len(s.waiting) > s.config.Queue {
		last := len(s.waiting) - 1
		s.skipped = append(s.skipped, s.waiting[last].ticket)
		s.waiting = s.waiting[:last]
	}
	return Decision{Result: Wait}
}

// priorityLevels is how many priorities are told apart; lower ones count as the last.
const priorityLevels = 4

// queuePosition is where a request of the rank stands in the queue: behind those of its
// rank and better ones.
func (s *Slots) queuePosition(priority int) int {
	for i := range s.waiting {
		if s.waiting[i].priority > priority {
			return i
		}
	}
	return len(s.waiting)
}

// Release frees the slot of a request that ended. The next waiter whose
// deadline can still be met takes it and is returned; those passed over are
// returned by the next Expire.
func (s *Slots) Release(now clock.Millis) (ticket uint64, ok bool) {
	s.serviceTime.advance(now, s.running)
	if s.running == 0 {
		return 0, false
	}
	s.running--
	s.serviceTime.release()
	return s.next()
}

// Expire removes and returns the waiters whose deadline has passed or that
// were passed over because it can't be met. They were not run.
func (s *Slots) Expire(now clock.Millis) []uint64 {
	s.serviceTime.advance(now, s.running)
	expired := s.skipped
	s.skipped = nil
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if w.deadline <= now || w.until < now {
			expired = append(expired, w.ticket)
			continue
		}
		kept = append(kept, w)
	}
	s.waiting = kept
	return expired
}

// Flush removes and returns all waiters, and those passed over: they were not
// run. It is for an upstream that gets no more work.
func (s *Slots) Flush() []uint64 {
	all := s.skipped
	s.skipped = nil
	for _, w := range s.waiting {
		all = append(all, w.ticket)
	}
	s.waiting = s.waiting[:0]
	return all
}

// Cancel removes a waiter that was cancelled; its ticket isn't named again.
// It returns false if no such ticket waits: it runs, or was refused.
func (s *Slots) Cancel(ticket uint64) bool {
	if i := slices.Index(s.skipped, ticket); i >= 0 {
		s.skipped = slices.Delete(s.skipped, i, i+1)
		return true
	}
	i := slices.IndexFunc(s.waiting, func(w waiter) bool { return w.ticket == ticket })
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// Load returns the slots' present use.
func (s *Slots) Load() Load {
	return Load{
		InFlight: s.running,
		Waiting:  len(s.waiting),
		Free:     max(s.config.Slots-s.running, 0),
	}
}

// RetryAfter tells a request that isn't run when to come back: when the queue
// has drained and those refused before have had their turn. Each call takes
// one turn. Offer calls it itself; it is for those that Expire names.
func (s *Slots) RetryAfter(now clock.Millis) clock.Millis {
	gap := s.releaseInterval()
	first := gap * float64(len(s.waiting)+1)
	if s.config.Slots <= 0 {
		first = maxRetryAfter
	}
	return s.schedule.Next(now, first, gap, s.random)
}

// Restart takes in that the upstream has started again: the runs that it had hold no
// slot any more, and will not be released. How long its requests take is learned anew.
// It returns the tickets of waiters that run now.
func (s *Slots) Restart(runs int) []uint64 {
	s.running = max(s.running-runs, 0)
	s.serviceTime = serviceTime{}
	return s.Resize(s.config)
}

// Resize puts an edited table in force and returns the tickets of waiters that
// run now. Requests that run or wait beyond the new numbers are let finish. It
// judges deadlines at the last instant seen: call Expire just before.
func (s *Slots) Resize(c SlotsConfig) []uint64 {
	s.config = c
	var run []uint64
	for {
		ticket, ok := s.next()
		if !ok {
			return run
		}
		run = append(run, ticket)
	}
}

// next gives a free slot to the first waiter whose deadline can be met. A
// waiter that would be cut off while it runs is passed over: it would take the
// slot from one that can be served whole, and a request that may not be
// repeated would end as unknown in place of not run.
func (s *Slots) next() (ticket uint64, ok bool) {
	for s.running < s.config.Slots && len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		if s.serviceTime.meetsDeadline(0, w.deadline) {
			s.running++
			return w.ticket, true
		}
		s.skipped = append(s.skipped, w.ticket)
	}
	return 0, false
}

// releaseInterval estimates the milliseconds between two requests that end while all slots
// are in use.
func (s *Slots) releaseInterval() float64 {
	return s.serviceTime.mean() / float64(max(s.config.Slots, 1))
}

// refuse answers a request that isn't run.
func (s *Slots) refuse(now clock.Millis, a Result) Decision {
	return Decision{Result: a, RetryAfter: s.RetryAfter(now)}
}
