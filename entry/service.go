package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

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

// baselineInterval is how often the median over a service's gates is recomputed. It is
// short compared to the seconds in which a common fault spreads, and long compared to the
// time between requests.
const baselineInterval = clock.Millis(200)

// service is the state of one service as this entry sees it.
type service struct {
	log      logrus.FieldLogger
	recorder Recorder

	seed               uint64
	watchOffset        int // index of the first watched member
	mu                 sync.Mutex
	config             table.Service
	members            []*member
	byName             map[string]*member
	announced          map[process]*announced
	senders            int // nodes that may send to the service's upstreams
	random             *rand.Rand
	chooser            *choice.Chooser
	ranker             *choice.Ranker
	options            []choice.Option
	domain             string
	retryBudget        *retry.Budget
	baseline           health.Baseline
	lowestFailureShare float64 // lowest failure rate among the upstreams in the baseline
	baselineAt         clock.Millis
	dirty              bool
	recheckAt          clock.Millis // when an ejection ends or a gate is to be checked again; 0 for never
	uses               []floor.Use
	forced             map[*member]floor.Lasting // upstreams that the floor keeps in use, for the log
	shed               map[*member]shedShare
	stops              map[*member]nodeStop // gates that refuse requests because their nodes stop
	// overflow is nil unless the service is placed by cost.
	overflow *choice.Overflow
	// capacities holds the members whose gates have sent a profile.
	capacities map[*member]upstreamCapacity
	linkCount  episode.LinkCount
	membership *resend.Membership
	nodes      map[string]GateClient // clients for the nodes in membership
	shares     *accountShares        // has its own lock

	candidates   []choice.Candidate
	floorMembers []floor.Member
	baselines    []health.Baseline
}

func newService(c table.Service, domain string, seed uint64, recorder Recorder, log logrus.FieldLogger) *service {
	return &service{
		log:                log.WithField("service", c.Name),
		recorder:           recorder,
		seed:               seed,
		config:             c,
		byName:             map[string]*member{},
		announced:          map[process]*announced{},
		stops:              map[*member]nodeStop{},
		random:             rand.New(rand.NewPCG(seed, 1)),
		chooser:            choice.New(choice.Config{Domain: domain, Seed: seed}),
		ranker:             choice.NewRanker(seed),
		domain:             domain,
		lowestFailureShare: 1,
		retryBudget:        retry.New(retryConfig(c, seed)),
		dirty:              true,
		membership:         resend.NewMembership(resend.Retention),
		nodes:              map[string]GateClient{},
		shares:             newAccountShares(),
	}
}

func retryConfig(c table.Service, seed uint64) retry.Config {
	return retry.Config{Share: c.RetryRatio, GateQuotas: c.RetryWindow > 0, Seed: seed}
}

// update applies a table. The state of upstreams that stay in the table is kept; an
// upstream that was restarted under its name counts as a new one.
func (s *service) update(now clock.Millis, c table.Service, senders int, gateClient func(u table.Upstream) GateClient) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.RetryWindow != s.config.RetryWindow || c.RetryRatio != s.config.RetryRatio {
		s.retryBudget = retry.New(retryConfig(c, s.seed))
	}
	s.config, s.senders = c, senders
	old := s.byName
	s.byName = make(map[string]*member, len(c.Upstreams))
	s.members = make([]*member, 0, len(c.Upstreams))
	for _, u := range c.Upstreams {
		m, ok := old[u.Name]
		if !ok || m.upstream.Node != u.Node || m.upstream.Started != u.Started {
			m = &member{gate: gateClient(u), state: wire.Upstream{Share: 1}}
		}
		m.upstream = u
		m.announced = s.announced[m.process()]
		s.members = append(s.members, m)
		s.byName[u.Name] = m
	}
	maps.DeleteFunc(s.forced, func(m *member, _ floor.Lasting) bool { return s.byName[m.upstream.Name] != m })
	maps.DeleteFunc(s.stops, func(m *member, _ nodeStop) bool { return s.byName[m.upstream.Name] != m })
	maps.DeleteFunc(s.shed, func(m *member, _ shedShare) bool { return s.byName[m.upstream.Name] != m })
	s.pruneAnnouncements(now)
	s.pruneCapacities()
	s.watchOffset = int(s.seed % uint64(max(len(s.members), 1)))
	s.dirty = true
}

// attempt is one attempt to send a request to a chosen upstream.
type attempt struct {
	member *member
	// upstream is the table's entry at the time of the choice; a table update may follow.
	upstream table.Upstream
	forced   bool
	// number identifies the attempt to its gate; 0 until it is assigned.
	number uint8
	// noWait means that the request doesn't wait if no slot is free, isReserved that a
	// slot is reserved for it.
	noWait, isReserved bool
	// verdict is the request's quarantine verdict to send to the gate.
	verdict quarantine.Verdict
	// severity is the upstream's estimated severity at the time of the choice, based on
	// the update received at updatedAt.
	severity  float64
	updatedAt clock.Millis
}

// choose picks the upstream for the next attempt. The untried result is how many other
// usable upstreams have not been tried.
func (s *service) choose(now clock.Millis, d demand, tried []*member) (a attempt, untried int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	s.candidates = s.candidates[:0]
	for i, m := range s.members {
		usable := s.usable(now, i, d) && !m.isExcludedByPace(now, len(tried))
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
	if m.upstream.Domain != s.domain {
		s.logPassedOver(now, m, tried)
	}
	m.inFlight++
	return s.newAttempt(now, i), untried - 1, true
}

// countUntried returns how many upstreams the request may still be sent to.
func (s *service) countUntried(now clock.Millis, d demand, tried []*member) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	count := 0
	for i, m := range s.members {
		if s.usable(now, i, d) && !m.isExcludedByPace(now, len(tried)) && !slices.Contains(tried, m) {
			count++
		}
	}
	return count
}

