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
	// retryableWeight is what a failure costs a request that can be sent again, in
	// parts of what it costs another: a place in the retry budget and a detour.
	retryableWeight = 0.4
	// maxDirectAttempts is how many gates a request that may be repeated is sent to in the
	// hope of a free slot, before it asks several at once: each costs a hop, and
	// loads heard are seconds old.
	maxDirectAttempts = 2
	// maxProbedGates is how many gates a request on its last try asks at first. It goes
	// to the soundest: what a gate has just seen is newer than what its entry heard.
	maxProbedGates = 3
	// maxQueuedGates is how many gates a request waits at, all at once, where none has a
	// free slot: the first that gets one is taken.
	maxQueuedGates = 4
	// linkTimeout is how long a request waits for a link to a gate before it goes to the
	// next. The link to a node that is cut off opens no sooner than after seconds.
	linkTimeout = 100 * clock.Millis(1)
	// waitBudgetShare is the part of a route's target that a request of a lower rank
	// may wait for a slot: the rest is for its run and the calls that this makes.
	waitBudgetShare = 2
	// urgentPriority is the lowest rank that waits longer: up to one and a half of its
	// target or 0.6 of its time. Its waits are short, for it goes first.
	urgentPriority = 1
)

// selectionState is how far a request has come in its search for a slot.
type selectionState struct {
	directAttempts int
	full           []*member // they had no free slot
	probed         bool
	waited         bool
	forced         bool
}

// choose picks the upstream for the next try: the soundest with a free slot, then
// the first of several to get one, and last, where all of these are short of room,
// one that was set aside. It reports how many usable ones are left beside it.
func (r *request) choose(now clock.Millis) (a attempt, untried int, ok bool) {
	if r.config.Caution != table.ShortEpisodes {
		return r.service.choose(now, r.repeatable, r.tried)
	}
	if n, ok := r.takeReservation(); ok {
		return n.attempt, n.untried, true
	}
	switch {
	case !r.isLastTry() && r.selection.directAttempts < maxDirectAttempts:
		look := candidateFilter{retryable: true, tried: append(slices.Clone(r.tried), r.selection.full...)}
		a, untried, ok = r.service.chooseBySeverity(now, look)
		a.noWait = true
	case r.isLastTry() && !r.selection.probed:
		r.selection.probed = true
		a, untried, ok = r.reserveSlot(now, maxProbedGates, 0)
	}
	if patience := r.waitBudget(now); !ok && !r.selection.waited && patience > 0 {
		r.selection.waited = true
		a, untried, ok = r.reserveSlot(now, maxQueuedGates, patience)
	}
	if !ok && !r.selection.forced && r.mayForce() && !r.isCallerGone() {
		r.selection.forced = true
		a, untried, ok = r.service.chooseBySeverity(now, candidateFilter{tried: r.tried, ejected: true})
		a.noWait, a.forced = true, true
	}
	return a, untried, ok
}

// reserveSlot asks gates for a slot, all at once: for a free one, of which it takes the
// soundest, or, with patience, for the first that gets free.
func (r *request) reserveSlot(now clock.Millis, most int, patience clock.Millis) (attempt, int, bool) {
	var places []attempt
	untried := 0
	look := candidateFilter{tried: slices.Clone(r.tried)}
	for len(places) < most {
		a, left, ok := r.service.chooseBySeverity(now, look)
		if !ok {
			break
		}
		r.assignNumber(&a)
		places, untried = append(places, a), left
		look.tried = append(look.tried, a.member)
	}
	if len(places) == 0 {
		return attempt{}, 0, false
	}
	s := r.probeCandidates(places, patience, patience == 0)
	ended := r.entry.config.Now()
	for i := range places {
		if i != s.reserved {
			r.service.endAttempt(ended, places[i].member, &s.refusals[i])
		}
	}
	if s.reserved >= 0 {
		a := places[s.reserved]
		a.noWait, a.isReserved = true, true
		return a, untried + len(places) - 1, true
	}
	for i := range places {
		r.recordAttempt(&places[i], &s.refusals[i], now)
		if !s.refusals[i].full {
			r.tried = append(r.tried, places[i].member)
		}
	}
	return attempt{}, 0, false
}

// isLastTry reports whether the request will most likely not be sent again if it fails:
// it goes where a gate has just said that it is sound and has room.
func (r *request) isLastTry() bool {
	return !r.repeatable || r.reachedUpstream
}

