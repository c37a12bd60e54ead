package entry

import (
	"time"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// largeBodySize is the body size, in bytes, from which a gate in another failure
	// domain is probed for a slot first, so that the body crosses between domains only
	// once.
	largeBodySize = 1 << 10
	// probeTimeout is how long a gate may take to answer a probe, beyond the wait budget,
	// before it counts as unreachable.
	probeTimeout = 100 * clock.Millis(1)
	// betterSlotWindow is how long after the first slot the entry waits for a slot at an
	// upstream of lower severity: two round trips between failure domains plus the delay
	// of a busy node.
	betterSlotWindow = 8 * clock.Millis(1)
)

// needsProbe reports whether the gate must be probed before the request is sent.
func (r *request) needsProbe(a *attempt) bool {
	return a.noWait && !a.isReserved && len(r.body) >= largeBodySize &&
		a.upstream.Domain != r.entry.config.Domain
}

// probeGate asks one gate for a free slot. If there is none, it returns the gate's
// refusal and false, and nothing has been sent.
func (r *request) probeGate(a *attempt) (result, bool) {
	p := r.probeCandidates([]attempt{*a}, 0, false)
	if p.reserved < 0 {
		return p.refusals[0], false
	}
	return result{}, true
}

// candidateProbe is a simultaneous request for a slot at several gates.
type candidateProbe struct {
	request  *request
	attempts []attempt
	answers  chan probeAnswer
	refusals []result
	done     []bool
	pending  int
	reserved int // index of the attempt whose slot is taken, -1 if none is
	cost     float64
}

type probeAnswer struct {
	index int
	reply *wire.Reservation
}

// probeCandidates asks the candidates' gates for a slot. It takes the first slot granted
// or, if pickHealthiest is set, the one with the lowest cost among those granted before
// no further slot arrives for betterSlotWindow. It releases all other slots.
func (r *request) probeCandidates(candidates []attempt, waitBudget clock.Millis, pickHealthiest bool) *candidateProbe {
	p := &candidateProbe{
		request: r, attempts: candidates, answers: make(chan probeAnswer, len(candidates)),
		refusals: make([]result, len(candidates)), done: make([]bool, len(candidates)), pending: len(candidates), reserved: -1,
	}
	for i := range candidates {
		p.send(i, waitBudget)
	}
	timer := time.NewTimer(r.limitWait(waitBudget + probeTimeout).Duration())
	defer timer.Stop()
	for p.pending > 0 {
		select {
		case a := <-p.answers:
			if !p.handleAnswer(a) {
				continue
			}
			if !pickHealthiest {
				p.pending = 0
				break
			}
			timer.Reset(betterSlotWindow.Duration())
		case <-timer.C:
			p.pending = 0
		case <-r.callerGone:
			p.pending, p.reserved = 0, -1
		case <-r.entry.stopped:
			p.pending, p.reserved = 0, -1
		}
	}
	p.releaseUnused()
	return p
}

// limitWait shortens a wait that would end after the request's deadline.
func (r *request) limitWait(span clock.Millis) clock.Millis {
	return max(min(span, r.deadline-r.entry.config.Now()), 0)
}

func (p *candidateProbe) send(i int, waitBudget clock.Millis) {
	r, a := p.request, &p.attempts[i]
	p.refusals[i] = result{kind: retry.NotRun, reason: access.ReasonUnreachable}
	err := a.member.gate.ProbeCapacity(&wire.CapacityProbe{
		ID: r.id, Attempt: a.number, Upstream: a.upstream.Name, Repeatable: r.repeatable, Retry: r.reachedUpstream, Forced: a.forced,
		Priority: r.priority(), Budget: r.deadline - r.entry.config.Now(), WaitBudget: waitBudget,
	}, func(reply *wire.Reservation) { p.answers <- probeAnswer{i, reply} })
	if err != nil { // the path is lost
		p.done[i] = true
		p.pending--
	}
}

// handleAnswer records a gate's answer and reports whether the gate has reserved a slot.
func (p *candidateProbe) handleAnswer(a probeAnswer) bool {
	p.pending--
	if a.reply == nil {
		p.done[a.index] = true
		return false
	}
	if !a.reply.Reserved {
		p.done[a.index] = true
		p.refusals[a.index] = result{
			kind: retry.NotRun, reason: string(a.reply.Reason), retryAfter: a.reply.RetryAfter,
			full: isFull(a.reply.Reason), isPaced: a.reply.Reason == wire.ReasonRateLimit,
		}
		return false
	}
	r, attempt := p.request, &p.attempts[a.index]
	risk := a.reply.Upstream.Severity
	if r.avoidsShedding() {
		risk = r.service.riskOfProbed(r.entry.config.Now(), attempt.member, risk)
	}
	if cost := choice.ProbedCost(risk, attempt.upstream.Domain == r.entry.config.Domain, r.transfer()); p.reserved < 0 || cost < p.cost {
		p.reserved, p.cost = a.index, cost
	}
	return true
}

// releaseUnused releases the reserved slots that are not taken and cancels the probes
// without an answer.
func (p *candidateProbe) releaseUnused() {
	r := p.request
	for i := range p.attempts {
		if i == p.reserved || p.done[i] {
			continue
		}
		a := &p.attempts[i]
		a.member.gate.ReleaseReservation(&wire.ReleaseReservation{ID: r.id, Attempt: a.number, Upstream: a.upstream.Name})
	}
}
