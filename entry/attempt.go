package entry

import (
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

// result is what one try came to.
type result struct {
	kind       retry.Result
	reply      *wire.Reply // nil without one
	reason     string
	served     bool
	retryAfter clock.Millis
	full       bool
	// shed says that the upstream itself refused it.
	shed bool
}

// try sends the request to one upstream and waits for what becomes of it.
func (r *request) try(now clock.Millis, a attempt, untried int) result {
	r.assignNumber(&a)
	r.sends++
	r.tried = append(r.tried, a.member)
	r.lastUpstream, r.forced = a.upstream, a.forced
	if r.needsProbe(&a) {
		refusal, isHeld := r.probeGate(&a)
		if !isHeld {
			r.service.endAttempt(r.entry.config.Now(), a.member, &refusal)
			return refusal
		}
		a.isReserved = true
	}
	r.waited = r.entry.config.Now() - r.started
	d := r.newDispatch(now, a, untried)
	w := newWaiter()
	err := a.member.gate.Dispatch(d, w)
	if err != nil {
		unsent := result{kind: retry.NotRun, reason: access.ReasonUnreachable}
		r.service.endAttempt(now, a.member, &unsent)
		return unsent
	}
	outcome := r.awaitOutcome(d, &a, w, untried)
	if r.isCallerGone() || (outcome.kind == retry.NoResponse && r.repeatable) || outcome.reason == string(wire.ReasonHung) {
		a.member.gate.Abandon(d.ID, d.Attempt) // frees its slot, or its place in a queue
	} else {
		a.member.gate.Forget(d.ID, d.Attempt)
	}
	r.service.endAttempt(r.entry.config.Now(), a.member, &outcome)
	return outcome
}

// assignNumber gives an attempt its number, unless it has one.
func (r *request) assignNumber(a *attempt) {
	if a.number == 0 {
		r.attempts++
		a.number = r.attempts
	}
}

func (r *request) newDispatch(now clock.Millis, a attempt, untried int) *wire.Dispatch {
	usual := r.typicalLatency()
	d := &wire.Dispatch{
		ID:              r.id,
		Attempt:         a.number,
		CallerRequestID: r.label,
		Budget:          r.attemptTimeout(now, untried),
		Upstream:        a.upstream.Name,
		Caller:          r.caller,
		Account:         r.accountName(),
		Method:          r.method,
		URI:             string(r.ctx.RequestURI()),
		Headers:         r.headers,
		Body:            r.body,
		Repeatable:      r.repeatable,
		Retry:           r.reachedUpstream,
		AnyHost:         r.route.Host == "",
		Verdict:         uint8(a.verdict),
		Forced:          a.forced,
		Priority:        r.priority(),
		NoQueue:         a.noWait,
		MedianTime:      usual.Median,
		LogStdDev:       wire.RoundFloat(usual.Spread),
		Hanging:         uint8(usual.HangShare),
		Baseline:        r.baseline,
	}
	r.setKey(now, d)
	return d
}

// attemptTimeout is the time that one try may take. A repeatable request keeps
// half of what is left for another upstream: one that hangs would take all. A
// service that is slow by nature must not be cut off by that, so a try lasts
// several times what is usual, and to the end while that isn't known. A route
// with a timeout of its own says how long an answer may take: to break off what
// may still be answered in time would cost a run, and a retry of the budget.
func (r *request) attemptTimeout(now clock.Millis, untried int) clock.Millis {
	left := max(r.deadline-now, 1)
	whole := max(left-r.resolveTimeout(), 1)
	if !r.repeatable || untried <= 0 || !r.baseline.Known || r.route.Timeout > 0 {
		return whole
	}
	return min(max(left/2, latencyMultiple*r.baseline.Latency), whole)
}

func (r *request) resolveTimeout() clock.Millis {
	return min((r.deadline-r.started)/resolveShare, maxResolveTimeout)
}

// dispatchWait is a wait for the outcome of a dispatch.
type dispatchWait struct {
	dispatch *wire.Dispatch
	gate     GateClient
	began    clock.Millis
	until    clock.Millis
	// awaitingLink is true while it may still wait for a link.
	awaitingLink bool
	// resolveSent is true once the gate was asked what became of it.
	resolveSent bool
}

// awaitOutcome waits for the outcome of a dispatch. Without one by the end of its
// budget it asks the gate, which voids a dispatch that it has not begun.
func (r *request) awaitOutcome(d *wire.Dispatch, a *attempt, w *waiter, untried int) result {
	began := r.entry.config.Now()
	v := dispatchWait{dispatch: d, gate: a.member.gate, began: began, until: began + d.Budget}
	if a.noWait && linkTimeout < d.Budget {
		v.awaitingLink, v.until = true, began+linkTimeout
	}
	for {
		now := r.entry.config.Now()
		e := w.next(max(v.until-now, 0)+1, r.callerGone)
		if e.kind == expired {
			if out, ok := r.handleTimeout(&v); ok {
				return out
			}
			continue
		}
		if e.kind == stalled {
			if out, ok := r.retryElsewhere(w, untried); ok {
				return out
			}
			continue
		}
		if out, ok := r.resultOfEvent(e); ok {
			return out
		}
	}
}

// resultOfEvent is what an event makes of a dispatch, or false if the wait goes on.
func (r *request) resultOfEvent(e event) (result, bool) {
	switch {
	case e.kind == callerGone:
		return result{kind: retry.NoResponse, reason: string(wire.ReasonCallerLeft)}, true
	case e.kind == replied:
		return resultOf(e.reply), true
	case e.kind == revoked:
		return result{kind: retry.NotRun, reason: string(wire.ReasonRevoked)}, true
	case e.kind == unsent:
		return result{kind: retry.NotRun, reason: access.ReasonUnreachable}, true
	case e.kind == gateReplaced:
		return result{kind: retry.NoResponse, reason: reasonNodeReplaced}, true
	case e.kind == pathLost && r.repeatable:
		return result{kind: retry.NoResponse, reason: access.ReasonUnreachable}, true
	default:
		return result{}, false
	}
}

// handleTimeout acts at the end of a wait, and returns false if another begins.
func (r *request) handleTimeout(v *dispatchWait) (result, bool) {
	d := v.dispatch
	silent := result{kind: retry.NoResponse, reason: reasonNoAnswer}
	switch {
	case v.awaitingLink && v.gate.Withdraw(d.ID, d.Attempt):
		return result{kind: retry.NotRun, reason: access.ReasonUnreachable}, true
	case v.awaitingLink:
		v.awaitingLink, v.until = false, v.began+d.Budget
	case r.repeatable:
		return silent, true
	case v.resolveSent:
		return silent, true
	default:
		v.resolveSent = true
		v.until = min(r.entry.config.Now()+r.resolveTimeout(), r.deadline)
		v.gate.Resolve(d.ID, d.Attempt)
	}
	return result{}, false
}

func resultOf(reply *wire.Reply) result {
	out := result{reply: reply, reason: string(reply.Reason), retryAfter: reply.RetryAfter}
	switch reply.Outcome {
	case wire.NotRun:
		out.kind = retry.NotRun
		out.shed = reply.Reason == wire.ReasonShed
		out.full = reply.Reason == wire.ReasonFull || reply.Reason == wire.ReasonDeadlineTooShort || reply.Reason == wire.ReasonShed
	case wire.Answered:
		out.kind = retry.Failed
		out.served = reply.Status < fasthttp.StatusInternalServerError
		if !out.served {
			out.reason = access.ReasonUpstreamError
		}
	default:
		out.kind = retry.Failed
	}
	return out
}