// resetSelection lets a request that has reached an upstream, and may reach another, look for
// a slot as a new one does.
func (r *request) resetSelection() {
	r.selection = selectionState{forced: r.selection.forced}
}

// candidatesLeft is how many upstreams a request that failed may still try: those not
// tried, or one at least while it may wait where no slot was free before.
func (r *request) candidatesLeft(untried int) int {
	if r.config.Caution == table.ShortEpisodes && !r.selection.waited {
		return max(untried, 1)
	}
	return untried
}

// mayForce reports whether the request is better served by an upstream that was
// set aside than refused: that may succeed, and a failure costs it nothing that
// a refusal wouldn't. A request that runs once only is refused: its caller may
// then send it again.
func (r *request) mayForce() bool {
	return r.repeatable
}

// waitBudget is how long the request may still wait for a slot.
func (r *request) waitBudget(now clock.Millis) clock.Millis {
	target := r.route.LatencyTarget
	if target == 0 {
		target = r.deadline - r.started
	}
	if r.priority() > urgentPriority {
		return max(target/waitBudgetShare-(now-r.started), 0)
	}
	return max(min(3*target/2, 3*(r.deadline-r.started)/5)-(now-r.started), 0)
}

// continueSelection reports whether a gate's refusal leaves other gates to ask.
// No upstream has seen the request, so that neither the retry budget nor the
// route's bound on upstreams is touched.
func (r *request) continueSelection(o *result) bool {
	if r.config.Caution != table.ShortEpisodes || o.kind != retry.NotRun || o.shed || r.refused >= retry.MaxRefused {
		return false
	}
	if o.full {
		r.selection.directAttempts++
		last := len(r.tried) - 1
		r.selection.full = append(r.selection.full, r.tried[last])
		r.tried = r.tried[:last]
	}
	return true
}

// candidateFilter says what a request looks for.
type candidateFilter struct {
	// retryable says that it may be sent once more if it fails.
	retryable bool
	// ejected looks among the upstreams that were set aside.
	ejected bool
	tried   []*member
}

// chooseBySeverity picks an upstream where these fail in brief episodes: work that
// runs once only goes to the soundest with room, and now and then one that can
// be sent again tries an upstream that was set aside.
func (s *service) chooseBySeverity(now clock.Millis, look candidateFilter) (a attempt, untried int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyFloor(now) // severities drift without news
	s.options = s.options[:0]
	for i, m := range s.members {
		usable := s.uses[i] == floor.Normal || s.uses[i] == floor.Forced
		if look.ejected {
			usable = s.uses[i] == floor.Ejected
		}
		risk := m.severity(now, true)
		usable = usable && !slices.Contains(look.tried, m)
		if usable {
			untried++
		}
		s.options = append(s.options, choice.Option{
			Risk:   risk,
			Load:   max(m.inFlight, choice.DecayLoad(m.state.InFlight+m.state.Waiting, now-m.updatedAt)),
			Slots:  m.upstream.Slots,
			Near:   m.upstream.Domain == s.domain,
			Usable: usable,
		})
	}
	again := look.retryable && untried > 0
	if again {
		s.keepWatchedLinks(now, s.reach.RecordRequest(now))
		if i, wanted := s.takeWorkRequest(now, look.tried); wanted {
			return s.startAttempt(now, i), untried, true
		}
	}
	weight := 1.0
	if again {
		weight = retryableWeight
	}
	i, ok := s.ranker.Choose(s.options, weight)
	if !ok {
		return attempt{}, untried, false
	}
	return s.startAttempt(now, i), untried - 1, true
}

func (s *service) startAttempt(now clock.Millis, i int) attempt {
	s.members[i].inFlight++
	return s.newAttempt(now, i)
}

// newAttempt is a try at the upstream as it is known now. The lock is held.
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

// handleWorkRequest takes in a gate's wish for a request.
func (s *service) handleWorkRequest(now clock.Millis, i *wire.WorkRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.byName[i.Upstream]; ok {
		m.workRequestUntil = now + i.TTL
	}
}

// takeWorkRequest returns an upstream that wants a request, and takes it up. The lock is
// held.
func (s *service) takeWorkRequest(now clock.Millis, tried []*member) (int, bool) {
	for i, m := range s.members {
		if m.workRequestUntil > 0 && m.workRequestUntil >= now && s.uses[i] != floor.Unavailable && !slices.Contains(tried, m) {
			m.workRequestUntil = 0
			return i, true
		}
	}
	return 0, false
}