// isForced reports whether the floor keeps an upstream in use despite its verdict.
func (s *service) isForced(now clock.Millis, m *member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	i := slices.Index(s.members, m)
	return i >= 0 && s.uses[i] == floor.Forced
}

// usable reports whether a request may go to an upstream. An upstream on trial gets
// repeatable requests only: if it still fails, another upstream can serve them.
func (s *service) usable(now clock.Millis, i int, d demand) bool {
	if !s.isWithinShare(now, s.members[i]) || s.stops[s.members[i]].refuses(now, d) {
		return false
	}
	switch s.uses[i] {
	case floor.Normal, floor.Forced:
		return true
	case floor.Ejected:
		return d.repeatable && s.members[i].verdict(now) == health.Trial
	default:
		return false
	}
}

// refresh updates the floor and the baseline if they may have changed. The caller holds
// s.mu.
func (s *service) refresh(now clock.Millis) {
	if s.config.Caution == table.ShortEpisodes {
		s.applyFloor(now) // severities drift between updates
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
	// watchedUpstreams is how many upstreams of a service an entry keeps links to while
	// it has requests for the service. Otherwise an entry whose requests all stay in its
	// own failure domain would know the state of that domain alone, and take a fault of
	// the domain for the service's baseline.
	watchedUpstreams = 8
	// viewWindow is the maximum age of an update from an unwatched upstream that counts
	// towards the baseline.
	viewWindow = 10 * clock.Second
)

// updateBaseline computes the service's baseline from the watched and recently updated
// upstreams.
func (s *service) updateBaseline(now clock.Millis) {
	s.baselines = s.baselines[:0]
	s.keepWatchedLinks(now, watchedUpstreams)
	for i, m := range s.members {
		if s.isWatched(i, watchedUpstreams) || now-m.updatedAt < viewWindow {
			baseline := m.state.Local.ToHealth()
			baseline.Age += now - m.updatedAt
			s.baselines = append(s.baselines, baseline)
		}
	}
	s.baseline = health.Median(s.baselines)
	s.lowestFailureShare = 1
	for _, baseline := range s.baselines {
		if baseline.Known {
			s.lowestFailureShare = min(s.lowestFailureShare, baseline.Failed)
		}
	}
}

// isWatched reports whether member i is among the count members that this entry keeps
// links to. Which members these are differs between entries.
func (s *service) isWatched(i, count int) bool {
	return (i+s.watchOffset)%len(s.members) < count
}

// keepWatchedLinks requests links to the watched upstreams that have sent no recent
// update.
func (s *service) keepWatchedLinks(now clock.Millis, count int) {
	for i, m := range s.members {
		if s.isWatched(i, count) && now-m.updatedAt >= watchInterval {
			m.gate.EnsureLink()
		}
	}
}

// watchInterval is the age of an upstream's last update, two heartbeats, from which its
// link is requested.
const watchInterval = clock.Second

func (s *service) applyFloor(now clock.Millis) {
	s.floorMembers = s.floorMembers[:0]
	s.recheckAt = 0
	shortEpisodes := s.config.Caution == table.ShortEpisodes
	for _, m := range s.members {
		if end := m.updatedAt + m.state.Until; m.verdict(now) == health.Ejected && (s.recheckAt == 0 || end < s.recheckAt) {
			s.recheckAt = end
		}
		if m.isLeavingUnconfirmed(now) {
			m.gate.EnsureLink()
			s.recheckAt = now + gateRecheckInterval
		}
		s.floorMembers = append(s.floorMembers, floor.Member{
			Capacity:    float64(m.upstream.Weight * m.upstream.Slots),
			Ejected:     m.isEjected(now, shortEpisodes),
			Severity:    m.severity(now, shortEpisodes),
			Leaving:     m.isLeaving(now),
			Unreachable: m.unreachable || m.state.Down,
		})
	}
	s.uses = floor.Decide(s.uses[:0], s.config.Floor, s.floorMembers)
	s.trackForced(now)
}

// updateUpstream records the state that a gate reports of its upstream.
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

// updatePath records whether the path from here to a node is lost.
func (s *service) updatePath(node string, isLost bool) {
	s.updateMembers(node, func(m *member) { m.unreachable = isLost })
}

// updateInstance records whether the instance list marks a node as leaving. The list
// lags, so a gate's own report that it is leaving counts regardless of the list.
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

// maxPacedSpan bounds how long an upstream counts as full after its rate limit has refused a
// request: the limit may end meanwhile.
const maxPacedSpan = 2 * clock.Second

// endAttempt ends an attempt. If the gate replied, it also records in the retry budget
// whether the gate refused for load.
func (s *service) endAttempt(now clock.Millis, m *member, o *result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.inFlight--
	if o.isPaced {
		m.pacedUntil = now + min(o.retryAfter, maxPacedSpan)
	}
	if o.reply != nil {
		s.retryBudget.RecordReply(now, o.refusedForLoad())
	}
}

func (s *service) decideRetry(now clock.Millis, a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.Decide(now, a)
}

// spreadRetryAfter adds jitter to the time after which a refused caller may retry.
func (s *service) spreadRetryAfter(span clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.AddJitter(span)
}

// startRequest counts a request towards the retry budget. It returns the service's
// configuration and its baseline, aged to now.
func (s *service) startRequest(now clock.Millis) (table.Service, wire.Baseline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.RecordRequest(now)
	baseline := s.baseline
	baseline.Age += now - s.baselineAt
	return s.config, wire.NewBaseline(baseline)
}
