package entry

import (
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/floor"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/resend"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// baselineInterval is how often the median over a service's gates is worked out
// anew: often against the seconds in which a common fault spreads, seldom
// against the requests in between.
const baselineInterval = clock.Millis(200)

// service is this entry's view of one service.
type service struct {
	log      logrus.FieldLogger
	recorder Recorder

	seed               uint64
	watchOffset        int // where among the members the watched ones begin
	mu                 sync.Mutex
	config             table.Service
	members            []*member
	byName             map[string]*member
	chooser            *choice.Chooser
	ranker             *choice.Ranker
	options            []choice.Option
	domain             string
	retryBudget        *retry.Budget
	baseline           health.Baseline
	lowestFailureShare float64 // the lowest share of failures in view
	baselineAt         clock.Millis
	dirty              bool
	recheckAt          clock.Millis // when the first hold-off ends; 0 without one
	uses               []floor.Use
	reach              episode.LinkCount
	membership         *resend.Membership
	nodes              map[string]GateClient // the ways to the roster's

	candidates   []choice.Candidate
	floorMembers []floor.Member
	baselines    []health.Baseline
}

func newService(c table.Service, domain string, seed uint64, journal Recorder, log logrus.FieldLogger) *service {
	return &service{
		log:                log.WithField("service", c.Name),
		recorder:           journal,
		seed:               seed,
		config:             c,
		byName:             map[string]*member{},
		chooser:            choice.New(choice.Config{Domain: domain, Seed: seed}),
		ranker:             choice.NewRanker(seed),
		domain:             domain,
		lowestFailureShare: 1,
		retryBudget:        retry.New(retryConfig(c, seed)),
		dirty:              true,
		membership:         resend.NewMembership(resend.Retention),
		nodes:              map[string]GateClient{},
	}
}

func retryConfig(c table.Service, seed uint64) retry.Config {
	return retry.Config{Share: c.RetryRatio, GateQuotas: c.RetryWindow > 0, Seed: seed}
}

// update puts a table edit in force. What is known of upstreams that stay is
// kept; one that started again under its name is another.
func (s *service) update(c table.Service, target func(u table.Upstream) GateClient) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.RetryWindow != s.config.RetryWindow || c.RetryRatio != s.config.RetryRatio {
		s.retryBudget = retry.New(retryConfig(c, s.seed))
	}
	s.config = c
	old := s.byName
	s.byName = make(map[string]*member, len(c.Upstreams))
	s.members = make([]*member, 0, len(c.Upstreams))
	for _, u := range c.Upstreams {
		m, ok := old[u.Name]
		if !ok || m.upstream.Node != u.Node || m.upstream.Started != u.Started {
			m = &member{gate: target(u), state: wire.Upstream{Share: 1}}
		}
		m.upstream = u
		s.members = append(s.members, m)
		s.byName[u.Name] = m
	}
	s.watchOffset = int(s.seed % uint64(max(len(s.members), 1)))
	s.dirty = true
}

// attempt is a choice of an upstream for one try at a request.
type attempt struct {
	member *member
	// upstream is as the table had it at the choice: an edit may follow.
	upstream table.Upstream
	forced   bool
	// number is that of the attempt, by which its gate knows it; 0 until it has
	// one.
	number uint8
	// noWait means that it asks for a free slot and doesn't wait; isHeld that a
	// slot is kept for it.
	noWait, isReserved bool
	// verdict is what is known of the request that the gate is told.
	verdict quarantine.Verdict
	// severity is what the upstream's was taken for, heard when it was told.
	severity  float64
	updatedAt clock.Millis
}

// choose picks the upstream for the next try. It reports how many usable ones
// were not tried before.
func (s *service) choose(now clock.Millis, repeatable bool, tried []*member) (a attempt, untried int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	s.candidates = s.candidates[:0]
	for i, m := range s.members {
		usable := s.usable(now, i, repeatable)
		s.candidates = append(s.candidates, m.candidate(now, s.lowestFailureShare, usable))
		if usable && !slices.Contains(tried, m) {
			untried++
		}
	}
	i, ok := s.chooser.Choose(s.candidates, func(i int) bool { return slices.Contains(tried, s.members[i]) })
	if !ok {
		return attempt{}, untried, false
	}
	m := s.members[i]
	m.inFlight++
	return s.newAttempt(now, i), untried - 1, true
}

// countUntried counts the upstreams that a request may still be sent to.
func (s *service) countUntried(now clock.Millis, repeatable bool, tried []*member) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	count := 0
	for i, m := range s.members {
		if s.usable(now, i, repeatable) && !slices.Contains(tried, m) {
			count++
		}
	}
	return count
}

// isForced reports whether the floor keeps an upstream in use in spite of its verdict.
func (s *service) isForced(now clock.Millis, m *member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	i := slices.Index(s.members, m)
	return i >= 0 && s.uses[i] == floor.Forced
}

// usable says whether a request may go to an upstream. One that is back for
// trial gets repeatable requests only: should it still be sick, another can
// serve them again.
func (s *service) usable(now clock.Millis, i int, repeatable bool) bool {
	switch s.uses[i] {
	case floor.Normal, floor.Forced:
		return true
	case floor.Ejected:
		return repeatable && s.members[i].verdict(now) == health.Trial
	default:
		return false
	}
}

