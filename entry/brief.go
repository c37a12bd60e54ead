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
	// retriedWeight is what a failure costs a request that can be sent again, in
	// parts of what it costs another: a place in the retry budget and a detour.
	retriedWeight = 0.4
	// mostAsks is how many gates a request that may be repeated is sent to in the
	// hope of a free slot, before it asks several at once: each costs a hop, and
	// loads heard are seconds old.
	mostAsks = 2
	// mostSurveyed is how many gates a request on its last try asks at first. It goes
	// to the soundest: what a gate has just seen is newer than what its entry heard.
	mostSurveyed = 3
	// mostPlaces is how many gates a request waits at, all at once, where none has a
	// free slot: the first that gets one is taken.
	mostPlaces = 4
	// linkTime is how long a request waits for a link to a gate before it goes to the
	// next. The link to a node that is cut off opens no sooner than after seconds.
	linkTime = 100 * clock.Millis(1)
	// patienceShare is the part of a route's target that a request of a lower rank
	// may wait for a slot: the rest is for its run and the calls that this makes.
	patienceShare = 2
	// urgent is the lowest rank that waits longer: up to one and a half of its
	// target or 0.6 of its time. Its waits are short, for it goes first.
	urgent = 1
)

// progress is how far a request has come in its search for a slot.
type progress struct {
	asks     int
	full     []*member // they had no free slot
	surveyed bool
	waited   bool
	forced   bool
}

// choose picks the upstream for the next try: the soundest with a free slot, then
// the first of several to get one, and last, where all of these are short of room,
// one that was set aside. It reports how many usable ones are left beside it.
func (r *request) choose(now clock.Millis) (a attempt, untried int, ok bool) {
	if r.config.Caution != table.Brief {
		return r.service.choose(now, r.repeatable, r.tried)
	}
	if n, ok := r.takeNext(); ok {
		return n.attempt, n.untried, true
	}
	switch {
	case !r.isLastTry() && r.progress.asks < mostAsks:
		look := search{again: true, tried: append(slices.Clone(r.tried), r.progress.full...)}
		a, untried, ok = r.service.chooseBrief(now, look)
		a.bounded = true
	case r.isLastTry() && !r.progress.surveyed:
		r.progress.surveyed = true
		a, untried, ok = r.gather(now, mostSurveyed, 0)
	}
	if patience := r.patience(now); !ok && !r.progress.waited && patience > 0 {
		r.progress.waited = true
		a, untried, ok = r.gather(now, mostPlaces, patience)
	}
	if !ok && !r.progress.forced && r.mayForce() && !r.hasLeft() {
		r.progress.forced = true
		a, untried, ok = r.service.chooseBrief(now, search{tried: r.tried, aside: true})
		a.bounded, a.forced = true, true
	}
	return a, untried, ok
}

// gather asks gates for a slot, all at once: for a free one, of which it takes the
// soundest, or, with patience, for the first that gets free.
func (r *request) gather(now clock.Millis, most int, patience clock.Millis) (attempt, int, bool) {
	var places []attempt
	untried := 0
	look := search{tried: slices.Clone(r.tried)}
	for len(places) < most {
		a, left, ok := r.service.chooseBrief(now, look)
		if !ok {
			break
		}
		r.number(&a)
		places, untried = append(places, a), left
		look.tried = append(look.tried, a.member)
	}
	if len(places) == 0 {
		return attempt{}, 0, false
	}
	s := r.survey(places, patience, patience == 0)
	ended := r.entry.config.Now()
	for i := range places {
		if i != s.held {
			r.service.ended(ended, places[i].member, &s.refusals[i])
		}
	}
	if s.held >= 0 {
		a := places[s.held]
		a.bounded, a.isHeld = true, true
		return a, untried + len(places) - 1, true
	}
	for i := range places {
		r.note(&places[i], &s.refusals[i], now)
		if !s.refusals[i].full {
			r.tried = append(r.tried, places[i].member)
		}
	}
	return attempt{}, 0, false
}

// isLastTry reports whether the request will most likely not be sent again if it fails:
// it goes where a gate has just said that it is sound and has room.
func (r *request) isLastTry() bool {
	return !r.repeatable || r.arrived
}

