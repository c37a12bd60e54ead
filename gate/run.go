package gate

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/head"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

// start submits a job that has a slot to the worker pool.
func (g *Gate) start(j *job) {
	if err := g.config.Pool.Submit(func() { g.run(j) }); err != nil {
		g.log.WithError(err).Warn("worker pool rejected the request; it is refused as not run")
		g.finishNotRun(j, wire.ReasonFull)
	}
}

// run sends a job's request to the backend server and reports the outcome, unless the job is
// parked or may not begin.
func (g *Gate) run(j *job) {
	defer g.recoverRun(j)
	now, reason, isParked := g.begin(j)
	switch {
	case isParked:
		return
	case reason != "":
		g.finishNotRun(j, reason)
		return
	}
	d := j.dispatch
	ctx, cancel := g.callContext(j)
	defer cancel()
	response, err := g.do(ctx, &Call{
		ID:         wire.RequestName(d.CallerRequestID, d.ID),
		Caller:     d.Caller,
		Account:    d.Account,
		Method:     d.Method,
		URI:        d.URI,
		Headers:    d.Headers,
		Body:       d.Body,
		Deadline:   j.deadline - now,
		Repeatable: d.Repeatable,
	})
	g.finish(j, now, response, g.detectCrash(j, err))
}

// callContext returns the context of a job's call. For a repeatable request it is cancelled
// when nobody waits for the outcome; any other request runs to its end.
func (g *Gate) callContext(j *job) (context.Context, context.CancelFunc) {
	if !j.dispatch.Repeatable {
		return context.Background(), func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	j.cancel = cancel
	g.mu.Unlock()
	return ctx, cancel
}

// begin is the last step before the request is sent. It returns the time, a reason if the
// dispatch must not run, and whether the job is parked. A dispatch must not run if it was
// resolved as not run while it waited, is a retry beyond the retry budget, or belongs to a
// quarantined request. A suspected request is parked until another suspect ends.
func (g *Gate) begin(j *job) (clock.Millis, wire.Reason, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	if now >= j.deadline {
		return now, wire.ReasonRevoked, false
	}
	if !g.stop.AllowsDispatch(now, j.departureRun()) {
		g.dedup.Refuse(j.key)
		return now, wire.ReasonLeaving, false
	}
	switch reason, isParked := g.admitSuspect(j); {
	case isParked:
		return now, "", true
	case reason != "":
		g.dedup.Refuse(j.key)
		return now, reason, false
	case !g.beginKey(now, j):
		return now, wire.ReasonRevoked, false
	}
	if reason := g.beginRun(now, j); reason != "" {
		g.endKey(j.dispatch, &wire.Reply{Outcome: wire.NotRun})
		return now, reason, false
	}
	j.running, j.generation, j.began = true, g.generation, now
	g.slots.BeginUse(now, j.dispatch.Account)
	j.concurrent = g.countRunning()
	if j.timer != nil {
		j.timer.Stop()
	}
	g.watchRun(now, j)
	return now, "", false
}

// beginRun marks the dispatch as begun and counts it for the retry budget, or returns why it
// may not begin. A retry is charged here, when it is sent, because it may have waited since it
// was admitted. It is called with the gate's lock held.
func (g *Gate) beginRun(now clock.Millis, j *job) wire.Reason {
	if ruling := g.ruleOnRun(now, j.dispatch); ruling != retry.Granted {
		g.recordRetry(ruling)
		g.dedup.Refuse(j.key)
		return wire.ReasonRetryBudget
	}
	if !g.dedup.Begin(now, j.key) {
		return wire.ReasonRevoked
	}
	if j.dispatch.Retry {
		g.quota.Spend(now)
		g.recordRetry(retry.Granted)
	} else {
		g.quota.RecordRequest(now)
	}
	return ""
}

// ruleOnRun decides whether a dispatch that is about to run is within the retry budget. It is
// called with the gate's lock held.
func (g *Gate) ruleOnRun(now clock.Millis, d *wire.Dispatch) retry.Ruling {
	if !d.Retry {
		return retry.Granted
	}
	return g.quota.Rule(now, retry.Claim{Priority: d.Priority, Repeatable: d.Repeatable})
}

// finish records the outcome of a run, replies to the entry and gives the slot to a waiter.
func (g *Gate) finish(j *job, began clock.Millis, response Response, err error) {
	g.mu.Lock()
	now := g.config.Now()
	j.timer.Stop()
	delete(g.jobs, j.ticket)
	g.slots.EndUse(now, j.dispatch.Account)
	isCurrent := j.generation == g.generation
	g.recordFinished(now, j, response, err)
	var calls []func()
	if isCurrent {
		g.observeRun(now, j, response, err)
		g.shed.Record(now, response.Shed)
		calls = g.observeSpeed(now, j, response, err)
		if response.HasAnnouncement {
			calls = append(calls, g.recordAnnouncement(now, response.Announcement, response.Shed)...)
		}
	}
	if isCurrent {
		calls = append(calls, g.releaseSlot(now)...) // first, so that the reply carries the upstream's load without this run
	}
	calls = append(calls, g.endTrial(j)...)
	reply := g.reply(now, j.dispatch)
	reply.Took = now - began
	setOutcome(reply, response, err)
	g.endKey(j.dispatch, reply)
	g.dedup.Finish(j.key, retainedReply(j.dispatch, reply))
	respond := j.respondUnlessCut(reply)
	g.mu.Unlock()
	defer callAll(calls) // also after a panic
	respond()
	g.logOutcome(j.dispatch, reply, now-began, err)
}

// dependencyFailed reports whether a call that the backend server made failed within a time
// span, so that its own failure response may have been caused by that call. Counting such
// responses against the backend server would spread the failure of one service to its callers
// as false ejections.
func (g *Gate) dependencyFailed(from, to clock.Millis) bool {
	return g.config.DependencyFailed != nil && g.config.DependencyFailed(from, to)
}

// logOutcome logs a request that got no response from the backend server, under the request id
// that the entry and the report use, too.
func (g *Gate) logOutcome(d *wire.Dispatch, reply *wire.Reply, took clock.Millis, err error) {
	if err == nil {
		return
	}
	g.log.WithError(err).WithFields(logrus.Fields{
		"request":     wire.RequestName(d.CallerRequestID, d.ID),
		"fingerprint": fingerprintOf(d),
		"reason":      string(reply.Reason),
		"took":        took.String(),
	}).Info("request not answered by the backend server")
}

func fingerprintOf(d *wire.Dispatch) string {
	subject := d.QuarantineRequest()
	return subject.Fingerprint().String()
}

// retainedReply returns the reply that is kept for a later Resolve. It is nil for a repeatable
// request, which its entry sends again instead of resolving it.
func retainedReply(d *wire.Dispatch, reply *wire.Reply) *wire.Reply {
	if d.Repeatable {
		return nil
	}
	return reply
}

// finishNotRun replies to a job that has a slot and did not run, and gives the slot to a waiter.
func (g *Gate) finishNotRun(j *job, reason wire.Reason) {
	g.mu.Lock()
	now := g.config.Now()
	if j.timer != nil {
		j.timer.Stop()
	}
	delete(g.jobs, j.ticket)
	reply := j.refusal
	if reply == nil {
		reply = g.reply(now, j.dispatch)
		reply.Outcome, reply.Reason, reply.RetryAfter = wire.NotRun, reason, clock.Second
	}
	g.recordReply(now, j, reply)
	calls := append(g.returnSlot(now), g.endTrial(j)...)
	respond := j.respondUnlessCut(reply)
	g.mu.Unlock()
	defer callAll(calls) // also after a panic
	respond()
}

// releaseSlot frees the slot of a completed run and gives it to the next waiter. It is called
// with the gate's lock held and returns the calls to make after the lock is released: the
// refusals of expired waiters and the start of the next one.
func (g *Gate) releaseSlot(now clock.Millis) []func() {
	return g.passSlot(now, g.slots.Release)
}

// returnSlot is releaseSlot for a request that was not sent to the backend server.
func (g *Gate) returnSlot(now clock.Millis) []func() {
	return g.passSlot(now, g.slots.Return)
}

func (g *Gate) passSlot(now clock.Millis, free func(clock.Millis) (uint64, bool)) []func() {
	defer g.schedulePaced(now)
	var calls []func()
	for {
		ticket, ok := free(now)
		free = g.slots.Return // a waiter that doesn't take the slot sends nothing
		calls = append(calls, g.refuseExpired(now)...)
		if !ok {
			return calls
		}
		call, takesSlot := g.startWaiter(now, ticket)
		if call != nil {
			calls = append(calls, call)
		}
		if takesSlot {
			return calls
		}
	}
}

// startWaiter returns the call that starts or notifies the waiter of a ticket which has got a
// slot, nil if there is no such waiter, and whether the waiter takes the slot. It is called
// with the gate's lock held.
func (g *Gate) startWaiter(now clock.Millis, ticket uint64) (call func(), takesSlot bool) {
	if j, ok := g.jobs[ticket]; ok {
		return func() { g.start(j) }, true
	}
	w, ok := g.waiters[ticket]
	if !ok {
		return nil, false
	}
	w.timer.Stop()
	delete(g.waiters, ticket)
	// Check the admission again, because the upstream's state may have changed meanwhile: a
	// failing upstream that fails fast is the first to free its slots.
	reason, retryAfter := g.refusalReason(now, lease.Fresh, newAdmission(w.arrivedAt, w.probe))
	if reason == "" {
		g.reserve(w)
	}
	reservation := g.newReservation(now, w, reason)
	reservation.RetryAfter = retryAfter
	return func() { w.respond(reservation) }, reason == ""
}

// classifyResult returns the result that an outcome counts as in the detector; tooShort means
// that the deadline was too short for a healthy upstream. Outcomes that are no evidence of a
// failure must not count as failed: shed load, the caller's own errors, and deadlines that no
// healthy upstream would have met.
func classifyResult(response Response, err error, tooShort bool) health.Result {
	switch {
	case errors.Is(err, ErrCancelled), errors.Is(err, errPanicked):
		return health.Cancelled
	case errors.Is(err, ErrTimeout) && tooShort:
		return health.ShortDeadline
	case errors.Is(err, ErrTimeout):
		return health.Overdue
	case errors.Is(err, ErrTooLarge) && !errors.Is(err, head.ErrTooLarge):
		return health.CallerFault // the request may have asked for that much
	case err != nil:
		return health.Failed
	case response.Overloaded:
		return health.Shed
	case response.Status >= 500:
		return health.Failed
	case response.Status >= 400:
		return health.CallerFault
	default:
		return health.Good
	}
}

// setOutcome sets the outcome, reason and response in a reply. The outcome is NotRun only if the
// backend server received nothing, or states itself that it did not begin the request.
func setOutcome(r *wire.Reply, response Response, err error) {
	switch {
	case errors.Is(err, ErrRefused):
		r.Outcome, r.Reason = wire.NotRun, wire.ReasonConnectionRefused
	case errors.Is(err, ErrTimeout):
		r.Outcome, r.Reason = wire.Broken, wire.ReasonTimeout
	case errors.Is(err, ErrTooLarge):
		r.Outcome, r.Reason = wire.Broken, wire.ReasonReplyTooLarge
	case errors.Is(err, ErrMismatchedReply):
		r.Outcome, r.Reason = wire.Broken, wire.ReasonMismatchedReply
	case errors.Is(err, ErrCancelled):
		r.Outcome, r.Reason = wire.Broken, wire.ReasonCallerLeft
	case errors.Is(err, ErrCrashed):
		r.Outcome, r.Reason = wire.Broken, wire.ReasonCrashed
	case errors.Is(err, errPanicked):
		r.Outcome, r.Reason = wire.Broken, wire.ReasonNodeFault
	case err != nil:
		r.Outcome, r.Reason = wire.Broken, wire.ReasonTruncated
	case response.Shed:
		r.Outcome, r.Reason, r.RetryAfter = wire.NotRun, wire.ReasonShed, response.RetryAfter
	default:
		r.Outcome, r.Status, r.Headers, r.Body, r.Length = wire.Answered, response.Status, response.Headers, response.Body, len(response.Body)
		r.RetryAfter = response.RetryAfter
	}
}
