package episodes

import (
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/limit"
)

// upstreamView is what an entry knows of an upstream.
type upstreamView struct {
	probability float64
	load        int
	at          clock.Millis
	// workRequestUntil is until when the gate's wish for a request stands.
	workRequestUntil clock.Millis
}

// shortEpisodes plays entries and gates at caution brief.
type shortEpisodes struct {
	world   *world
	filters []*episode.Filter
	trials  []episode.Trials
	levels  []episode.Level
	slots   []*limit.Slots
	waiters map[uint64]waiter
	tickets uint64
	views   [][]upstreamView // by entry
	rankers []*choice.Ranker
	// senders are, by upstream, the entries that sent it what may be repeated, and
	// turns the invitations that they got.
	senders      [][]int
	workRequests []int
	// links are, by upstream and entry, until when the entry's link to it stands.
	links [][]clock.Millis
	// linkCounts says, by entry, to how many upstreams it keeps links, offsets from which on.
	linkCounts []episode.LinkCount
	offsets    []int
}

func newShortEpisodes(w *world) *shortEpisodes {
	b := &shortEpisodes{world: w, waiters: map[uint64]waiter{}}
	for i := range w.config.Upstreams {
		b.filters = append(b.filters, episode.New(0))
		b.trials = append(b.trials, episode.Trials{})
		b.levels = append(b.levels, episode.Healthy)
		b.slots = append(b.slots, limit.NewSlots(limit.SlotsConfig{Slots: w.config.Slots, Queue: queuePerSlot * w.config.Slots, Seed: uint64(i)}))
	}
	for e := range w.config.Entries {
		b.views = append(b.views, make([]upstreamView, w.config.Upstreams))
		b.rankers = append(b.rankers, choice.NewRanker(w.config.Seed+uint64(e)))
		b.offsets = append(b.offsets, w.random.IntN(w.config.Upstreams))
	}
	b.linkCounts = make([]episode.LinkCount, w.config.Entries)
	b.senders, b.workRequests = make([][]int, w.config.Upstreams), make([]int, w.config.Upstreams)
	for i := range w.config.Upstreams {
		b.links = append(b.links, make([]clock.Millis, w.config.Entries))
		w.after(workRequestInterval, func() { b.requestWork(i) })
	}
	return b
}

// Figures of package gate.
const (
	hungThreshold       = 0.8
	workRequestInterval = 100 * clock.Millis(1)
	workRequestTTL      = clock.Second
	maxSenders          = 32
	minWorkTargets      = 8
	// linkIdleTimeout is that of package link.
	linkIdleTimeout = 30 * clock.Second
)

// Steps of a request's search, as in package entry, and figures of package gate.
const (
	maxDirectAttempts = 2
	maxProbedGates    = 3
	maxQueuedGates    = 4
	waitDivisor       = 2
	queuePerSlot      = 3
)

func (b *shortEpisodes) start(r *request) {
	now := b.world.now
	if r.kind.Repeatable && r.directAttempts < maxDirectAttempts {
		b.keepWatchedLinks(r.entry)
		if i, ok := b.takeWorkRequest(r); ok {
			b.send(r, i, false)
			return
		}
		if i, ok := b.choose(r, r.tried, false); ok {
			b.send(r, i, false)
			return
		}
	}
	if !r.kind.Repeatable && !r.probed {
		r.probed = true
		if b.probeCandidates(r) {
			return
		}
	}
	if span := b.waitBudget(r, now); !r.waited && span > 0 {
		r.waited = true
		if b.wait(r, span) {
			return
		}
	}
	if r.kind.Repeatable && !r.forced {
		r.forced = true
		if i, ok := b.choose(r, r.tried, true); ok {
			b.send(r, i, true)
			return
		}
	}
	b.world.finish(r, false, r.ran == 0)
}

func (b *shortEpisodes) waitBudget(r *request, now clock.Millis) clock.Millis {
	span := r.kind.Target / waitDivisor
	if r.kind.Priority <= 1 {
		span = min(3*r.kind.Target/2, 3*r.kind.Timeout/5)
	}
	return max(span-(now-r.began), 0)
}

