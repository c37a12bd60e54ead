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
	kind   retry.Result
	reply  *wire.Reply // nil without one
	reason string
	served bool
	after  clock.Millis
	full   bool
	// arrived says that the upstream itself refused it.
	arrived bool
}

// try sends the request to one upstream and waits for what becomes of it.
func (r *request) try(now clock.Millis, a attempt, untried int) result {
	r.number(&a)
	r.sends++
	r.tried = append(r.tried, a.member)
	r.last, r.forced = a.upstream, a.forced
	if r.enquires(&a) {
		refusal, isHeld := r.enquire(&a)
		if !isHeld {
			r.service.ended(r.entry.config.Now(), a.member, &refusal)
			return refusal
		}
		a.isHeld = true
	}
	r.waited = r.entry.config.Now() - r.started
	d := r.dispatch(now, a, untried)
	w := newWaiter()
	err := a.member.target.Dispatch(d, w)
	if err != nil {
		unsent := result{kind: retry.NotRun, reason: access.ReasonUnreachable}
		r.service.ended(now, a.member, &unsent)
		return unsent
	}
	outcome := r.await(d, &a, w, untried)
	if r.hasLeft() || (outcome.kind == retry.NoResponse && r.repeatable) || outcome.reason == string(wire.ReasonStalled) {
		a.member.target.Abandon(d.ID, d.Attempt) // frees its slot, or its place in a queue
	} else {
		a.member.target.Forget(d.ID, d.Attempt)
	}
	r.service.ended(r.entry.config.Now(), a.member, &outcome)
	return outcome
}

// number gives an attempt its number, unless it has one.
func (r *request) number(a *attempt) {
	if a.number == 0 {
		r.attempts++
		a.number = r.attempts
	}
}

func (r *request) dispatch(now clock.Millis, a attempt, untried int) *wire.Dispatch {
	usual := r.usual()
	d := &wire.Dispatch{
		ID:         r.id,
		Attempt:    a.number,
		Label:      r.label,
		Budget:     r.attemptBudget(now, untried),
		Upstream:   a.upstream.Name,
		Caller:     r.caller,
		Account:    r.accountName(),
		Method:     r.method,
		URI:        string(r.ctx.RequestURI()),
		Headers:    r.headers,
		Body:       r.body,
		Repeatable: r.repeatable,
		Retry:      r.arrived,
		AnyHost:    r.route.Host == "",
		Verdict:    uint8(a.verdict),
		Forced:     a.forced,
		Priority:   r.priority(),
		Bounded:    a.bounded,
		Usual:      usual.Median,
		Spread:     wire.Short(usual.Spread),
		Hanging:    uint8(usual.HangShare),
		Baseline:   r.baseline,
	}
	r.stamp(now, d)
	return d
}

// attemptBudget is the time that one try may take. A repeatable request keeps
// half of what is left for another upstream: one that hangs would take all. A
// service that is slow by nature must not be cut off by that, so a try lasts
// several times what is usual, and to the end while that isn't known. A route
// with a timeout of its own says how long an answer may take: to break off what
// may still be answered in time would cost a run, and a retry of the budget.
func (r *request) attemptBudget(now clock.Millis, untried int) clock.Millis {
	left := max(r.deadline-now, 1)
	whole := max(left-r.settleTime(), 1)
	if !r.repeatable || untried <= 0 || !r.baseline.Known || r.route.Timeout > 0 {
		return whole
	}
	return min(max(left/2, patience*r.baseline.Latency), whole)
}

func (r *request) settleTime() clock.Millis {
	return min((r.deadline-r.started)/settleShare, settleMost)
}

// waiting is a wait for the outcome of a dispatch.
type waiting struct {
	dispatch *wire.Dispatch
	target   Target
	began    clock.Millis
	until    clock.Millis
	// linking is true while it may still wait for a link.
	linking bool
	// asked is true once the gate was asked what became of it.
	asked bool
}

// await waits for the outcome of a dispatch. Without one by the end of its
// budget it asks the gate, which voids a dispatch that it has not begun.
func (r *request) await(d *wire.Dispatch, a *attempt, w *waiter, untried int) result {
	began := r.entry.config.Now()
	v := waiting{dispatch: d, target: a.member.target, began: began, until: began + d.Budget}
	if a.bounded && linkTime < d.Budget {
		v.linking, v.until = true, began+linkTime
	}
	for {
		now := r.entry.config.Now()
		e := w.next(max(v.until-now, 0)+1, r.left)
		if e.kind == expired {
			if out, ok := r.overtime(&v); ok {
				return out
			}
			continue
		}
		if e.kind == stalled {
			if out, ok := r.moveOn(w, untried); ok {
				return out
			}
			continue
		}
		if out, ok := r.told(e); ok {
			return out
		}
	}
}

// told is what an event makes of a dispatch, or false if the wait goes on.
func (r *request) told(e event) (result, bool) {
	switch {
	case e.kind == abandoned:
		return result{kind: retry.NoResponse, reason: string(wire.ReasonLeft)}, true
	case e.kind == replied:
		return resultOf(e.reply), true
	case e.kind == voided:
		return result{kind: retry.NotRun, reason: string(wire.ReasonVoided)}, true
	case e.kind == unsent:
		return result{kind: retry.NotRun, reason: access.ReasonUnreachable}, true
	case e.kind == forgotten:
		return result{kind: retry.NoResponse, reason: reasonReplaced}, true
	case e.kind == lost && r.repeatable:
		return result{kind: retry.NoResponse, reason: access.ReasonUnreachable}, true
	default:
		return result{}, false
	}
}

// overtime acts at the end of a wait, and returns false if another begins.
func (r *request) overtime(v *waiting) (result, bool) {
	d := v.dispatch
	silent := result{kind: retry.NoResponse, reason: reasonSilent}
	switch {
	case v.linking && v.target.Withdraw(d.ID, d.Attempt):
		return result{kind: retry.NotRun, reason: access.ReasonUnreachable}, true
	case v.linking:
		v.linking, v.until = false, v.began+d.Budget
	case r.repeatable:
		return silent, true
	case v.asked:
		return silent, true
	default:
		v.asked = true
		v.until = min(r.entry.config.Now()+r.settleTime(), r.deadline)
		v.target.Settle(d.ID, d.Attempt)
	}
	return result{}, false
}

func resultOf(reply *wire.Reply) result {
	out := result{reply: reply, reason: string(reply.Reason), after: reply.RetryAfter}
	switch reply.Outcome {
	case wire.NotRun:
		out.kind = retry.NotRun
		out.arrived = reply.Reason == wire.ReasonShed
		out.full = reply.Reason == wire.ReasonFull || reply.Reason == wire.ReasonLate || reply.Reason == wire.ReasonShed
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
