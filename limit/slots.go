package limit

import (
	"math"
	"math/rand/v2"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/share"
)

// SlotsConfig configures the Slots of a gate.
type SlotsConfig struct {
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int
	// Queue is the number of further requests that may wait for a slot.
	Queue int
	// Seed makes the jitter of RetryAfter reproducible.
	Seed uint64
	// FairShare orders the waiters of a priority by the shares of their accounts instead of by
	// arrival, and lets no priority starve.
	FairShare bool
	// AccountWeight returns the weight of an account for FairShare, or 0 for the default, 1. If it
	// is nil, all accounts have the same weight.
	AccountWeight func(account string) float64
}

// Result says what happens to a request that asked for a slot.
type Result uint8

// The values of Result.
const (
	// Run means that the request has a slot.
	Run Result = iota
	// Wait means that the request is in the queue: Release, Return, Resize, Restart,
	// SetPace, AdmitPaced, Expire or Flush returns its ticket later.
	Wait
	// Full means that the request is refused: the queue has no position for it, or it
	// can't wait.
	Full
	// Late means that the request is refused: it would get a slot after Until, or too late
	// to meet its deadline.
	Late
	// Paced means that the request is refused: the pace doesn't admit it now, and the request
	// can't wait until it does.
	Paced
)

// Decision is the reply to one request for a slot.
type Decision struct {
	Result Result
	// RetryAfter is the time after which to retry; it is set for every refusal.
	RetryAfter clock.Millis
}

// Load is the use of an upstream's slots, as its gate publishes it.
type Load struct {
	InFlight int
	Waiting  int
	Free     int
	// IsPaced means that the pace admits no request now.
	IsPaced bool
}

// Slots admits requests to one upstream: at most SlotsConfig.Slots run, and at most
// SlotsConfig.Queue wait. If the upstream names a rate limit, SetPace also limits how many
// begin per second. It isn't safe for concurrent use.
type Slots struct {
	config  SlotsConfig
	random  *rand.Rand
	running int
	waiting []waiter
	// skipped holds the tickets of waiters that were removed from the queue without a
	// slot, until Expire or Flush returns them.
	skipped     []uint64
	serviceTime serviceTime
	pace        Pace
	schedule    RetrySchedule
	fair        *fairShare // nil without SlotsConfig.FairShare
}

// waiter is a request in the queue. It leaves the queue after waitUntil.
type waiter struct {
	ticket              uint64
	deadline, waitUntil clock.Millis
	priority            int
	// The other fields serve the order by shares.
	account string
	weight  float64
	startBy clock.Millis
	excess  float64 // see share.Ledger.Excess, as of the last call of order
}

// Request asks for a slot.
type Request struct {
	// Ticket identifies the request; it must differ from the tickets of all waiters.
	Ticket uint64
	// Deadline is the instant by which the request must be answered, Until the latest
	// instant at which it can still use a slot.
	Deadline, Until clock.Millis
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Account is the client account of the request, Weight the account's weight reduced by what
	// it has used of the service, as a claim states it. Both may be zero.
	Account string
	Weight  float64
	// StartBy is the latest instant at which the request is to start in order to be answered
	// within its latency target; 0 if it has none.
	StartBy clock.Millis
	// NoPacedWait means that the request doesn't wait for the pace: another upstream most
	// likely serves it sooner.
	NoPacedWait bool
}

// NewSlots returns Slots with none in use.
func NewSlots(c SlotsConfig) *Slots {
	s := &Slots{config: c, random: rand.New(rand.NewPCG(c.Seed, 0))}
	s.setFairShare()
	return s
}

// AcquireUntil asks for a slot at the highest priority, for a request that may wait until
// its deadline.
func (s *Slots) AcquireUntil(now clock.Millis, ticket uint64, deadline clock.Millis) Decision {
	return s.Acquire(now, Request{Ticket: ticket, Deadline: deadline, Until: deadline})
}