// choose ranks the upstreams in use, or those that were set aside.
func (b *shortEpisodes) choose(r *request, tried map[int]bool, aside bool) (int, bool) {
	now := b.world.now
	options := make([]choice.Option, len(b.slots))
	for i := range options {
		h := &b.views[r.entry][i]
		p := episode.Drift(h.probability, now-h.at)
		options[i] = choice.Option{
			Risk: p, Load: choice.DecayLoad(h.load, now-h.at), Slots: b.world.config.Slots,
			Near:   b.world.domain(i) == b.world.domain(r.entry),
			Usable: (p >= episode.EjectThreshold) == aside && !tried[i] && (aside || !r.full[i]),
		}
	}
	weight := 1.0
	if r.kind.Repeatable && r.ran == 0 && !aside {
		weight = 0.4
	}
	return b.rankers[r.entry].Choose(options, weight)
}

// takeWorkRequest returns an upstream whose gate asked the request's entry for one.
func (b *shortEpisodes) takeWorkRequest(r *request) (int, bool) {
	if r.ran > 0 || r.directAttempts > 0 {
		return 0, false
	}
	for i := range b.views[r.entry] {
		if h := &b.views[r.entry][i]; h.workRequestUntil >= b.world.now {
			h.workRequestUntil = 0
			return i, true
		}
	}
	return 0, false
}

// requestWork asks one entry after the other while an upstream wants a request.
func (b *shortEpisodes) requestWork(i int) {
	now := b.world.now
	if b.trials[i].Due(now, b.filters[i].Probability(now)) {
		b.workRequests[i]++
		if entry, ok := b.nextWorkTarget(i); ok {
			h := &b.views[entry][i]
			b.world.after(hop, func() { h.workRequestUntil = now + workRequestTTL })
		}
	}
	if now < b.world.config.Span {
		b.world.after(workRequestInterval, func() { b.requestWork(i) })
	}
}

// nextWorkTarget is the entry whose turn it is to be invited: one with a link.
func (b *shortEpisodes) nextWorkTarget(i int) (int, bool) {
	b.senders[i] = slices.DeleteFunc(b.senders[i], func(e int) bool { return !b.isLinked(e, i) })
	if turn := b.workRequests[i] % max(len(b.senders[i]), minWorkTargets); turn < len(b.senders[i]) {
		return b.senders[i][turn], true
	}
	for n := range b.links[i] {
		if e := (b.workRequests[i] + n) % len(b.links[i]); b.isLinked(e, i) {
			return e, true
		}
	}
	return 0, false
}

// keepWatchedLinks keeps links to some upstreams, others for each entry.
func (b *shortEpisodes) keepWatchedLinks(entry int) {
	few := b.linkCounts[entry].RecordRequest(b.world.now)
	for n := range min(few, len(b.links)) {
		b.openLink(entry, (b.offsets[entry]+n)%len(b.links))
	}
}

func (b *shortEpisodes) isLinked(entry, i int) bool {
	return b.links[i][entry] > b.world.now
}

// openLink opens a link, or keeps it.
func (b *shortEpisodes) openLink(entry, i int) {
	b.links[i][entry] = b.world.now + linkIdleTimeout
}

// recordSender remembers who sends what may be repeated.
func (b *shortEpisodes) recordSender(r *request, i int) {
	if !r.kind.Repeatable || slices.Contains(b.senders[i], r.entry) {
		return
	}
	b.senders[i] = append(b.senders[i], r.entry)
	if len(b.senders[i]) > maxSenders {
		b.senders[i] = b.senders[i][1:]
	}
}

// send brings the request to a gate in the hope of a free slot.
func (b *shortEpisodes) send(r *request, i int, forced bool) {
	b.world.after(hop, func() {
		now := b.world.now
		b.openLink(r.entry, i)
		b.recordSender(r, i)
		if !forced && !b.trials[i].Admit(now, b.filters[i].Probability(now), r.kind.Repeatable) {
			r.tried[i] = true
			b.refuse(r, i, false)
			return
		}
		if !b.tryAcquire(r, i) {
			b.refuse(r, i, true)
			return
		}
		r.tried[i] = true
		b.run(r, i)
	})
}

