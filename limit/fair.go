package limit

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/share"
)

// maxAccounts is the number of accounts whose use of an upstream is counted.
const maxAccounts = 64

// fairShare is the state of Slots with SlotsConfig.FairShare. The queue itself stays in the
// order of priority and arrival; fairShare chooses among its waiters.
type fairShare struct {
	ledger    *share.Ledger
	levels    share.Levels
	displaced []displacement
}

// displacement is a displaced waiter that the caller of Expire has not asked for yet.
type displacement struct {
	ticket     uint64
	retryAfter clock.Millis
}

// setFairShare applies SlotsConfig.FairShare.
func (s *Slots) setFairShare() {
	switch {
	case !s.config.FairShare:
		s.fair = nil
	case s.fair == nil:
		s.fair = &fairShare{ledger: share.NewLedger(share.LedgerConfig{MaxAccounts: maxAccounts, Weight: s.accountWeight})}
	}
}

func (s *Slots) accountWeight(account string) float64 {
	if s.config.AccountWeight == nil {
		return 0
	}
	return s.config.AccountWeight(account)
}

// BeginUse counts a run of the account that begins in a slot.
func (s *Slots) BeginUse(now clock.Millis, account string) {
	if s.fair != nil {
		s.fair.ledger.Begin(now, account)
	}
}

// EndUse counts the end of a run for which BeginUse was called.
func (s *Slots) EndUse(now clock.Millis, account string) {
	if s.fair != nil {
		s.fair.ledger.End(now, account)
	}
}

// LargestUses returns the n accounts that use the slots most, and the use of all others. Both
// are empty without FairShare.
func (s *Slots) LargestUses(now clock.Millis, n int) (largest []share.Use, rest float64) {
	if s.fair == nil {
		return nil, 0
	}
	return s.fair.ledger.Largest(now, n)
}

// Displacement returns the time after which a displaced waiter may retry, if the ticket is one of
// a waiter that was displaced with FairShare. It is to be called for the tickets that Expire or
// Flush returns, before the next Acquire.
func (s *Slots) Displacement(ticket uint64) (retryAfter clock.Millis, ok bool) {
	if s.fair == nil {
		return 0, false
	}
	i := slices.IndexFunc(s.fair.displaced, func(d displacement) bool { return d.ticket == ticket })
	if i < 0 {
		return 0, false
	}
	retryAfter = s.fair.displaced[i].retryAfter
	s.fair.displaced = slices.Delete(s.fair.displaced, i, i+1)
	return retryAfter, true
}

func newWaiter(r Request) waiter {
	return waiter{
		ticket: r.Ticket, deadline: r.Deadline, waitUntil: r.Until, priority: r.Priority,
		account: r.Account, weight: r.Weight, startBy: r.StartBy,
	}
}

// goesBefore reports whether a waiter gets a slot before another one of the same priority. Among
// requests of accounts with the same excess, one that misses its latency target is worth little
// and lets the others pass, and then the latest start decides. Shares come first: otherwise the
// requests of an account far over its share, of which some always can meet their target, would
// keep a late request of another account waiting until its deadline.
func (w *waiter) goesBefore(now clock.Millis, other *waiter) bool {
	isLate, isOtherLate := w.startBy != 0 && w.startBy < now, other.startBy != 0 && other.startBy < now
	switch {
	case w.account != other.account && w.excess != other.excess:
		return w.excess < other.excess
	case isLate != isOtherLate:
		return isOtherLate
	case w.startBy == 0 || other.startBy == 0:
		return w.startBy != 0 && other.startBy == 0
	default:
		return w.startBy < other.startBy
	}
}

// updateExcess updates the excess of all waiters.
func (s *Slots) updateExcess(now clock.Millis) {
	for i := range s.waiting {
		w := &s.waiting[i]
		w.excess = s.fair.ledger.Excess(now, w.account, w.weight)
	}
}

// waitersAhead returns how many waiters get a slot before the request: those before its
// position in the queue, or with FairShare those that it doesn't pass.
func (s *Slots) waitersAhead(now clock.Millis, r Request, position int) int {
	if s.fair == nil {
		return position
	}
	s.fair.ledger.Want(now, r.Account)
	s.updateExcess(now)
	w := newWaiter(r)
	w.excess = s.fair.ledger.Excess(now, w.account, w.weight)
	return s.countAhead(now, &w)
}

