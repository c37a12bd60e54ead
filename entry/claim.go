package entry

import (
	"slices"
	"time"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/waiting"
	"fuchsiapick.example/fuchsiapick/wire"
)

// ClaimRecorder counts the claims of requests that wait for a slot of their service.
type ClaimRecorder interface {
	RecordClaim(service string, outcome waiting.Outcome)
	// RecordClaimWait records how long a request has waited for the slot that it got.
	RecordClaimWait(service string, wait clock.Millis)
}

// searchScope limits a search for a slot.
type searchScope struct {
	// startBy is the latest instant at which the request may still start.
	startBy clock.Millis
	// ownDomain limits the search to the entry's own failure domain.
	ownDomain bool
	// claims is the number of claims that the search may make.
	claims int
}

// claimSearch is a request's search for a slot of its service. The claims have the indexes
// that the search gave them.
type claimSearch struct {
	request *request
	scope   searchScope
	search  *waiting.Search
	claims  []attempt
	events  chan claimEvent
}

// claimEvent is what a gate answers, or that the claim is lost if both fields are unset.
type claimEvent struct {
	index    int
	answer   *wire.Reservation
	isQueued bool
	wait     clock.Millis
}

// eventsPerClaim is the number of events of one claim: its confirmation, and its end.
const eventsPerClaim = 2

// claimObserver passes on the events of one claim.
type claimObserver struct {
	events chan claimEvent
	index  int
}

// Answered passes on the gate's answer.
func (o claimObserver) Answered(r *wire.Reservation) {
	o.put(claimEvent{index: o.index, answer: r})
}

// Queued passes on that the claim waits.
func (o claimObserver) Queued(wait clock.Millis) {
	o.put(claimEvent{index: o.index, isQueued: true, wait: wait})
}

// Lost passes on that the claim will get no answer.
func (o claimObserver) Lost() {
	o.put(claimEvent{index: o.index})
}

func (o claimObserver) put(e claimEvent) {
	select {
	case o.events <- e:
	default: // the search has ended and reads no more events
	}
}

// startBy returns the latest instant at which it is useful for the request to start: from then
// on a typical run would end after the deadline, or one may end after the entry stops.
func (r *request) startBy() clock.Millis {
	startBy := r.deadline - r.typicalLatency().Median - r.resolveTimeout()
	if stop := r.entry.plannedStop(); stop.IsSet() {
		return min(startBy, stop.StartBy(r.departureRun()))
	}
	return startBy
}

// startForTarget returns the latest instant from which a typical run meets the route's target,
// and startBy for a route without one.
func (r *request) startForTarget() clock.Millis {
	if r.route.LatencyTarget == 0 {
		return r.startBy()
	}
	return min(r.started+r.route.LatencyTarget-r.typicalLatency().Median, r.startBy())
}

// maxClaims returns how many claims a search of the whole service may make. While a service sheds
// load, most gates have no retry budget left: a retry asks as many of them as it would without
// claims, since more would only add messages.
func (r *request) maxClaims() int {
	if r.reachedUpstream {
		return retry.MaxRefused
	}
	return waiting.MaxClaims
}

// searchSlot claims slots at the gates of the service until one grants its claim, none is left
// that could, or it is too late for the request to start. The untried result is how many other
// upstreams the request may be sent to.
func (r *request) searchSlot(now clock.Millis, scope searchScope) (a attempt, untried int, ok bool) {
	c := &claimSearch{
		request: r,
		scope:   scope,
		search:  waiting.New(waiting.Config{StartBy: scope.startBy, Claims: min(scope.claims, waiting.MaxClaims-r.claims)}),
		events:  make(chan claimEvent, eventsPerClaim*waiting.MaxClaims),
	}
	granted := c.run(now)
	now = r.entry.config.Now()
	c.withdrawAll(now)
	if at := c.search.RoomAt(now); at > 0 {
		r.roomAt = at
	}
	if granted < 0 {
		return attempt{}, 0, false
	}
	a = c.claims[granted]
	a.noWait, a.isReserved = true, true
	c.record(waiting.Granted)
	if recorder := r.entry.config.Claims; recorder != nil {
		recorder.RecordClaimWait(r.serviceName, now-r.started)
	}
	return a, max(r.service.countUntried(now, r.demand(), r.tried)-1, 0), true
}

// run returns the index of the claim that was granted, -1 if none was.
func (c *claimSearch) run(now clock.Millis) int {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		for _, w := range c.search.Withdraw(now) {
			c.withdraw(now, w)
		}
		c.askGates(now)
		if c.search.HasEnded(now) {
			return -1
		}
		timer.Reset((c.search.WakeAt(now) - now).Duration())
		select {
		case e := <-c.events:
			now = c.request.entry.config.Now()
			if c.handle(now, e) {
				return e.index
			}
		case <-timer.C:
			now = c.request.entry.config.Now()
		case <-c.request.callerGone:
			return -1
		case <-c.request.entry.stopped:
			return -1
		}
	}
}