// Acquire asks for a slot. A request that finds the queue full, but ranks higher than the
// last waiter, displaces that waiter; Expire returns the ticket of the displaced waiter. With
// FairShare, displace chooses the waiter.
//
// A free slot goes to the next request whatever its priority: if slots were reserved for
// higher priorities, they would be idle while requests wait. With a pace it goes to the first
// waiter instead, since free slots then don't mean that nobody waits.
func (s *Slots) Acquire(now clock.Millis, r Request) Decision {
	s.advance(now)
	r.Priority = min(max(r.Priority, 0), priorityLevels-1)
	if r.Deadline <= now {
		return s.refuse(now, r, Late)
	}
	hasFreeSlot := s.running < s.config.Slots
	if hasFreeSlot && s.pace.Allows(now) && (!s.pace.isLimited || len(s.waiting) == 0) {
		s.startRun()
		return Decision{Result: Run}
	}
	position := s.queuePosition(r.Priority)
	ahead := s.waitersAhead(now, r, position)
	pacedWait, wait := s.pace.wait(now, ahead), s.releaseInterval()*float64(ahead+1)
	if hasFreeSlot {
		wait = 0
	}
	switch {
	case pacedWait > 0 && (r.NoPacedWait || float64(now)+pacedWait > float64(r.Until) || !s.serviceTime.meetsDeadline(pacedWait, r.Deadline)):
		return s.refuse(now, r, Paced)
	case r.Until <= now, s.isFull(position):
		return s.refuse(now, r, Full)
	case !s.serviceTime.meetsDeadline(wait, r.Deadline), s.serviceTime.isReliable() && float64(now)+wait > float64(r.Until):
		return s.refuse(now, r, Late)
	}
	s.waiting = slices.Insert(s.waiting, position, newWaiter(r))
	if len(s.waiting) > s.config.Queue {
		return s.displace(now, r)
	}
	return Decision{Result: Wait}
}

// priorityLevels is the number of distinct priorities; requests below the lowest one get
// the lowest.
const priorityLevels = share.LevelCount

// queuePosition returns the index in the queue for a request of the priority: behind the
// waiters of the same and of higher priorities.
func (s *Slots) queuePosition(priority int) int {
	for i := range s.waiting {
		if s.waiting[i].priority > priority {
			return i
		}
	}
	return len(s.waiting)
}

// Release frees the slot of a completed request. The first waiter that can meet its deadline
// gets the slot, and Release returns its ticket; ok is false if no waiter can. The next
// Expire returns the waiters skipped.
func (s *Slots) Release(now clock.Millis) (ticket uint64, ok bool) {
	s.advance(now)
	if s.running == 0 {
		return 0, false
	}
	s.running--
	s.serviceTime.release()
	return s.admitNext()
}

// Return is Release for a request that was not sent to the upstream: it doesn't count for the
// pace.
func (s *Slots) Return(now clock.Millis) (ticket uint64, ok bool) {
	s.advance(now)
	if s.running > 0 {
		s.pace.Refund()
	}
	return s.Release(now)
}

// SetPace limits how many requests per second get a slot, but to no less than MinPace. What was
// sent before the first limit earns no burst, and requests that have a slot keep it. SetPace
// returns the tickets of waiters that now have a slot; the next Expire returns the waiters whose
// turn would come too late.
func (s *Slots) SetPace(now clock.Millis, rate float64) []uint64 {
	s.advance(now)
	s.pace.Limit(now, max(rate, MinPace), 0)
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if float64(now)+s.pace.wait(now, len(kept)) > float64(w.waitUntil) {
			s.skipped = append(s.skipped, w.ticket)
			continue
		}
		kept = append(kept, w)
	}
	s.waiting = kept
	return s.Resize(s.config)
}

// ClearPace removes the limit that SetPace has set, and returns the tickets of waiters that now
// have a slot.
func (s *Slots) ClearPace(now clock.Millis) []uint64 {
	s.advance(now)
	s.pace.Clear()
	return s.Resize(s.config)
}

// NextPaced returns the time until AdmitPaced may admit a waiter; ok is false if no waiter waits
// for the pace alone.
func (s *Slots) NextPaced(now clock.Millis) (wait clock.Millis, ok bool) {
	s.advance(now)
	if len(s.waiting) == 0 || s.running >= s.config.Slots || s.pace.Allows(now) {
		return 0, false
	}
	return clock.Millis(math.Ceil(s.pace.wait(now, 0))), true
}

// AdmitPaced returns the tickets of waiters that have a slot since the pace admits them.
func (s *Slots) AdmitPaced(now clock.Millis) []uint64 {
	s.advance(now)
	return s.Resize(s.config)
}

// advance counts the time since the last call.
func (s *Slots) advance(now clock.Millis) {
	s.serviceTime.advance(now, s.running)
	s.pace.advance(now)
}

// startRun gives a slot to a request.
func (s *Slots) startRun() {
	s.running++
	s.pace.Take()
}

