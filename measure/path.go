package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// verdictFor returns the verdict that decides about the request.
func (r *run) verdictFor(e, u int) Verdict {
	if r.rule.AtEntry {
		return r.entries[e].verdicts[u]
	}
	return r.upstreams[u].gate
}

// pick chooses the less loaded of two upstreams that may be given the
// request, each taken with the share that its status allows.
func (r *run) pick(q request) (int, bool) {
	best := -1
	for range 2 {
		i, ok := r.draw(q)
		if ok && (best < 0 || r.load(i) < r.load(best)) {
			best = i
		}
	}
	return best, best >= 0 && r.verdictFor(q.entry, best).Admit(r.now, q.repeatable)
}

func (r *run) load(i int) int {
	return r.upstreams[i].busy + len(r.upstreams[i].waiting)
}

func (r *run) draw(q request) (int, bool) {
	for range 4 * r.size.Upstreams {
		i := r.random.IntN(r.size.Upstreams)
		status := r.verdictFor(q.entry, i).Status(r.now)
		switch status.State {
		case health.Aside:
			continue
		case health.Trial:
			if q.repeatable {
				return i, true
			}
		default:
			if r.random.Float64() < status.Share {
				return i, true
			}
		}
	}
	return 0, false
}

// give brings a request to its gate, which queues it or refuses it when the
// queue is full.
func (r *run) give(q request) {
	u := r.upstreams[q.upstream]
	if r.rule.Learns {
		u.gate.SetBaseline(r.entries[q.entry].baseline(r.now))
	}
	if u.spell.active(r.now) && u.spell.detected {
		r.figures.Given++
	}
	switch {
	case u.busy < r.size.Slots:
		r.begin(q)
	case len(u.waiting) < queueFactor*r.size.Slots:
		u.waiting = append(u.waiting, q)
	default:
		r.reply(q)
	}
}

// begin has the upstream work on a request.
func (r *run) begin(q request) {
	u := r.upstreams[q.upstream]
	u.busy++
	q.sent = r.now
	var latency clock.Millis
	q.result, latency = u.answer(r.now, r.size, r.surging(), r.random)
	if q.caller == "poison" {
		q.result = health.Failed
	}
	limit := r.verdictFor(q.entry, q.upstream).OverdueAfter()
	q.until = r.now + latency
	if latency > limit {
		q.silent = true
		r.queue.add(event{at: r.now + limit, kind: turnsOverdue, request: q})
	}
	r.queue.add(event{at: r.now + latency, kind: ends, request: q})
}

// remind reports a hung request again after as long again.
func (r *run) remind(e event) {
	limit := r.verdictFor(e.entry, e.upstream).OverdueAfter()
	if r.now+limit < e.until {
		e.again = true
		e.at = r.now + limit
		r.queue.add(e)
	}
}

func (r *run) end(q request) {
	u := r.upstreams[q.upstream]
	u.busy--
	if !q.silent {
		r.observe(q, q.result, r.now-q.sent)
	}
	r.reply(q)
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		r.begin(next)
	}
}

// reply tells the entry that a request has ended or was refused.
func (r *run) reply(q request) {
	q.own = r.upstreams[q.upstream].gate.Own()
	r.queue.add(event{at: r.now + hop, kind: replies, request: q})
}

// observe tells the outcome to the verdict and settles what it changed.
func (r *run) observe(q request, result health.Result, latency clock.Millis) {
	u := r.upstreams[q.upstream]
	p := u.spell
	target := p != nil && !p.Spared && r.now >= p.From && r.now < p.To+grace
	if target {
		p.outcomes++
	} else {
		r.figures.Healthy++
	}
	if result == health.Failed || result == health.Overdue {
		r.figures.Bad++
	}
	v := r.verdictFor(q.entry, q.upstream)
	v.Observe(r.now, health.Observation{Result: result, Latency: latency, Again: q.again, Caller: q.caller})
	aside := v.Status(r.now).State == health.Aside
	switch {
	case !aside:
	case target:
		r.detect(p)
	case r.fresh(v):
		r.figures.False++
	}
}

// fresh reports whether the verdict fell at this instant.
func (r *run) fresh(v Verdict) bool {
	s := v.Status(r.now)
	return s.Evidence.At == r.now || s.Evidence.At == 0 && s.Until == r.now+usualHoldOff
}

// detect ends the wait for a spell's detection: at a gate the verdict is in
// force at once, at entries once half of them have it.
func (r *run) detect(p *progress) {
	if p.detected || r.now >= p.To {
		return
	}
	if r.rule.AtEntry {
		aside := 0
		for _, e := range r.entries {
			if e.verdicts[p.Upstream].Status(r.now).State == health.Aside {
				aside++
			}
		}
		if 2*aside < len(r.entries) {
			return
		}
	}
	p.detected = true
	r.open--
	r.figures.Outcomes = append(r.figures.Outcomes, p.outcomes)
	r.figures.Spans = append(r.figures.Spans, r.now-p.From)
}

func (r *run) finish() {
	for _, p := range r.spells {
		if !p.Spared && !p.detected {
			r.figures.Missed++
		}
	}
	r.figures.Served = r.now * clock.Millis(r.size.Upstreams)
}