// askGates sends claims to the best gates, as many as the search permits.
func (c *claimSearch) askGates(now clock.Millis) {
	r := c.request
	for c.search.WantsClaim(now) {
		a, _, ok := r.service.chooseBySeverity(now, candidateFilter{
			demand: r.demand(), tried: c.excluded(now), ownDomain: c.scope.ownDomain, transfer: r.transfer(), shed: r.avoidsShedding(),
		})
		if !ok {
			c.search.Exhaust(now)
			return
		}
		r.assignNumber(&a)
		r.claims++
		index := c.search.Claim(now, a.upstream.Name)
		c.claims = append(c.claims, a)
		if a.member.gate.ClaimSlot(c.newClaim(now, &a), claimObserver{c.events, index}) != nil {
			c.lose(now, index)
		}
	}
}

// excluded returns the members that may not be asked now.
func (c *claimSearch) excluded(now clock.Millis) []*member {
	excluded := slices.Clone(c.request.tried)
	for i := range c.claims {
		if !c.search.MayAsk(now, c.claims[i].upstream.Name) {
			excluded = append(excluded, c.claims[i].member)
		}
	}
	return excluded
}

func (c *claimSearch) newClaim(now clock.Millis, a *attempt) *wire.SlotClaim {
	r := c.request
	claim := &wire.SlotClaim{
		Probe: wire.CapacityProbe{
			ID: r.id, Attempt: a.number, Upstream: a.upstream.Name, Repeatable: r.repeatable, Retry: r.reachedUpstream, Forced: a.forced,
			Priority: r.priority(), Budget: r.deadline - now, WaitBudget: c.scope.startBy - now,
		},
		Account: r.accountName(), StartBy: r.startForTarget() - now, Bytes: len(r.body),
	}
	weight := table.DefaultAccountWeight
	if r.account != nil && r.account.Weight > 0 {
		weight = r.account.Weight
	}
	claim.Weight = r.service.shares.claimWeight(now, claim.Account, weight)
	return claim
}

// handle handles an event and reports whether its claim is granted. A grant that comes after
// the claim's withdrawal is not used: the withdrawal releases its slot.
func (c *claimSearch) handle(now clock.Millis, e claimEvent) bool {
	switch {
	case e.isQueued:
		c.search.Queue(now, e.index, e.wait)
	case e.answer == nil:
		c.lose(now, e.index)
	case e.answer.Reserved:
		return c.search.Grant(e.index)
	default:
		c.refuse(now, e)
	}
	return false
}

func (c *claimSearch) refuse(now clock.Millis, e claimEvent) {
	if !c.search.IsOpen(e.index) {
		return
	}
	refusal := result{
		kind: retry.NotRun, reason: string(e.answer.Reason), retryAfter: e.answer.RetryAfter,
		full: isFull(e.answer.Reason), isPaced: e.answer.Reason == wire.ReasonRateLimit,
	}
	c.search.Refuse(now, e.index, waiting.Refusal{
		IsFull: e.answer.Reason == wire.ReasonFull || refusal.isPaced, RetryAfter: refusal.retryAfter,
	})
	c.end(now, e.index, waiting.Refused, &refusal)
}

// lose ends a claim that was not sent or whose link is lost. Its gate may still have it.
func (c *claimSearch) lose(now clock.Millis, index int) {
	if c.search.IsOpen(index) {
		c.search.Lose(index)
		c.withdraw(now, waiting.Withdrawal{Index: index, IsUnconfirmed: true})
	}
}

// withdraw tells the gate that a claim isn't needed. A gate that has not confirmed the claim
// isn't asked again by this request. It counts as unreachable for no other: it may only be
// slow.
func (c *claimSearch) withdraw(now clock.Millis, w waiting.Withdrawal) {
	a := &c.claims[w.Index]
	a.member.gate.ReleaseReservation(&wire.ReleaseReservation{ID: c.request.id, Attempt: a.number, Upstream: a.upstream.Name})
	if w.IsUnconfirmed {
		c.end(now, w.Index, waiting.Unconfirmed, &result{kind: retry.NotRun, reason: access.ReasonUnreachable})
		return
	}
	c.record(waiting.Withdrawn)
	c.request.service.endAttempt(now, a.member, &result{})
}

// end ends a claim that brought no slot. Its gate is tried no more unless it was only full.
func (c *claimSearch) end(now clock.Millis, index int, outcome waiting.Outcome, refusal *result) {
	r, a := c.request, &c.claims[index]
	c.record(outcome)
	r.recordNodeStop(a.member, refusal)
	r.service.endAttempt(now, a.member, refusal)
	r.recordAttempt(a, refusal, now)
	if !refusal.full {
		r.tried = append(r.tried, a.member)
	}
}

// withdrawAll withdraws the claims that are still open when the search ends.
func (c *claimSearch) withdrawAll(now clock.Millis) {
	for _, w := range c.search.End(now) {
		c.withdraw(now, w)
	}
}

func (c *claimSearch) record(outcome waiting.Outcome) {
	if recorder := c.request.entry.config.Claims; recorder != nil {
		recorder.RecordClaim(c.request.serviceName, outcome)
	}
}

// retryAfter returns the time after which the caller of a request that found no upstream may
// retry: when a gate that was asked expects room, if any has said so.
func (r *request) retryAfter(now clock.Millis) clock.Millis {
	if r.roomAt > now {
		return r.roomAt - now
	}
	return r.service.retryAfter(now)
}
