package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// detectorFor returns the verdict that decides about the request.
func (r *run) detectorFor(e, u int) Detector {
	if r.rule.AtEntry {
		return r.entries[e].detectors[u]
	}
	return r.upstreams[u].gate
}

// pick chooses the less loaded of two upstreams that may be given the
// request, each taken with the share that its status allows.
func (r *run) pick(q request) (int, bool) {
	best := -1
	for range 2 {
		i, ok := r.pickCandidate(q)
		if ok && (best < 0 || r.load(i) < r.load(best)) {
			best = i
		}
	}
	return best, best >= 0 && r.detectorFor(q.entry, best).Admit(r.now, q.repeatable)
}

func (r *run) load(i int) int {
	return r.upstreams[i].busy + len(r.upstreams[i].waiting)
}

func (r *run) pickCandidate(q request) (int, bool) {
	for range 4 * r.size.Upstreams {
		i := r.random.IntN(r.size.Upstreams)
		status := r.detectorFor(q.entry, i).Status(r.now)
		switch status.State {
		case health.Ejected:
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

// deliver brings a request to its gate, which queues it or refuses it when the
// queue is full.
func (r *run) deliver(q request) {
	u := r.upstreams[q.upstream]
	if r.rule.UsesBaseline {
		u.gate.SetBaseline(r.entries[q.entry].baseline(r.now))
	}
	if u.faultWindow.active(r.now) && u.faultWindow.detected {
		r.figures.SentAfterDetection++
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
	q.result, latency = u.respond(r.now, r.size, r.surging(), r.random)
	if q.caller == "poison" {
		q.result = health.Failed
	}
	limit := r.detectorFor(q.entry, q.upstream).OverdueAfter()
	q.until = r.now + latency
	if latency > limit {
		q.endIgnored = true
		r.queue.add(event{at: r.now + limit, kind: turnsOverdue, request: q})
	}
	r.queue.add(event{at: r.now + latency, kind: ends, request: q})
}

// repeatOverdue reports a hung request again after as long again.
func (r *run) repeatOverdue(e event) {
	limit := r.detectorFor(e.entry, e.upstream).OverdueAfter()
	if r.now+limit < e.until {
		e.stillOverdue = true
		e.at = r.now + limit
		r.queue.add(e)
	}
}

func (r *run) end(q request) {
	u := r.upstreams[q.upstream]
	u.busy--
	if !q.endIgnored {
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
	q.baseline = r.upstreams[q.upstream].gate.LocalBaseline()
	r.queue.add(event{at: r.now + hop, kind: replies, request: q})
}

// observe tells the outcome to the verdict and settles what it changed.
func (r *run) observe(q request, result health.Result, latency clock.Millis) {
	u := r.upstreams[q.upstream]
	p := u.faultWindow
	target := p != nil && !p.NoEjection && r.now >= p.From && r.now < p.To+falseEjectionGrace
	if target {
		p.outcomes++
	} else {
		r.figures.HealthyOutcomes++
	}
	if result == health.Failed || result == health.Overdue {
		r.figures.Bad++
	}
	v := r.detectorFor(q.entry, q.upstream)
	v.Observe(r.now, health.Observation{Result: result, Latency: latency, StillOverdue: q.stillOverdue, Caller: q.caller})
	aside := v.Status(r.now).State == health.Ejected
	switch {
	case !aside:
	case target:
		r.recordDetection(p)
	case r.justEjected(v):
		r.figures.FalseEjections++
	}
}

// justEjected reports whether the verdict fell at this instant.
func (r *run) justEjected(v Detector) bool {
	s := v.Status(r.now)
	return s.Evidence.At == r.now || s.Evidence.At == 0 && s.Until == r.now+proxyHoldOff
}

// recordDetection ends the wait for a spell's detection: at a gate the verdict is in
// force at once, at entries once half of them have it.
func (r *run) recordDetection(p *detection) {
	if p.detected || r.now >= p.To {
		return
	}
	if r.rule.AtEntry {
		aside := 0
		for _, e := range r.entries {
			if e.detectors[p.Upstream].Status(r.now).State == health.Ejected {
				aside++
			}
		}
		if 2*aside < len(r.entries) {
			return
		}
	}
	p.detected = true
	r.undetected--
	r.figures.DetectionOutcomes = append(r.figures.DetectionOutcomes, p.outcomes)
	r.figures.DetectionTimes = append(r.figures.DetectionTimes, r.now-p.From)
}

func (r *run) finish() {
	for _, p := range r.faultWindows {
		if !p.NoEjection && !p.detected {
			r.figures.Missed++
		}
	}
	r.figures.HealthyTime = r.now * clock.Millis(r.size.Upstreams)
}