// countAhead returns how many other waiters get a slot before a waiter whose excess is updated.
func (s *Slots) countAhead(now clock.Millis, w *waiter) int {
	ahead := 0
	for i := range s.waiting {
		other := &s.waiting[i]
		if other.ticket == w.ticket {
			continue
		}
		isMoreUrgent := other.priority < w.priority && !s.fair.levels.IsDue(w.priority)
		if isMoreUrgent || (other.priority == w.priority && !w.goesBefore(now, other)) {
			ahead++
		}
	}
	return ahead
}

// isFull reports whether the queue has no position for a request that would be behind the given
// number of others. With FairShare, displace decides.
func (s *Slots) isFull(position int) bool {
	return s.fair == nil && position >= s.config.Queue
}

// nextWaiter returns the index of the waiter that gets the next slot: the first one of the most
// urgent priority that is due, or else of the most urgent one.
func (s *Slots) nextWaiter() int {
	if s.fair == nil {
		return 0
	}
	now := s.serviceTime.updatedAt
	s.updateExcess(now)
	next := 0
	for i := 1; i < len(s.waiting); i++ {
		w, best := &s.waiting[i], &s.waiting[next]
		if w.priority == best.priority {
			if w.goesBefore(now, best) {
				next = i
			}
		} else if s.fair.levels.IsDue(w.priority) && !s.fair.levels.IsDue(best.priority) {
			next = i // the queue is in the order of priorities
		}
	}
	return next
}

// countGrant counts a slot given to a waiter, which is no longer in the queue.
func (s *Slots) countGrant(w *waiter) {
	if s.fair == nil {
		return
	}
	var waiting [share.LevelCount]bool
	waiting[w.priority] = true
	for i := range s.waiting {
		waiting[s.waiting[i].priority] = true
	}
	s.fair.levels.Grant(w.priority, waiting)
}

// displace removes a waiter from the queue, which r has made too long. It refuses r if that is
// the waiter.
func (s *Slots) displace(now clock.Millis, r Request) Decision {
	i := len(s.waiting) - 1
	if s.fair != nil {
		i = s.mostDispensable(now)
	}
	w := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	if w.ticket == r.Ticket {
		return s.refuse(now, r, Full)
	}
	if s.fair != nil {
		if len(s.skipped) == 0 {
			s.fair.displaced = s.fair.displaced[:0] // Expire has returned them all
		}
		displaced := Request{Priority: w.priority, Account: w.account, Weight: w.weight, Until: w.waitUntil}
		s.fair.displaced = append(s.fair.displaced, displacement{ticket: w.ticket, retryAfter: s.retryAfter(now, displaced, Full)})
	}
	s.skipped = append(s.skipped, w.ticket)
	return Decision{Result: Wait}
}

// mostDispensable returns the index of the last waiter of the account that is furthest over its
// share, in the least urgent priority. The only waiter of a priority that is due is left out.
func (s *Slots) mostDispensable(now clock.Millis) int {
	s.updateExcess(now)
	last := len(s.waiting) - 1
	for last > 0 && s.waiting[last-1].priority != s.waiting[last].priority && s.fair.levels.IsDue(s.waiting[last].priority) {
		last--
	}
	for i, level := last-1, s.waiting[last].priority; i >= 0 && s.waiting[i].priority == level; i-- {
		w, candidate := &s.waiting[i], &s.waiting[last]
		switch {
		case w.account != candidate.account && w.excess != candidate.excess:
			if w.excess > candidate.excess {
				last = i
			}
		case candidate.goesBefore(now, w):
			last = i
		}
	}
	return last
}

// retryAfter returns the time after which a refused request may retry. With FairShare it grows
// with the account's excess, and ascends over the refusals of one account.
func (s *Slots) retryAfter(now clock.Millis, r Request, result Result) clock.Millis {
	if s.fair == nil {
		return s.RetryAfter(now)
	}
	if result != Paced && r.Until > now {
		s.fair.levels.Refuse(r.Priority)
	}
	excess := s.fair.ledger.Excess(now, r.Account, r.Weight)
	first := max(s.releaseInterval()*float64(len(s.waiting)+1), s.pace.wait(now, len(s.waiting)), minRetryAfter)
	if s.config.Slots <= 0 {
		first = maxRetryAfter
	}
	return clock.Millis(s.fair.ledger.Delay(now, r.Account, excess, share.Return{
		First:    first * (1 + jitterShare*s.random.Float64()),
		Interval: max(s.releaseInterval(), s.pace.interval()),
		Bound:    maxRetryAfter,
	}))
}
