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
	// mostAsks is how many gates a request asks for a free slot before it waits
	// at one. Each costs a hop of 0.2 to 2 ms, and loads heard are seconds old:
	// with 24 entries before 9 upstreams a pair meets every five seconds.
	mostAsks = 4
	// linkTime is how long a request waits for a link to a gate: some fifty round
	// trips between failure domains. The link to a node that is cut off or gone
	// opens no sooner than after seconds, and the request would spend all its time
	// on it: with other gates to ask, it goes to the next.
	linkTime = 100 * clock.Millis(1)
	// mostWaits is how many gates it waits at, one after the other: a queue that
	// is full, or too long for it, refuses at once. At 1.4 of the ordinary load of
	// measure/episodes three in place of one serve 0.946 of the calls (0.927) and
	// 0.958 of the short requests (0.938).
	mostWaits = 3
	// patienceShare is the part of a route's target that a request of a lower rank
	// may wait for a slot: the rest is for its run and the calls that this makes.
	// With an eighth in place of half, rosters lose 0.033 there and calls gain 0.010.
	patienceShare = 2
	// urgent is the lowest rank that waits longer: up to one and a half of its
	// target or 0.6 of its time. Its waits are short, for it goes first.
	urgent = 1
)

// progress is how far a request has come in its search for a slot.
type progress struct {
	asks   int
	full   []*member // they had no free slot
	waits  []*member // it waited at them
	forced bool
}

// choose picks the upstream for the next try: first the soundest with a free
// slot, then one to wait at, and last, where all of these are short of room, one
// that was set aside. It reports how many usable ones are left beside it.
func (r *request) choose(now clock.Millis) (a attempt, untried int, ok bool) {
	if r.config.Caution != table.Brief {
		return r.service.choose(now, r.repeatable, r.tried)
	}
	again := r.repeatable && r.ran == 0
	if r.progress.asks < mostAsks {
		a, untried, ok = r.service.chooseBrief(now, search{again: again, tried: r.tried})
		a.bounded = true
	}
	if !ok && len(r.progress.waits) < mostWaits {
		a, untried, ok = r.service.chooseBrief(now, search{tried: r.spent()})
		a.bounded, a.patience = true, r.patience(now)
		if ok {
			r.progress.waits = append(r.progress.waits, a.member)
		}
	}
	if !ok && !r.progress.forced && r.mayForce() {
		r.progress.forced = true
		a, untried, ok = r.service.chooseBrief(now, search{tried: r.tried, aside: true})
		a.bounded, a.forced = true, true
	}
	return a, untried, ok
}

// placesLeft is how many upstreams a request that failed may still try: those not
// tried, or one at least while it may wait where no slot was free before.
func (r *request) placesLeft(untried int) int {
	if r.config.Caution == table.Brief && len(r.progress.full) > 0 && len(r.progress.waits) < mostWaits {
		return max(untried, 1)
	}
	return untried
}

// spent are the upstreams that a request has tried, but for those that only had
// no free slot when they were asked.
func (r *request) spent() []*member {
	return slices.DeleteFunc(slices.Clone(r.tried), func(m *member) bool {
		return slices.Contains(r.progress.full, m) && !slices.Contains(r.progress.waits, m)
	})
}

// mayForce reports whether the request is better served by an upstream that was
// set aside than refused: that may succeed, and a failure costs it nothing that
// a refusal wouldn't. A request that runs once only is refused: its caller may
// then send it again.
func (r *request) mayForce() bool {
	return r.repeatable
}

// overdue is the age from which the request's run speaks against an upstream: half
// as long again as its target. Sound upstreams take longer once in some thirty
// runs, those that hang or are slow by five times nearly always.
func (r *request) overdue() clock.Millis {
	if r.config.Caution != table.Brief {
		return 0
	}
	return 3 * r.route.Target / 2
}

// patience is how long the request may still wait for a slot.
func (r *request) patience(now clock.Millis) clock.Millis {
	target := r.route.Target
	if target == 0 {
		target = r.deadline - r.started
	}
	if r.route.Priority > urgent {
		return max(target/patienceShare-(now-r.started), 0)
	}
	return max(min(3*target/2, 3*(r.deadline-r.started)/5)-(now-r.started), 0)
}

// asksOn reports whether a gate's refusal leaves other gates to ask.
// No upstream has seen the request, so that neither the retry budget nor the
// route's bound on upstreams is touched.
func (r *request) asksOn(o *result) bool {
	if r.config.Caution != table.Brief || o.kind != retry.NotRun || o.arrived || r.attempts >= retry.MostRefused {
		return false
	}
	if o.full {
		r.progress.asks++
		r.progress.full = append(r.progress.full, r.tried[len(r.tried)-1])
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
			usable = s.uses[i] == floor.Aside
		}
		usable = usable && !slices.Contains(look.tried, m)
		if usable {
			untried++
		}
		s.options = append(s.options, choice.Option{
			Risk:   m.severity(now, true),
			Load:   max(m.sent, choice.Fade(m.state.InFlight+m.state.Waiting, now-m.heard)),
			Slots:  m.upstream.Slots,
			Near:   m.upstream.Domain == s.domain,
			Usable: usable,
		})
	}
	again := look.again && untried > 0
	if again {
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
		if m.invited >= now && s.uses[i] != floor.Gone && !slices.Contains(tried, m) {
			m.invited = 0
			return i, true
		}
	}
	return 0, false
}