// refresh works out the floor and the baseline where something changed.
func (s *service) refresh(now clock.Millis) {
	if s.config.Caution == table.ShortEpisodes {
		s.applyFloor(now) // severities drift without news
		return
	}
	if s.dirty || (s.recheckAt > 0 && now >= s.recheckAt) {
		s.applyFloor(now)
		s.dirty = false
	}
	if now-s.baselineAt >= baselineInterval {
		s.baselineAt = now
		s.updateBaseline(now)
	}
}

const (
	// watchedUpstreams is how many upstreams of a service an entry keeps in view while
	// it has requests for it. An entry whose requests all stay in its own
	// failure domain would otherwise know the figures of that domain alone, and
	// take a fault of it for the usual state of the service.
	watchedUpstreams = 8
	// viewWindow is how old what was heard of others may be to count as in view.
	viewWindow = 10 * clock.Second
)

// updateBaseline works out what is usual, from the upstreams in view.
func (s *service) updateBaseline(now clock.Millis) {
	s.baselines = s.baselines[:0]
	s.keepWatchedLinks(now, watchedUpstreams)
	for i, m := range s.members {
		if s.isWatched(i, watchedUpstreams) || now-m.updatedAt < viewWindow {
			own := m.state.Local.ToHealth()
			own.Age += now - m.updatedAt
			s.baselines = append(s.baselines, own)
		}
	}
	s.baseline = health.Median(s.baselines)
	s.lowestFailureShare = 1
	for _, own := range s.baselines {
		if own.Known {
			s.lowestFailureShare = min(s.lowestFailureShare, own.Failed)
		}
	}
}

// isWatched reports whether an upstream is among the few that this entry keeps in view.
// Entries differ in which these are.
func (s *service) isWatched(i, few int) bool {
	return (i+s.watchOffset)%len(s.members) < few
}

// keepWatchedLinks asks for links to the watched upstreams that weren't heard of lately.
func (s *service) keepWatchedLinks(now clock.Millis, few int) {
	for i, m := range s.members {
		if s.isWatched(i, few) && now-m.updatedAt >= watchInterval {
			m.gate.EnsureLink()
		}
	}
}

// watchInterval is the age of what was heard of an upstream at which its link is
// asked for: two heartbeats.
const watchInterval = clock.Second

func (s *service) applyFloor(now clock.Millis) {
	s.floorMembers = s.floorMembers[:0]
	s.recheckAt = 0
	brief := s.config.Caution == table.ShortEpisodes
	for _, m := range s.members {
		if end := m.updatedAt + m.state.Until; m.verdict(now) == health.Ejected && (s.recheckAt == 0 || end < s.recheckAt) {
			s.recheckAt = end
		}
		s.floorMembers = append(s.floorMembers, floor.Member{
			Capacity:    float64(m.upstream.Weight * m.upstream.Slots),
			Ejected:     m.isEjected(now, brief),
			Severity:    m.severity(now, brief),
			Leaving:     m.state.Leaving || m.leaving,
			Unreachable: m.unreachable || m.state.Down,
		})
	}
	before := append([]floor.Use(nil), s.uses...)
	s.uses = floor.Decide(s.uses[:0], s.config.Floor, s.floorMembers)
	for i, use := range s.uses {
		if use == floor.Forced && (i >= len(before) || before[i] != floor.Forced) {
			s.recordForced(now, s.members[i])
		}
	}
}

func (s *service) recordForced(now clock.Millis, m *member) {
	s.log.WithField("upstream", m.upstream.Name).Warn("kept in use under the floor")
	s.recorder.RecordEvent(access.Event{
		At:       now,
		Kind:     access.ForcedUnderFloor,
		Service:  s.config.Name,
		Upstream: m.upstream.Name,
		Node:     m.upstream.Node,
		Reason:   "floor",
	})
}

// updateUpstream takes in what a gate says of its upstream.
func (s *service) updateUpstream(now clock.Millis, u wire.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byName[u.Name]
	if !ok {
		return
	}
	old := m.state
	m.state, m.updatedAt = u, now
	if old.State != u.State || old.Severity != u.Severity || old.Leaving != u.Leaving || old.Down != u.Down {
		s.dirty = true
	}
}

// updatePath takes in whether a node can be reached from here.
func (s *service) updatePath(node string, isLost bool) {
	s.updateMembers(node, func(m *member) { m.unreachable = isLost })
}

// updateInstance takes in what the instance list says of a node. The list lags, so a
// live link that says leaving stands whatever the list says.
func (s *service) updateInstance(node string, leaving bool) {
	s.updateMembers(node, func(m *member) { m.leaving = leaving })
}

func (s *service) updateMembers(node string, change func(m *member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if m.upstream.Node == node {
			change(m)
			s.dirty = true
		}
	}
}

// endAttempt gives back the place of a dispatch and feeds the retry budget with
// what a gate said, if one did.
func (s *service) endAttempt(now clock.Millis, m *member, o *result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.inFlight--
	if o.reply != nil {
		s.retryBudget.RecordReply(now, o.full)
	}
}

func (s *service) decideRetry(now clock.Millis, a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.Decide(now, a)
}

// spreadRetryAfter lengthens the span until callers who are refused together come back.
func (s *service) spreadRetryAfter(span clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.AddJitter(span)
}

// startRequest counts a request and returns the service as the table has it.
func (s *service) startRequest(now clock.Millis) (table.Service, wire.Baseline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.RecordRequest(now)
	told := s.baseline
	told.Age += now - s.baselineAt
	return s.config, wire.NewBaseline(told)
}
