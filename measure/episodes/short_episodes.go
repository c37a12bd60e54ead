package episodes

import (
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/limit"
)

// upstreamView is what an entry knows of an upstream, as of the time at.
type upstreamView struct {
	probability float64
	load        int
	at          clock.Millis
	// workRequestUntil is when the gate's work request expires.
	workRequestUntil clock.Millis
}

// shortEpisodes simulates entries and gates with the caution "brief".
type shortEpisodes struct {
	sim     *simulation
	filters []*episode.Filter
	trials  []episode.Trials
	levels  []episode.Level
	slots   []*limit.Slots
	waiters map[uint64]waiter
	tickets uint64
	views   [][]upstreamView // by entry
	rankers []*choice.Ranker
	// senders holds, by upstream, the entries that sent it repeatable requests, and
	// workRequests the number of work requests that its gate has sent.
	senders      [][]int
	workRequests []int
	// links holds, by upstream and entry, when the link between them expires.
	links [][]clock.Millis
	// linkCounts holds, by entry, the number of upstreams to which it keeps links
	// open, and offsets the index of the first of these.
	linkCounts []episode.LinkCount
	offsets    []int
}

func newShortEpisodes(sim *simulation) *shortEpisodes {
	s := &shortEpisodes{sim: sim, waiters: map[uint64]waiter{}}
	for i := range sim.config.Upstreams {
		s.filters = append(s.filters, episode.New(0))
		s.trials = append(s.trials, episode.Trials{})
		s.levels = append(s.levels, episode.Healthy)
		s.slots = append(s.slots, limit.NewSlots(limit.SlotsConfig{Slots: sim.config.Slots, Queue: queuePerSlot * sim.config.Slots, Seed: uint64(i)}))
	}
	for e := range sim.config.Entries {
		s.views = append(s.views, make([]upstreamView, sim.config.Upstreams))
		s.rankers = append(s.rankers, choice.NewRanker(sim.config.Seed+uint64(e)))
		s.offsets = append(s.offsets, sim.random.IntN(sim.config.Upstreams))
	}
	s.linkCounts = make([]episode.LinkCount, sim.config.Entries)
	s.senders, s.workRequests = make([][]int, sim.config.Upstreams), make([]int, sim.config.Upstreams)
	for i := range sim.config.Upstreams {
		s.links = append(s.links, make([]clock.Millis, sim.config.Entries))
		sim.after(workRequestInterval, func() { s.requestWork(i) })
	}
	return s
}

// Values of the corresponding constants in package gate.
const (
	hungThreshold       = 0.8
	workRequestInterval = 100 * clock.Millis(1)
	workRequestTTL      = clock.Second
	maxSenders          = 32
	minWorkTargets      = 8
	// linkIdleTimeout is the idle timeout of package link.
	linkIdleTimeout = 30 * clock.Second
)

// Limits on the steps in which a request looks for an upstream, as in package entry, and
// on the queue of a gate, as in package gate.
const (
	maxDirectAttempts = 2
	maxProbedGates    = 3
	maxQueuedGates    = 4
	waitDivisor       = 2
	queuePerSlot      = 3
)

// start takes the next step of a request. A repeatable request is sent directly to up to
// maxDirectAttempts gates, others probe several gates for a free slot. A request that finds
// no slot waits at several gates. After that, a repeatable request is sent to an ejected
// upstream, and all others end.
func (s *shortEpisodes) start(r *request) {
	now := s.sim.now
	if r.kind.Repeatable && r.directAttempts < maxDirectAttempts {
		s.keepWatchedLinks(r.entry)
		if i, ok := s.takeWorkRequest(r); ok {
			s.send(r, i, false)
			return
		}
		if i, ok := s.choose(r, r.tried, false); ok {
			s.send(r, i, false)
			return
		}
	}
	if !r.kind.Repeatable && !r.probed {
		r.probed = true
		if s.probeCandidates(r) {
			return
		}
	}
	if span := s.waitBudget(r, now); !r.waited && span > 0 {
		r.waited = true
		if s.waitAtGates(r, span) {
			return
		}
	}
	if r.kind.Repeatable && !r.forced {
		r.forced = true
		if i, ok := s.choose(r, r.tried, true); ok {
			s.send(r, i, true)
			return
		}
	}
	s.sim.finish(r, false, r.ran == 0)
}

// waitBudget returns how much longer a request may wait for a slot, from 0. Requests of
// priority 0 or 1 may wait for longer than their target.
func (s *shortEpisodes) waitBudget(r *request, now clock.Millis) clock.Millis {
	span := r.kind.Target / waitDivisor
	if r.kind.Priority <= 1 {
		span = min(3*r.kind.Target/2, 3*r.kind.Timeout/5)
	}
	return max(span-(now-r.began), 0)
}