// tryAcquire takes a free slot.
func (b *shortEpisodes) tryAcquire(r *request, i int) bool {
	b.tickets++
	now := b.world.now
	return b.slots[i].Acquire(now, limit.Request{Ticket: b.tickets, Deadline: r.deadline(), Until: now, Priority: r.kind.Priority}).Result == limit.Run
}

func (b *shortEpisodes) expire(i int) {
	for _, ticket := range b.slots[i].Expire(b.world.now) {
		if p, ok := b.waiters[ticket]; ok {
			delete(b.waiters, ticket)
			b.decline(p.wait, i)
		}
	}
}

func (b *shortEpisodes) run(r *request, i int) {
	b.trials[i].RecordStart(b.world.now)
	run := b.filters[i].Begin(b.world.now, r.kind.typicalLatency())
	ended := false
	began := b.world.now
	giveUp := b.world.run(r, i, func(ok bool) {
		ended = true
		result := episode.Failed
		switch {
		case ok:
			result = episode.Good
		case b.world.now-began > failTime:
			result = episode.Stopped
		}
		b.filters[i].End(b.world.now, run, result)
		b.trials[i].RecordResult(ok)
		b.release(i)
		b.announceLevel(i)
		b.publish(r.entry, i)
		b.world.after(hop, func() { b.ended(r, ok) })
	})
	b.checkRun(r, run, i, &ended, giveUp)
}

// checkRun tells of a run that has come to no end, and gives up one that most likely never will
// while there is time elsewhere.
func (b *shortEpisodes) checkRun(r *request, run *episode.Run, i int, ended *bool, giveUp func()) {
	now := b.world.now
	b.world.after(b.filters[i].NextCheck(now, run)-now, func() {
		if *ended {
			return
		}
		b.announceLevel(i)
		now := b.world.now
		if r.kind.Repeatable && r.ran < 2 && r.deadline()-now > r.kind.typicalLatency().Median && b.filters[i].HangProbability(now, run) >= hungThreshold {
			giveUp()
			return
		}
		b.checkRun(r, run, i, ended, giveUp)
	})
}

// typicalLatency is how long its runs take, as an entry that has seen many knows it.
func (k *Kind) typicalLatency() episode.TypicalLatency {
	return episode.TypicalLatency{Median: clock.Millis(float64(k.Work) * math.Exp(-k.Spread*k.Spread/2)), Spread: k.Spread}
}

func (b *shortEpisodes) ended(r *request, ok bool) {
	if !ok && r.kind.Repeatable && r.ran < 2 {
		r.directAttempts, r.waited, r.full = 0, false, map[int]bool{}
		b.start(r)
		return
	}
	b.world.finish(r, ok, false)
}

func (b *shortEpisodes) refuse(r *request, i int, full bool) {
	b.publish(r.entry, i)
	b.world.after(hop, func() {
		if full {
			r.directAttempts++
			r.full[i] = true
		}
		b.start(r)
	})
}

// announceLevel tells all entries of a changed level.
func (b *shortEpisodes) announceLevel(i int) {
	before := b.levels[i]
	b.levels[i] = episode.LevelOf(b.filters[i].Probability(b.world.now))
	if !episode.ShouldAnnounce(before, b.levels[i]) {
		return
	}
	for e := range b.views {
		if b.isLinked(e, i) {
			b.publish(e, i)
		}
	}
}

func (b *shortEpisodes) publish(entry, i int) {
	now := b.world.now
	load := b.slots[i].Load()
	told := upstreamView{probability: b.filters[i].Probability(now), load: load.InFlight + load.Waiting, at: now}
	b.world.after(hop, func() {
		h := &b.views[entry][i]
		told.workRequestUntil = h.workRequestUntil
		*h = told
	})
}
