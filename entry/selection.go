package entry

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/floor"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// retryableWeight is the cost of a failure for a request that can be retried,
	// relative to its cost for a request that can't: a retry from the budget and the
	// extra hop.
	retryableWeight = 0.4
	// maxDirectAttempts is how many gates a repeatable request is sent to without first
	// asking for a free slot. After that, several gates are probed at the same time: each
	// direct attempt costs a hop, and the reported loads are seconds old.
	maxDirectAttempts = 2
	// maxProbedGates is how many gates a request on its last attempt probes first. It
	// goes to the upstream with the lowest severity, because a gate's answer is newer
	// than the state that the entry last received from it.
	maxProbedGates = 3
	// maxQueuedGates is how many gates a request waits at simultaneously when none has a
	// free slot. The first slot that becomes free is taken.
	maxQueuedGates = 4
	// linkTimeout is how long a request waits for a link to a gate before it tries the
	// next gate. A link to a node that is cut off takes seconds to open.
	linkTimeout = 100 * clock.Millis(1)
	// waitBudgetShare divides a route's latency target: a request below urgentPriority
	// may wait for a slot for this fraction of the target. The rest is for its run and
	// the calls that the run makes.
	waitBudgetShare = 2
	// urgentPriority is the least urgent priority (the largest number) whose requests may
	// wait longer: up to 1.5 times the latency target or 0.6 of the timeout, whichever is
	// less. Their waits are short, since they are served first.
	urgentPriority = 1
)

// selectionState records which steps of the search for a slot a request has taken.
type selectionState struct {
	directAttempts int
	fullGates      []*member // members whose gates had no free slot
	probed         bool
	waited         bool
	forced         bool
	domain         domainState
}

// choose picks the upstream for the next attempt. For a service with short episodes it
// tries, in this order: the upstream with the lowest severity that has a free slot, the
// first of several upstreams whose slot becomes free, and an ejected upstream. The
// untried result is how many other usable upstreams are left.
func (r *request) choose(now clock.Millis) (a attempt, untried int, ok bool) {
	if r.config.Caution != table.ShortEpisodes {
		return r.service.choose(now, r.demand(), r.tried)
	}
	if n, ok := r.takeReservation(); ok {
		return n.attempt, n.untried, true
	}
	if a, untried, ok = r.chooseInOwnDomain(now); ok {
		return a, untried, true
	}
	switch {
	case !r.isLastTry() && r.selection.directAttempts < maxDirectAttempts:
		filter := candidateFilter{retryable: true, tried: append(slices.Clone(r.tried), r.selection.fullGates...), transfer: r.transfer()}
		a, untried, ok = r.service.chooseBySeverity(now, filter)
		a.noWait = true
	case r.isLastTry() && !r.selection.probed && !r.claimsOnly():
		r.selection.probed = true
		a, untried, ok = r.reserveSlot(now, maxProbedGates, 0)
	}
	if !ok && !r.selection.waited {
		a, untried, ok = r.awaitSlot(now)
	}
	if !ok && !r.selection.forced && r.mayForce() && !r.mustEnd() {
		r.selection.forced = true
		a, untried, ok = r.service.chooseBySeverity(now, candidateFilter{tried: r.tried, ejected: true})
		a.noWait, a.forced = true, true
	}
	return a, untried, ok
}

// awaitSlot waits for a slot at several gates, or for one of the whole service.
func (r *request) awaitSlot(now clock.Millis) (attempt, int, bool) {
	if r.config.Waiting == table.WaitForService {
		a, untried, ok := r.searchSlot(now, searchScope{startBy: r.startBy(), claims: r.maxClaims()})
		r.selection.waited = !ok // after a grant that could not be used, the search goes on
		return a, untried, ok
	}
	waitBudget := r.waitBudget(now)
	if waitBudget <= 0 {
		return attempt{}, 0, false
	}
	r.selection.waited = true
	return r.reserveSlot(now, maxQueuedGates, waitBudget)
}