// searchAnew lets a request that has reached an upstream, and may reach another, look for
// a slot as a new one does.
func (r *request) searchAnew() {
	r.progress = progress{forced: r.progress.forced}
}

// placesLeft is how many upstreams a request that failed may still try: those not
// tried, or one at least while it may wait where no slot was free before.
func (r *request) placesLeft(untried int) int {
	if r.config.Caution == table.Brief && !r.progress.waited {
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

// patience is how long the request may still wait for a slot.
func (r *request) patience(now clock.Millis) clock.Millis {
	target := r.route.Target
	if target == 0 {
		target = r.deadline - r.started
	}
	if r.priority() > urgent {
		return max(target/patienceShare-(now-r.started), 0)
	}
	return max(min(3*target/2, 3*(r.deadline-r.started)/5)-(now-r.started), 0)
}

// asksOn reports whether a gate's refusal leaves other gates to ask.
// No upstream has seen the request, so that neither the retry budget nor the
// route's bound on upstreams is touched.
func (r *request) asksOn(o *result) bool {
	if r.config.Caution != table.Brief || o.kind != retry.NotRun || o.arrived || r.refused >= retry.MaxRefused {
		return false
	}
	if o.full {
		r.progress.asks++
		last := len(r.tried) - 1
		r.progress.full = append(r.progress.full, r.tried[last])
		r.tried = r.tried[:last]
	}
	return true
}

// search says what a request looks for.
type search struct {
	// again says that it may be sent once more if it fails.
	again bool
	// aside looks among the upstreams that were set aside.
	aside bool
	tried []*member
}

// chooseBrief picks an upstream where these fail in brief episodes: work that
// runs once only goes to the soundest with room, and now and then one that can
// be sent again tries an upstream that was set aside.
func (s *service) chooseBrief(now clock.Millis, look search) (a attempt, untried int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decideFloor(now) // severities drift without news
	s.options = s.options[:0]
	for i, m := range s.members {
		usable := s.uses[i] == floor.Normal || s.uses[i] == floor.Forced
		if look.aside {
			usable = s.uses[i] == floor.Ejected
		}
		risk := m.severity(now, true)
		usable = usable && !slices.Contains(look.tried, m)
		if usable {
			untried++
		}
		s.options = append(s.options, choice.Option{
			Risk:   risk,
			Load:   max(m.sent, choice.DecayLoad(m.state.InFlight+m.state.Waiting, now-m.heard)),
			Slots:  m.upstream.Slots,
			Near:   m.upstream.Domain == s.domain,
			Usable: usable,
		})
	}
	again := look.again && untried > 0
	if again {
		s.keepInView(now, s.reach.RecordRequest(now))
		if i, wanted := s.invitation(now, look.tried); wanted {
			return s.send(now, i), untried, true
		}
	}
	weight := 1.0
	if again {
		weight = retriedWeight
	}
	i, ok := s.ranker.Choose(s.options, weight)
	if !ok {
		return attempt{}, untried, false
	}
	return s.send(now, i), untried - 1, true
}

func (s *service) send(now clock.Millis, i int) attempt {
	s.members[i].sent++
	return s.attemptOf(now, i)
}

// attemptOf is a try at the upstream as it is known now. The lock is held.
func (s *service) attemptOf(now clock.Millis, i int) attempt {
	m := s.members[i]
	return attempt{
		member:   m,
		upstream: m.upstream,
		forced:   s.uses[i] == floor.Forced,
		severity: m.severity(now, s.config.Caution == table.Brief),
		heard:    m.heard,
	}
}

// invited takes in a gate's wish for a request.
func (s *service) invited(now clock.Millis, i *wire.Invitation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.byName[i.Upstream]; ok {
		m.invited = now + i.For
	}
}

// invitation returns an upstream that wants a request, and takes it up. The lock is
// held.
func (s *service) invitation(now clock.Millis, tried []*member) (int, bool) {
	for i, m := range s.members {
		if m.invited > 0 && m.invited >= now && s.uses[i] != floor.Unavailable && !slices.Contains(tried, m) {
			m.invited = 0
			return i, true
		}
	}
	return 0, false
}