// choose returns the best upstream that is in use or, with ejected, the best of those
// that are ejected. It returns false if there is none.
func (s *shortEpisodes) choose(r *request, tried map[int]bool, ejected bool) (int, bool) {
	now := s.sim.now
	options := make([]choice.Option, len(s.slots))
	for i := range options {
		view := &s.views[r.entry][i]
		probability := episode.Drift(view.probability, now-view.at)
		options[i] = choice.Option{
			Risk: probability, Load: choice.DecayLoad(view.load, now-view.at), Slots: s.sim.config.Slots,
			Near:   s.sim.domain(i) == s.sim.domain(r.entry),
			Usable: (probability >= episode.EjectThreshold) == ejected && !tried[i] && (ejected || !r.full[i]),
		}
	}
	weight := 1.0
	if r.kind.Repeatable && r.ran == 0 && !ejected {
		weight = 0.4
	}
	return s.rankers[r.entry].Choose(options, weight)
}

// takeWorkRequest returns an upstream whose gate has asked the request's entry for work,
// and clears that work request. It returns false if there is none, or if the request was
// run or sent before.
func (s *shortEpisodes) takeWorkRequest(r *request) (int, bool) {
	if r.ran > 0 || r.directAttempts > 0 {
		return 0, false
	}
	for i := range s.views[r.entry] {
		if view := &s.views[r.entry][i]; view.workRequestUntil >= s.sim.now {
			view.workRequestUntil = 0
			return i, true
		}
	}
	return 0, false
}

// requestWork sends a work request to the next entry if the upstream is due for a
// request, and schedules the next check.
func (s *shortEpisodes) requestWork(i int) {
	now := s.sim.now
	if s.trials[i].Due(now, s.filters[i].Probability(now)) {
		s.workRequests[i]++
		if entry, ok := s.nextWorkTarget(i); ok {
			view := &s.views[entry][i]
			s.sim.after(hopDelay, func() { view.workRequestUntil = now + workRequestTTL })
		}
	}
	if now < s.sim.config.Span {
		s.sim.after(workRequestInterval, func() { s.requestWork(i) })
	}
}

// nextWorkTarget returns the linked entry that gets the next work request: a recorded
// sender or, if there are fewer than minWorkTargets, at times another linked entry. It
// returns false if no entry has a link.
func (s *shortEpisodes) nextWorkTarget(i int) (int, bool) {
	s.senders[i] = slices.DeleteFunc(s.senders[i], func(e int) bool { return !s.isLinked(e, i) })
	if turn := s.workRequests[i] % max(len(s.senders[i]), minWorkTargets); turn < len(s.senders[i]) {
		return s.senders[i][turn], true
	}
	for n := range s.links[i] {
		if e := (s.workRequests[i] + n) % len(s.links[i]); s.isLinked(e, i) {
			return e, true
		}
	}
	return 0, false
}

// keepWatchedLinks keeps links open from the entry to some upstreams, which differ from
// entry to entry.
func (s *shortEpisodes) keepWatchedLinks(entry int) {
	count := s.linkCounts[entry].RecordRequest(s.sim.now)
	for n := range min(count, len(s.links)) {
		s.openLink(entry, (s.offsets[entry]+n)%len(s.links))
	}
}

func (s *shortEpisodes) isLinked(entry, i int) bool {
	return s.links[i][entry] > s.sim.now
}

// openLink opens a link, or restarts the idle timeout of an open link.
func (s *shortEpisodes) openLink(entry, i int) {
	s.links[i][entry] = s.sim.now + linkIdleTimeout
}

// recordSender records the entry as a sender if the request is repeatable.
func (s *shortEpisodes) recordSender(r *request, i int) {
	if !r.kind.Repeatable || slices.Contains(s.senders[i], r.entry) {
		return
	}
	s.senders[i] = append(s.senders[i], r.entry)
	if len(s.senders[i]) > maxSenders {
		s.senders[i] = s.senders[i][1:]
	}
}

// send sends the request to a gate, which runs it if the trials admit it and a slot is
// free, and refuses it otherwise. forced skips the trials.
func (s *shortEpisodes) send(r *request, i int, forced bool) {
	s.sim.after(hopDelay, func() {
		now := s.sim.now
		s.openLink(r.entry, i)
		s.recordSender(r, i)
		if !forced && !s.trials[i].Admit(now, s.filters[i].Probability(now), r.kind.Repeatable) {
			r.tried[i] = true
			s.refuse(r, i, false)
			return
		}
		if !s.tryAcquire(r, i) {
			s.refuse(r, i, true)
			return
		}
		r.tried[i] = true
		s.run(r, i)
	})
}

