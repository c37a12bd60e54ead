package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// detectorFor returns the detector that decides whether the entry e may use the upstream
// u: the entry's own, or the one at the gate.
func (r *run) detectorFor(e, u int) Detector {
	if r.rule.AtEntry {
		return r.entries[e].detectors[u]
	}
	return r.upstreams[u].gate
}

// pick returns the less loaded of two random upstreams that may take the request. An
// upstream is a candidate with the probability that its status gives as its share. It
// returns false if there is no candidate or the detector does not admit the request.
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

// load returns the number of requests that run or wait at the upstream i.
func (r *run) load(i int) int {
	return r.upstreams[i].busy + len(r.upstreams[i].waiting)
}

// pickCandidate returns a random upstream that may take the request, or false if it
// finds none after four attempts for each upstream.
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

// deliver hands a request to its gate, which runs or queues the request, or refuses it
// when the queue is full.
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

// begin starts a request at its upstream and schedules its end. If the request takes
// longer than the detector's limit, its outcome is reported at the limit and not at the
// end.
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
		r.queue.add(event{at: r.now + limit, kind: overdueEvent, request: q})
	}
	r.queue.add(event{at: r.now + latency, kind: endEvent, request: q})
}

// repeatOverdue schedules another report of an overdue request after the current limit,
// unless the request ends before that.
func (r *run) repeatOverdue(e event) {
	limit := r.detectorFor(e.entry, e.upstream).OverdueAfter()
	if r.now+limit < e.until {
		e.stillOverdue = true
		e.at = r.now + limit
		r.queue.add(e)
	}
}

// end frees the slot of a request, reports its outcome and starts the next request in
// the queue.
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

// reply sends the gate's baseline to the entry of a request that has ended or was
// refused.
func (r *run) reply(q request) {
	q.baseline = r.upstreams[q.upstream].gate.LocalBaseline()
	r.queue.add(event{at: r.now + hopDelay, kind: replyEvent, request: q})
}

// observe passes the outcome to the detector and counts the detection or the false
// ejection that follows from it.
func (r *run) observe(q request, result health.Result, latency clock.Millis) {
	u := r.upstreams[q.upstream]
	p := u.faultWindow
	isTarget := p != nil && !p.NoEjection && r.now >= p.From && r.now < p.To+falseEjectionGrace
	if isTarget {
		p.outcomes++
	} else {
		r.figures.HealthyOutcomes++
	}
	if result == health.Failed || result == health.Overdue {
		r.figures.Bad++
	}
	detector := r.detectorFor(q.entry, q.upstream)
	detector.Observe(r.now, health.Observation{Result: result, Latency: latency, StillOverdue: q.stillOverdue, Caller: q.caller})
	ejected := detector.Status(r.now).State == health.Ejected
	switch {
	case !ejected:
	case isTarget:
		r.recordDetection(p)
	case r.justEjected(detector):
		r.figures.FalseEjections++
	}
}

// justEjected reports whether the detector ejected its upstream at this instant. A
// proxyRule records no evidence, so the end of its hold-off shows when it began.
func (r *run) justEjected(detector Detector) bool {
	s := detector.Status(r.now)
	return s.Evidence.At == r.now || s.Evidence.At == 0 && s.Until == r.now+proxyHoldOff
}

// recordDetection marks the fault as detected: immediately if the detector is at the
// gate, or once at least half of the entries have ejected the upstream.
func (r *run) recordDetection(p *detection) {
	if p.detected || r.now >= p.To {
		return
	}
	if r.rule.AtEntry {
		ejected := 0
		for _, e := range r.entries {
			if e.detectors[p.Upstream].Status(r.now).State == health.Ejected {
				ejected++
			}
		}
		if 2*ejected < len(r.entries) {
			return
		}
	}
	p.detected = true
	r.undetected--
	r.figures.DetectionOutcomes = append(r.figures.DetectionOutcomes, p.outcomes)
	r.figures.DetectionTimes = append(r.figures.DetectionTimes, r.now-p.From)
}

// finish counts the missed faults and the time over which false ejections were counted.
func (r *run) finish() {
	for _, p := range r.faultWindows {
		if !p.NoEjection && !p.detected {
			r.figures.Missed++
		}
	}
	r.figures.HealthyTime = r.now * clock.Millis(r.size.Upstreams)
}
