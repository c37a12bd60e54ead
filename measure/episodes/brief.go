package episodes

import (
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/grade"
	"fuchsiapick.example/fuchsiapick/limit"
)

// heard is what an entry knows of an upstream.
type heard struct {
	probability float64
	load        int
	at          clock.Millis
	// invited is until when the gate's wish for a request stands.
	invited clock.Millis
}

// brief plays entries and gates at caution brief.
type brief struct {
	world   *world
	filters []*grade.Filter
	trials  []grade.Trials
	levels  []grade.Level
	slots   []*limit.Slots
	places  map[uint64]place
	tickets uint64
	views   [][]heard // by entry
	rankers []*choice.Ranker
	// senders are, by upstream, the entries that sent it what may be repeated, and
	// turns the invitations that they got.
	senders [][]int
	turns   []int
	// links are, by upstream and entry, until when the entry's link to it stands.
	links [][]clock.Millis
	// reach says, by entry, to how many upstreams it keeps links, offsets from which on.
	reach   []grade.Reach
	offsets []int
}

func newBrief(w *world) *brief {
	b := &brief{world: w, places: map[uint64]place{}}
	for i := range w.config.Upstreams {
		b.filters = append(b.filters, grade.New(0))
		b.trials = append(b.trials, grade.Trials{})
		b.levels = append(b.levels, grade.Sound)
		b.slots = append(b.slots, limit.NewSlots(limit.SlotsConfig{Slots: w.config.Slots, Queue: placesPerSlot * w.config.Slots, Seed: uint64(i)}))
	}
	for e := range w.config.Entries {
		b.views = append(b.views, make([]heard, w.config.Upstreams))
		b.rankers = append(b.rankers, choice.NewRanker(w.config.Seed+uint64(e)))
		b.offsets = append(b.offsets, w.random.IntN(w.config.Upstreams))
	}
	b.reach = make([]grade.Reach, w.config.Entries)
	b.senders, b.turns = make([][]int, w.config.Upstreams), make([]int, w.config.Upstreams)
	for i := range w.config.Upstreams {
		b.links = append(b.links, make([]clock.Millis, w.config.Entries))
		w.after(inviteEvery, func() { b.invite(i) })
	}
	return b
}

// Figures of package gate.
const (
	stalledAt    = 0.8
	inviteEvery  = 100 * clock.Millis(1)
	inviteFor    = clock.Second
	mostSenders  = 32
	leastInvited = 8
	// idleAfter is that of package link.
	idleAfter = 30 * clock.Second
)

// Steps of a request's search, as in package entry, and figures of package gate.
const (
	mostAsks      = 2
	mostSurveyed  = 3
	mostPlaces    = 4
	patience      = 2
	placesPerSlot = 3
)

