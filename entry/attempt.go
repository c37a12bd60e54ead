package entry

import (
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

// result is the outcome of one attempt.
type result struct {
	kind       retry.Result
	reply      *wire.Reply // nil if the attempt got no reply
	reason     string
	served     bool
	retryAfter clock.Millis
	full       bool
	// isPaced means that the upstream's rate limit doesn't admit the request now.
	isPaced bool
	// shed means that the upstream itself refused the request.
	shed bool
	// isLinkReplaced means that the dispatch was lost with a link that was replaced, and that the
	// gate has revoked it: nothing speaks against another attempt there.
	isLinkReplaced bool
}

// try sends the request to one upstream and waits for the outcome, at most until the request's
// deadline.
func (r *request) try(a attempt, untried int) result {
	r.assignNumber(&a)
	r.open = &a
	outcome := r.tryNumbered(a, untried)
	r.open = nil
	return outcome
}

// tryNumbered is try for an attempt that has a number.
func (r *request) tryNumbered(a attempt, untried int) result {
	r.sends++
	r.tried = append(r.tried, a.member)
	r.lastUpstream, r.forced = a.upstream, a.forced
	if r.needsProbe(&a) {
		refusal, isReserved := r.probeGate(&a)
		if !isReserved {
			r.recordNodeStop(a.member, &refusal)
			r.service.endAttempt(r.entry.config.Now(), a.member, &refusal)
			return refusal
		}
		a.isReserved = true
	}
	now := r.entry.config.Now() // the choice of the upstream and its probe may have waited
	if !r.service.takeShare(now, a.member) {
		if a.isReserved {
			a.member.gate.ReleaseReservation(&wire.ReleaseReservation{ID: r.id, Attempt: a.number, Upstream: a.upstream.Name})
		}
		limited := result{kind: retry.NotRun, reason: string(wire.ReasonRateLimit), full: true, isPaced: true}
		r.service.endAttempt(now, a.member, &limited)
		return limited
	}
	r.waited = now - r.started
	d := r.newDispatch(now, a, untried)
	w := newWaiter()
	err := a.member.gate.Dispatch(d, w)
	if err != nil {
		notSent := result{kind: retry.NotRun, reason: access.ReasonUnreachable}
		r.service.endAttempt(now, a.member, &notSent)
		return notSent
	}
	outcome := r.awaitOutcome(d, &a, w, untried)
	r.countCrossBytes(&a, &outcome)
	if reply := outcome.reply; reply != nil && reply.Outcome == wire.Answered && !reply.Replay {
		r.service.recordAnnouncement(r.entry.config.Now(), a.member, r.entry.config.Announcements.Read(reply.Headers.Get))
	}
	if r.isCallerGone() || (outcome.kind == retry.NoResponse && r.repeatable) || outcome.reason == string(wire.ReasonHung) {
		a.member.gate.Abandon(d.ID, d.Attempt) // frees its slot or its queue position
	} else {
		a.member.gate.Forget(d.ID, d.Attempt)
	}
	r.recordNodeStop(a.member, &outcome)
	r.service.endAttempt(r.entry.config.Now(), a.member, &outcome)
	return outcome
}

// assignNumber numbers an attempt that has no number yet.
func (r *request) assignNumber(a *attempt) {
	if a.number == 0 {
		r.attempts++
		a.number = r.attempts
	}
}

func (r *request) newDispatch(now clock.Millis, a attempt, untried int) *wire.Dispatch {
	typical := r.typicalLatency()
	d := &wire.Dispatch{
		ID:              r.id,
		Attempt:         a.number,
		CallerRequestID: r.callerRequestID,
		Budget:          r.attemptTimeout(now, untried),
		Upstream:        a.upstream.Name,
		Caller:          r.caller,
		Account:         r.accountName(),
		Method:          r.method,
		URI:             r.target,
		Headers:         r.headers,
		Body:            r.body,
		Repeatable:      r.repeatable,
		Retry:           r.reachedUpstream,
		AnyHost:         r.route.Host == "",
		Verdict:         uint8(a.verdict),
		Forced:          a.forced,
		Priority:        r.priority(),
		NoQueue:         a.noWait,
		MedianTime:      typical.Median,
		LogStdDev:       wire.RoundFloat(typical.Spread),
		Hanging:         uint8(typical.HangShare),
		Baseline:        r.baseline,
	}
	r.setKey(now, d)
	return d
}

// attemptTimeout returns how long one attempt may take. A repeatable request reserves
// half of its remaining time for another upstream, because an upstream that hangs would
// use up all of it. That must not cut off a service that is slow by nature, so an attempt
// gets at least latencyMultiple times the baseline latency, and all the remaining time
// while the baseline is unknown. A route with its own timeout states how long an answer
// may take, so its attempts also get all the remaining time: cutting off one that may
// still be answered in time would waste a run and a retry from the budget.
func (r *request) attemptTimeout(now clock.Millis, untried int) clock.Millis {
	remaining := max(r.deadline-now, 1)
	full := max(remaining-r.resolveTimeout(), 1)
	if !r.repeatable || untried <= 0 || !r.baseline.Known || r.route.Timeout > 0 {
		return full
	}
	return min(max(remaining/2, latencyMultiple*r.baseline.Latency), full)
}

func (r *request) resolveTimeout() clock.Millis {
	return min((r.deadline-r.started)/resolveShare, maxResolveTimeout)
}

// dispatchWait is the state of the wait for a dispatch's outcome.
type dispatchWait struct {
	dispatch *wire.Dispatch
	gate     GateClient
	began    clock.Millis
	until    clock.Millis
	// awaitingLink is true while the dispatch may still be waiting for a link.
	awaitingLink bool
	// stopped is closed when the node stops; nil once that is handled.
	stopped <-chan struct{}
	// resolveSent is true once the gate has been asked for the unknown outcome.
	resolveSent bool
}

// awaitOutcome waits for the outcome of a dispatch. If there is none by the end of the
// dispatch's budget, it asks the gate to resolve the dispatch; the gate revokes it if its
// run has not begun.
func (r *request) awaitOutcome(d *wire.Dispatch, a *attempt, w *waiter, untried int) result {
	wait := dispatchWait{dispatch: d, gate: a.member.gate, began: r.entry.config.Now(), stopped: r.entry.stopped}
	r.waitUntil(&wait, wait.began+d.Budget)
	if a.noWait && linkTimeout < d.Budget {
		wait.awaitingLink = true
		r.waitUntil(&wait, wait.began+linkTimeout)
	}
	for {
		now := r.entry.config.Now()
		e := w.next(max(wait.until-now, 0)+1, r.callerGone, wait.stopped)
		if out, ok := r.handleEvent(&wait, w, e, untried); ok {
			out.isLinkReplaced = e.kind == revoked && !wait.resolveSent
			return out
		}
	}
}

// waitUntil sets the end of a wait for an outcome, which isn't later than the request's deadline.
func (r *request) waitUntil(wait *dispatchWait, end clock.Millis) {
	wait.until = min(end, r.deadline)
}

// handleEvent returns the result that follows from an event, or false if the wait continues.
func (r *request) handleEvent(wait *dispatchWait, w *waiter, e event, untried int) (result, bool) {
	switch e.kind {
	case expired:
		return r.handleTimeout(wait)
	case stopped:
		r.stop(wait)
		return r.handleTimeout(wait)
	case hung:
		return r.retryElsewhere(w, untried)
	default:
		return r.resultOfEvent(e)
	}
}

// resultOfEvent returns the result that an event implies, or false if the wait continues.
func (r *request) resultOfEvent(e event) (result, bool) {
	switch {
	case e.kind == callerGone:
		return result{kind: retry.NoResponse, reason: string(wire.ReasonCallerLeft)}, true
	case e.kind == replied:
		return resultOf(r.checkReply(e.reply)), true
	case e.kind == revoked:
		return result{kind: retry.NotRun, reason: string(wire.ReasonRevoked)}, true
	case e.kind == notSent:
		return result{kind: retry.NotRun, reason: access.ReasonUnreachable}, true
	case e.kind == gateReplaced:
		return result{kind: retry.NoResponse, reason: reasonNodeReplaced}, true
	case e.kind == pathLost && r.repeatable:
		return result{kind: retry.NoResponse, reason: access.ReasonUnreachable}, true
	default:
		return result{}, false
	}
}

// handleTimeout returns the result of a wait that timed out, or false if it has extended
// the wait.
func (r *request) handleTimeout(wait *dispatchWait) (result, bool) {
	d := wait.dispatch
	noReply := result{kind: retry.NoResponse, reason: reasonNoAnswer}
	switch {
	case wait.awaitingLink && wait.gate.Withdraw(d.ID, d.Attempt):
		return result{kind: retry.NotRun, reason: access.ReasonUnreachable}, true
	case wait.awaitingLink:
		wait.awaitingLink = false
		r.waitUntil(wait, wait.began+d.Budget)
	case r.repeatable:
		return noReply, true
	case wait.resolveSent:
		return noReply, true
	default:
		wait.resolveSent = true
		r.waitUntil(wait, r.entry.config.Now()+r.resolveTimeout())
		wait.gate.Resolve(d.ID, d.Attempt)
	}
	return result{}, false
}

// refusedForLoad reports whether the attempt was refused because the upstream has all the load that
// it can take. A rate limit is no load: the upstream received nothing, and no other upstream is
// the fuller for it.
func (o *result) refusedForLoad() bool {
	return o.full && !o.isPaced
}

// isFull reports whether a gate refused because its upstream has no room for the request, but
// nothing is wrong with it.
func isFull(reason wire.Reason) bool {
	return reason == wire.ReasonFull || reason == wire.ReasonDeadlineTooShort || reason == wire.ReasonRateLimit
}

// checkReply returns the reply, or a broken one in place of an answer that HTTP doesn't allow. Gates of
// earlier releases hand on what they got.
func (r *request) checkReply(reply *wire.Reply) *wire.Reply {
	if reply.Outcome != wire.Answered || isResponse(reply.Status, reply.Headers) {
		return reply
	}
	log := r.entry.config.Log.WithFields(logrus.Fields{"request": wire.RequestName(r.callerRequestID, r.id), "upstream": reply.Upstream.Name})
	logging.Repeatable(log).Warn("answer dropped; its status or a field name is invalid")
	broken := *reply
	broken.Outcome, broken.Reason = wire.Broken, wire.ReasonTruncated
	broken.Headers, broken.Body, broken.Length = nil, nil, 0
	return &broken
}

// isResponse reports whether a final response of HTTP may have the status and the headers.
func isResponse(status int, headers wire.Headers) bool {
	return fasthttp.StatusOK <= status && status <= 999 && headers.IsWellFormed()
}

func resultOf(reply *wire.Reply) result {
	out := result{reply: reply, reason: string(reply.Reason), retryAfter: reply.RetryAfter}
	switch reply.Outcome {
	case wire.NotRun:
		out.kind = retry.NotRun
		out.shed = reply.Reason == wire.ReasonShed
		out.full = out.shed || isFull(reply.Reason)
		out.isPaced = reply.Reason == wire.ReasonRateLimit
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