// Expire removes the waiters whose Deadline or Until has passed. It returns their tickets,
// and those of waiters that were displaced, or skipped because they can't meet their
// deadlines. None of them has run.
func (s *Slots) Expire(now clock.Millis) []uint64 {
	s.advance(now)
	expired := s.skipped
	s.skipped = nil
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if w.deadline <= now || w.waitUntil < now {
			expired = append(expired, w.ticket)
			continue
		}
		kept = append(kept, w)
	}
	s.waiting = kept
	return expired
}

// Flush removes all waiters. It returns their tickets and those that Expire would have
// returned; none of them has run. Flush is for an upstream that gets no more work.
func (s *Slots) Flush() []uint64 {
	removed := s.skipped
	s.skipped = nil
	for _, w := range s.waiting {
		removed = append(removed, w.ticket)
	}
	s.waiting = s.waiting[:0]
	return removed
}

// Cancel removes the waiter with the ticket; no later call returns the ticket. Cancel
// returns false if no waiter has the ticket: the request runs, or was refused.
func (s *Slots) Cancel(ticket uint64) bool {
	if i := slices.Index(s.skipped, ticket); i >= 0 {
		s.skipped = slices.Delete(s.skipped, i, i+1)
		s.Displacement(ticket)
		return true
	}
	i := slices.IndexFunc(s.waiting, func(w waiter) bool { return w.ticket == ticket })
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// Load returns the use of the slots at now.
func (s *Slots) Load(now clock.Millis) Load {
	s.advance(now)
	return Load{
		InFlight: s.running,
		Waiting:  len(s.waiting),
		Free:     max(s.config.Slots-s.running, 0),
		IsPaced:  !s.pace.hasToken(),
	}
}

// RetryAfter returns the time after which a refused request may retry: the time until the
// queue is empty and the retries of requests refused before have been served. Each call
// assigns one retry time. Acquire calls it for the requests that it refuses; the caller of
// Expire calls it for the tickets that Expire returns.
func (s *Slots) RetryAfter(now clock.Millis) clock.Millis {
	interval := max(s.releaseInterval(), s.pace.interval())
	first := max(s.releaseInterval()*float64(len(s.waiting)+1), s.pace.wait(now, len(s.waiting)))
	if s.config.Slots <= 0 {
		first = maxRetryAfter
	}
	return s.schedule.Next(now, first, interval, s.random)
}

// Restart is to be called when the upstream has restarted, with the number of requests that
// it ran before. They no longer hold slots, and Release must not be called for them. The
// estimate of the service time starts again. Restart returns the tickets of waiters that
// now have a slot.
func (s *Slots) Restart(runs int) []uint64 {
	s.running = max(s.running-runs, 0)
	s.serviceTime = serviceTime{}
	return s.Resize(s.config)
}

// Resize applies a changed configuration and returns the tickets of waiters that now have a
// slot. Requests that run or wait beyond the new limits are not cut off. Resize compares
// deadlines with the latest instant given to Acquire, Release or Expire: call Expire just
// before.
func (s *Slots) Resize(c SlotsConfig) []uint64 {
	s.config = c
	s.setFairShare()
	var admitted []uint64
	for {
		ticket, ok := s.admitNext()
		if !ok {
			return admitted
		}
		admitted = append(admitted, ticket)
	}
}

// admitNext gives a free slot to the first waiter that can meet its deadline, and skips the
// waiters before it. A waiter cut off while it runs would take the slot from a request that
// can complete, and a request that may not be repeated would end as unknown instead of not
// run.
func (s *Slots) admitNext() (ticket uint64, ok bool) {
	for s.running < s.config.Slots && len(s.waiting) > 0 && s.pace.hasToken() {
		i := s.nextWaiter()
		w := s.waiting[i]
		s.waiting = slices.Delete(s.waiting, i, i+1)
		if s.serviceTime.meetsDeadline(0, w.deadline) {
			s.startRun()
			s.countGrant(&w)
			return w.ticket, true
		}
		s.skipped = append(s.skipped, w.ticket)
	}
	return 0, false
}

// releaseInterval returns the estimated milliseconds between two completions while all slots
// are in use.
func (s *Slots) releaseInterval() float64 {
	return s.serviceTime.mean() / float64(max(s.config.Slots, 1))
}

// refuse returns a refusal with its retry time.
func (s *Slots) refuse(now clock.Millis, r Request, result Result) Decision {
	return Decision{Result: result, RetryAfter: s.retryAfter(now, r, result)}
}