// reserveSlot probes up to maxCandidates gates simultaneously for a slot. With a
// waitBudget of 0 it takes the free slot of the upstream with the lowest severity,
// otherwise the first slot that becomes free.
func (r *request) reserveSlot(now clock.Millis, maxCandidates int, waitBudget clock.Millis) (attempt, int, bool) {
	var candidates []attempt
	untried := 0
	filter := candidateFilter{demand: r.demand(), tried: slices.Clone(r.tried), transfer: r.transfer(), ownDomain: r.selection.domain.isSearched, shed: r.avoidsShedding()}
	for len(candidates) < maxCandidates {
		a, remaining, ok := r.service.chooseBySeverity(now, filter)
		if !ok {
			break
		}
		r.assignNumber(&a)
		candidates, untried = append(candidates, a), remaining
		filter.tried = append(filter.tried, a.member)
	}
	if len(candidates) == 0 {
		return attempt{}, 0, false
	}
	probe := r.probeCandidates(candidates, waitBudget, waitBudget == 0)
	ended := r.entry.config.Now()
	for i := range candidates {
		if i != probe.reserved {
			r.service.endAttempt(ended, candidates[i].member, &probe.refusals[i])
		}
	}
	if probe.reserved >= 0 {
		a := candidates[probe.reserved]
		a.noWait, a.isReserved = true, true
		return a, untried + len(candidates) - 1, true
	}
	for i := range candidates {
		r.recordNodeStop(candidates[i].member, &probe.refusals[i])
		r.recordAttempt(&candidates[i], &probe.refusals[i], now)
		if !probe.refusals[i].full {
			r.tried = append(r.tried, candidates[i].member)
		}
	}
	return attempt{}, 0, false
}

// isLastTry reports whether the request will most likely not be retried if this attempt
// fails. It is then sent to an upstream whose gate has just reported low severity and a
// free slot.
func (r *request) isLastTry() bool {
	return !r.repeatable || r.reachedUpstream
}

// resetSelection restarts the search for a slot after the request has reached an
// upstream. The request may still be sent to an ejected upstream only once.
func (r *request) resetSelection() {
	r.selection = selectionState{forced: r.selection.forced}
}

// candidatesLeft returns how many upstreams a failed request may still try. It is at
// least 1 while the request may still wait at gates that had no free slot.
func (r *request) candidatesLeft(untried int) int {
	if r.config.Caution == table.ShortEpisodes && !r.selection.waited {
		return max(untried, 1)
	}
	return untried
}

// mayForce reports whether the request may be sent to an ejected upstream instead of
// being refused. A repeatable request may: it can succeed there, and a failure costs no
// more than a refusal. A request that must run at most once is refused, so that its
// caller can safely send it again.
func (r *request) mayForce() bool {
	return r.repeatable
}

// waitBudget returns how long the request may still wait for a slot, at most until a typical run
// would end after its deadline. Time that it has waited behind other requests of its connection
// doesn't shorten its wait otherwise.
func (r *request) waitBudget(now clock.Millis) clock.Millis {
	target := r.route.LatencyTarget
	if target == 0 {
		target = r.deadline - r.started
	}
	share := target / waitBudgetShare
	if r.priority() <= urgentPriority {
		share = min(3*target/2, 3*(r.deadline-r.started)/5)
	}
	return max(min(r.handledAt+share, r.startBy())-now, 0)
}

// continueSelection reports whether the request may try other gates after a gate's
// refusal. No upstream has received the request, so neither the retry budget nor the
// route's limit on attempts is charged.
func (r *request) continueSelection(o *result) bool {
	if r.config.Caution != table.ShortEpisodes || o.kind != retry.NotRun || o.shed || r.refused >= retry.MaxRefused {
		return false
	}
	if o.full {
		r.selection.directAttempts++
		last := len(r.tried) - 1
		r.selection.fullGates = append(r.selection.fullGates, r.tried[last])
		r.tried = r.tried[:last]
	}
	return true
}