// tryAcquire acquires a slot without queueing and reports whether it did.
func (s *shortEpisodes) tryAcquire(r *request, i int) bool {
	s.tickets++
	now := s.sim.now
	return s.slots[i].Acquire(now, limit.Request{Ticket: s.tickets, Deadline: r.deadline(), Until: now, Priority: r.kind.Priority}).Result == limit.Run
}

// expire declines the waiting requests whose wait has ended.
func (s *shortEpisodes) expire(i int) {
	for _, ticket := range s.slots[i].Expire(s.sim.now) {
		if expired, ok := s.waiters[ticket]; ok {
			delete(s.waiters, ticket)
			s.decline(expired.wait, i)
		}
	}
}

// run runs the request at the upstream and records the result in the filter and the
// trials of its gate.
func (s *shortEpisodes) run(r *request, i int) {
	s.trials[i].RecordStart(s.sim.now)
	run := s.filters[i].Begin(s.sim.now, r.kind.typicalLatency())
	ended := false
	began := s.sim.now
	cancel := s.sim.run(r, i, func(ok bool) {
		ended = true
		result := episode.Failed
		switch {
		case ok:
			result = episode.Good
		case s.sim.now-began > failTime:
			result = episode.Stopped
		}
		s.filters[i].End(s.sim.now, run, result)
		s.trials[i].RecordResult(ok)
		s.release(i)
		s.announceLevel(i)
		s.publish(r.entry, i)
		s.sim.after(hopDelay, func() { s.ended(r, ok) })
	})
	s.checkRun(r, run, i, &ended, cancel)
}

// checkRun checks an unfinished run at intervals. It announces the level of the upstream,
// which the age of the run may have changed, and cancels a run that most likely hangs if
// there is time left to run the request elsewhere.
func (s *shortEpisodes) checkRun(r *request, run *episode.Run, i int, ended *bool, cancel func()) {
	now := s.sim.now
	s.sim.after(s.filters[i].NextCheck(now, run)-now, func() {
		if *ended {
			return
		}
		s.announceLevel(i)
		now := s.sim.now
		if r.kind.Repeatable && r.ran < 2 && r.deadline()-now > r.kind.typicalLatency().Median && s.filters[i].HangProbability(now, run) >= hungThreshold {
			cancel()
			return
		}
		s.checkRun(r, run, i, ended, cancel)
	})
}

// typicalLatency returns the latency profile that an entry would learn from many runs of
// the kind.
func (k *Kind) typicalLatency() episode.TypicalLatency {
	return episode.TypicalLatency{Median: clock.Millis(float64(k.Work) * math.Exp(-k.Spread*k.Spread/2)), Spread: k.Spread}
}

// ended retries a repeatable request once after a failed run, and otherwise finishes the
// request.
func (s *shortEpisodes) ended(r *request, ok bool) {
	if !ok && r.kind.Repeatable && r.ran < 2 {
		r.directAttempts, r.waited, r.full = 0, false, map[int]bool{}
		s.start(r)
		return
	}
	s.sim.finish(r, ok, false)
}

// refuse sends a refusal to the entry, which takes the next step of the request. full
// says that the gate had no free slot.
func (s *shortEpisodes) refuse(r *request, i int, full bool) {
	s.publish(r.entry, i)
	s.sim.after(hopDelay, func() {
		if full {
			r.directAttempts++
			r.full[i] = true
		}
		s.start(r)
	})
}

// announceLevel publishes the state of an upstream to all linked entries if its level has
// changed enough.
func (s *shortEpisodes) announceLevel(i int) {
	before := s.levels[i]
	s.levels[i] = episode.LevelOf(s.filters[i].Probability(s.sim.now))
	if !episode.ShouldAnnounce(before, s.levels[i]) {
		return
	}
	for e := range s.views {
		if s.isLinked(e, i) {
			s.publish(e, i)
		}
	}
}

// publish sends the current state of an upstream to one entry.
func (s *shortEpisodes) publish(entry, i int) {
	now := s.sim.now
	load := s.slots[i].Load(now)
	view := upstreamView{probability: s.filters[i].Probability(now), load: load.InFlight + load.Waiting, at: now}
	s.sim.after(hopDelay, func() {
		current := &s.views[entry][i]
		view.workRequestUntil = current.workRequestUntil
		*current = view
	})
}