func (b *brief) start(r *request) {
	now := b.world.now
	if r.kind.Repeatable && r.asks < mostAsks {
		b.keepInView(r.entry)
		if i, ok := b.invitation(r); ok {
			b.send(r, i, false)
			return
		}
		if i, ok := b.choose(r, r.tried, false); ok {
			b.send(r, i, false)
			return
		}
	}
	if !r.kind.Repeatable && !r.surveyed {
		r.surveyed = true
		if b.survey(r) {
			return
		}
	}
	if span := b.patience(r, now); !r.waited && span > 0 {
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

func (b *brief) patience(r *request, now clock.Millis) clock.Millis {
	span := r.kind.Target / patience
	if r.kind.Priority <= 1 {
		span = min(3*r.kind.Target/2, 3*r.kind.Timeout/5)
	}
	return max(span-(now-r.began), 0)
}

// choose ranks the upstreams in use, or those that were set aside.
func (b *brief) choose(r *request, tried map[int]bool, aside bool) (int, bool) {
	now := b.world.now
	options := make([]choice.Option, len(b.slots))
	for i := range options {
		h := &b.views[r.entry][i]
		p := grade.Drift(h.probability, now-h.at)
		options[i] = choice.Option{
			Risk: p, Load: choice.Fade(h.load, now-h.at), Slots: b.world.config.Slots,
			Near:   b.world.domain(i) == b.world.domain(r.entry),
			Usable: (p >= grade.Aside) == aside && !tried[i] && (aside || !r.full[i]),
		}
	}
	weight := 1.0
	if r.kind.Repeatable && r.ran == 0 && !aside {
		weight = 0.4
	}
	return b.rankers[r.entry].Choose(options, weight)
}

// invitation returns an upstream whose gate asked the request's entry for one.
func (b *brief) invitation(r *request) (int, bool) {
	if r.ran > 0 || r.asks > 0 {
		return 0, false
	}
	for i := range b.views[r.entry] {
		if h := &b.views[r.entry][i]; h.invited >= b.world.now {
			h.invited = 0
			return i, true
		}
	}
	return 0, false
}

// invite asks one entry after the other while an upstream wants a request.
func (b *brief) invite(i int) {
	now := b.world.now
	if b.trials[i].Due(now, b.filters[i].Probability(now)) {
		b.turns[i]++
		if entry, ok := b.guest(i); ok {
			h := &b.views[entry][i]
			b.world.after(hop, func() { h.invited = now + inviteFor })
		}
	}
	if now < b.world.config.Span {
		b.world.after(inviteEvery, func() { b.invite(i) })
	}
}

// guest is the entry whose turn it is to be invited: one with a link.
func (b *brief) guest(i int) (int, bool) {
	b.senders[i] = slices.DeleteFunc(b.senders[i], func(e int) bool { return !b.isLinked(e, i) })
	if turn := b.turns[i] % max(len(b.senders[i]), leastInvited); turn < len(b.senders[i]) {
		return b.senders[i][turn], true
	}
	for n := range b.links[i] {
		if e := (b.turns[i] + n) % len(b.links[i]); b.isLinked(e, i) {
			return e, true
		}
	}
	return 0, false
}

// keepInView keeps links to some upstreams, others for each entry.
func (b *brief) keepInView(entry int) {
	few := b.reach[entry].Asked(b.world.now)
	for n := range min(few, len(b.links)) {
		b.contact(entry, (b.offsets[entry]+n)%len(b.links))
	}
}

func (b *brief) isLinked(entry, i int) bool {
	return b.links[i][entry] > b.world.now
}

// contact opens a link, or keeps it.
func (b *brief) contact(entry, i int) {
	b.links[i][entry] = b.world.now + idleAfter
}

// noteSender remembers who sends what may be repeated.
func (b *brief) noteSender(r *request, i int) {
	if !r.kind.Repeatable || slices.Contains(b.senders[i], r.entry) {
		return
	}
	b.senders[i] = append(b.senders[i], r.entry)
	if len(b.senders[i]) > mostSenders {
		b.senders[i] = b.senders[i][1:]
	}
}

// send brings the request to a gate in the hope of a free slot.
func (b *brief) send(r *request, i int, forced bool) {
	b.world.after(hop, func() {
		now := b.world.now
		b.contact(r.entry, i)
		b.noteSender(r, i)
		if !forced && !b.trials[i].Admit(now, b.filters[i].Probability(now), r.kind.Repeatable) {
			r.tried[i] = true
			b.refuse(r, i, false)
			return
		}
		if !b.free(r, i) {
			b.refuse(r, i, true)
			return
		}
		r.tried[i] = true
		b.run(r, i)
	})
}

// free takes a free slot.
func (b *brief) free(r *request, i int) bool {
	b.tickets++
	now := b.world.now
	return b.slots[i].Ask(now, limit.Ask{Ticket: b.tickets, Deadline: r.deadline(), Until: now, Priority: r.kind.Priority}).Answer == limit.Run
}

func (b *brief) expire(i int) {
	for _, ticket := range b.slots[i].Expire(b.world.now) {
		if p, ok := b.places[ticket]; ok {
			delete(b.places, ticket)
			b.decline(p.line, i)
		}
	}
}

func (b *brief) run(r *request, i int) {
	b.trials[i].Began(b.world.now)
	run := b.filters[i].Begin(b.world.now, r.kind.usual())
	ended := false
	began := b.world.now
	giveUp := b.world.run(r, i, func(ok bool) {
		ended = true
		result := grade.Failed
		switch {
		case ok:
			result = grade.Good
		case b.world.now-began > failTime:
			result = grade.Stopped
		}
		b.filters[i].End(b.world.now, run, result)
		b.trials[i].Ended(ok)
		b.release(i)
		b.news(i)
		b.tell(r.entry, i)
		b.world.after(hop, func() { b.ended(r, ok) })
	})
	b.look(r, run, i, &ended, giveUp)
}

// look tells of a run that has come to no end, and gives up one that most likely never will
// while there is time elsewhere.
func (b *brief) look(r *request, run *grade.Run, i int, ended *bool, giveUp func()) {
	now := b.world.now
	b.world.after(b.filters[i].Look(now, run)-now, func() {
		if *ended {
			return
		}
		b.news(i)
		now := b.world.now
		if r.kind.Repeatable && r.ran < 2 && r.deadline()-now > r.kind.usual().Median && b.filters[i].Hangs(now, run) >= stalledAt {
			giveUp()
			return
		}
		b.look(r, run, i, ended, giveUp)
	})
}

// usual is how long its runs take, as an entry that has seen many knows it.
func (k *Kind) usual() grade.Usual {
	return grade.Usual{Median: clock.Millis(float64(k.Work) * math.Exp(-k.Spread*k.Spread/2)), Spread: k.Spread}
}

func (b *brief) ended(r *request, ok bool) {
	if !ok && r.kind.Repeatable && r.ran < 2 {
		r.asks, r.waited, r.full = 0, false, map[int]bool{}
		b.start(r)
		return
	}
	b.world.finish(r, ok, false)
}

func (b *brief) refuse(r *request, i int, full bool) {
	b.tell(r.entry, i)
	b.world.after(hop, func() {
		if full {
			r.asks++
			r.full[i] = true
		}
		b.start(r)
	})
}

// news tells all entries of a changed level.
func (b *brief) news(i int) {
	before := b.levels[i]
	b.levels[i] = grade.LevelOf(b.filters[i].Probability(b.world.now))
	if !grade.IsNews(before, b.levels[i]) {
		return
	}
	for e := range b.views {
		if b.isLinked(e, i) {
			b.tell(e, i)
		}
	}
}

func (b *brief) tell(entry, i int) {
	now := b.world.now
	load := b.slots[i].Load()
	told := heard{probability: b.filters[i].Probability(now), load: load.InFlight + load.Waiting, at: now}
	b.world.after(hop, func() {
		h := &b.views[entry][i]
		told.invited = h.invited
		*h = told
	})
}