// candidateFilter selects the upstreams that a request may be sent to.
type candidateFilter struct {
	// retryable means that the request can be retried if this attempt fails.
	retryable bool
	// demand is the request's; the zero value excludes no upstream.
	demand demand
	// ejected selects ejected upstreams only.
	ejected bool
	// ownDomain selects upstreams in the entry's own failure domain only.
	ownDomain bool
	// shed means that an upstream has shed the request: those that shed less are preferred.
	shed  bool
	tried []*member
	// transfer is what crosses to an upstream in another failure domain.
	transfer choice.Transfer
}

// allows reports whether the request may be sent to an upstream that is used in the given way.
func (f *candidateFilter) allows(now clock.Millis, m *member, use floor.Use, stop nodeStop) bool {
	if f.ejected != (use == floor.Ejected) || use == floor.Unavailable || slices.Contains(f.tried, m) {
		return false
	}
	return !stop.refuses(now, f.demand)
}

// chooseBySeverity picks an upstream of a service whose upstreams fail in short episodes.
// The ranker weighs severity against load, and severity weighs less for a retryable
// request. A retryable request may also take up the work request of an upstream, even of
// an ejected one. The untried result is how many other upstreams match the filter.
func (s *service) chooseBySeverity(now clock.Millis, filter candidateFilter) (a attempt, untried int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyFloor(now) // severities drift between updates
	s.observeDomains(now)
	s.options = s.options[:0]
	for i, m := range s.members {
		usable := filter.allows(now, m, s.uses[i], s.stops[m]) && s.isWithinShare(now, m)
		risk := m.severity(now, true)
		if filter.shed {
			risk = s.riskOfRetry(now, m, risk)
		}
		if usable {
			untried++
		}
		near := m.upstream.Domain == s.domain
		s.options = append(s.options, choice.Option{
			Risk:     risk,
			Load:     s.loadOf(now, m),
			Slots:    m.upstream.Slots,
			Capacity: s.capacityOf(now, m),
			Near:     near,
			Usable:   usable && (near || !filter.ownDomain),
		})
	}
	retryable := filter.retryable && untried > 0
	if retryable {
		s.keepWatchedLinks(now, s.linkCount.RecordRequest(now))
		if i, wanted := s.takeWorkRequest(now, filter); wanted {
			return s.startAttempt(now, i), untried, true
		}
	}
	weight := 1.0
	if retryable {
		weight = retryableWeight
	}
	i, ok := s.ranker.ChooseWithTransfer(s.options, weight, filter.transfer)
	if !ok {
		return attempt{}, untried, false
	}
	return s.startAttempt(now, i), untried - 1, true
}

func (s *service) startAttempt(now clock.Millis, i int) attempt {
	s.members[i].inFlight++
	return s.newAttempt(now, i)
}

// newAttempt returns an attempt at member i with the state that is known now. The caller
// holds s.mu.
func (s *service) newAttempt(now clock.Millis, i int) attempt {
	m := s.members[i]
	return attempt{
		member:    m,
		upstream:  m.upstream,
		forced:    s.uses[i] == floor.Forced,
		severity:  m.severity(now, s.config.Caution == table.ShortEpisodes),
		updatedAt: m.updatedAt,
	}
}

// handleWorkRequest records a gate's work request until its TTL ends.
func (s *service) handleWorkRequest(now clock.Millis, r *wire.WorkRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.byName[r.Upstream]; ok {
		m.workRequestUntil = now + r.TTL
	}
}

// takeWorkRequest returns the index of an untried upstream with a pending work request,
// and clears that work request. The caller holds s.mu.
func (s *service) takeWorkRequest(now clock.Millis, filter candidateFilter) (int, bool) {
	for i, m := range s.members {
		if filter.ownDomain && m.upstream.Domain != s.domain {
			continue
		}
		if m.workRequestUntil > 0 && m.workRequestUntil >= now && s.uses[i] != floor.Unavailable && !slices.Contains(filter.tried, m) && s.isWithinShare(now, m) {
			m.workRequestUntil = 0
			return i, true
		}
	}
	return 0, false
}
