package gate

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/wire"
)

// start hands a job that has a slot to the pool's workers.
func (g *Gate) start(j *job) {
	if err := g.config.Pool.Submit(func() { g.run(j) }); err != nil {
		g.log.WithError(err).Warn("request not run")
		g.finishNotRun(j, wire.ReasonFull)
	}
}

func (g *Gate) run(j *job) {
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
	answer, err := g.config.Backend.Do(ctx, &Call{
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
	g.finish(j, now, answer, g.detectCrash(j, err))
}

// callContext returns what a job's call ends with early: the caller's leaving, for
// one that may run more than once.
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

// begin is the last step before the request goes out. A dispatch that was
// settled as not run while it waited stops here, as does a retry for which the budget
// has no room any more or one whose request is quarantined; the reason says so. A
// suspected one may have to wait for another's end.
func (g *Gate) begin(j *job) (clock.Millis, wire.Reason, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	if now >= j.deadline {
		return now, wire.ReasonRevoked, false
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
	if j.timer != nil {
		j.timer.Stop()
	}
	g.watchRun(now, j)
	return now, "", false
}

// beginRun marks the dispatch as begun and counts its arrival, or says why it may not
// begin. A retry is counted here, as it is sent: it may have waited since it was granted.
func (g *Gate) beginRun(now clock.Millis, j *job) wire.Reason {
	if j.dispatch.Retry && !g.quota.Allows(now, false) {
		g.dedup.Refuse(j.key)
		return wire.ReasonRetryBudget
	}
	if !g.dedup.Begin(now, j.key) {
		return wire.ReasonRevoked
	}
	if j.dispatch.Retry {
		g.quota.Spend(now)
	} else {
		g.quota.RecordRequest(now)
	}
	return ""
}

func (g *Gate) finish(j *job, began clock.Millis, a Response, err error) {
	g.mu.Lock()
	now := g.config.Now()
	j.timer.Stop()
	delete(g.jobs, j.ticket)
	isCurrent := j.generation == g.generation
	g.recordFinished(now, j, a, err)
	if isCurrent {
		g.observeRun(now, j, a, err)
	}
	var calls []func()
	if isCurrent {
		calls = g.releaseSlot(now) // first: the reply says how busy the upstream is now
	}
	calls = append(calls, g.endTrial(j)...)
	reply := g.reply(now, j.dispatch)
	reply.Took = now - began
	fillReply(reply, a, err)
	g.endKey(j.dispatch, reply)
	g.dedup.Finish(j.key, retainedReply(j.dispatch, reply))
	g.mu.Unlock()
	j.answer(reply)
	g.logOutcome(j.dispatch, reply, now-began, err)
	callAll(calls)
}

// dependencyFailed reports whether a failure answer may be that of a call which the
// backend server made. Held against it, sickness of one service would spread to
// those that call it as false ejections.
func (g *Gate) dependencyFailed(from, to clock.Millis) bool {
	return g.config.DependencyFailed != nil && g.config.DependencyFailed(from, to)
}

// logOutcome leaves a line, under the id that entry and report know too, of a
// request that the backend server did not answer.
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

// retainedReply is the reply that a settlement may ask for again. A repeatable request
// is sent anew in place of asking, so its answer takes no memory here.
func retainedReply(d *wire.Dispatch, reply *wire.Reply) *wire.Reply {
	if d.Repeatable {
		return nil
	}
	return reply
}

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
	calls := append(g.releaseSlot(now), g.endTrial(j)...)
	g.mu.Unlock()
	j.answer(reply)
	callAll(calls)
}

// releaseSlot frees a slot. It returns what is to be done then: the refusals of waiters
// that were passed over, and the turn of the one that takes it. The gate's lock is
// held.
func (g *Gate) releaseSlot(now clock.Millis) []func() {
	var calls []func()
	for {
		ticket, ok := g.slots.Release(now)
		calls = append(calls, g.refuseExpired(now)...)
		if !ok {
			return calls
		}
		turn, takesSlot := g.startWaiter(now, ticket)
		if turn != nil {
			calls = append(calls, turn)
		}
		if takesSlot {
			return calls
		}
	}
}

// startWaiter is what the waiter of a ticket does now that it has a slot, nil if there is none,
// and whether it takes the slot. The gate's lock is held.
func (g *Gate) startWaiter(now clock.Millis, ticket uint64) (call func(), takesSlot bool) {
	if j, ok := g.jobs[ticket]; ok {
		return func() { g.start(j) }, true
	}
	p, ok := g.waiters[ticket]
	if !ok {
		return nil, false
	}
	p.timer.Stop()
	delete(g.waiters, ticket)
	// What has changed while it waited counts: an upstream that fails fast frees its
	// slots first.
	reason, after := g.refusalReason(now, lease.Fresh, admissionOf(p.probe))
	if reason == "" {
		g.reserve(p.key)
	}
	h := g.newReservation(now, p, reason)
	h.RetryAfter = after
	return func() { p.respond(h) }, reason == ""
}

// resultOf sorts an outcome for the verdict. What says nothing about sickness
// must not count as failed: shed load, the caller's own faults, and deadlines
// that no healthy upstream would have met.
func resultOf(a Response, err error, tooShort bool) health.Result {
	switch {
	case errors.Is(err, ErrCancelled):
		return health.Cancelled
	case errors.Is(err, ErrTimeout) && tooShort:
		return health.ShortDeadline
	case errors.Is(err, ErrTimeout):
		return health.Overdue
	case errors.Is(err, ErrTooLarge):
		return health.CallerFault
	case err != nil:
		return health.Failed
	case a.Overloaded:
		return health.Shed
	case a.Status >= 500:
		return health.Failed
	case a.Status >= 400:
		return health.CallerFault
	default:
		return health.Good
	}
}

// fillReply fills in what the entry is told. Not run is said only where the
// backend server got nothing, or says itself that it did not begin.
func fillReply(r *wire.Reply, a Response, err error) {
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
	case err != nil:
		r.Outcome, r.Reason = wire.Broken, wire.ReasonTruncated
	case a.Shed:
		r.Outcome, r.Reason, r.RetryAfter = wire.NotRun, wire.ReasonShed, a.RetryAfter
	default:
		r.Outcome, r.Status, r.Headers, r.Body, r.Length = wire.Answered, a.Status, a.Headers, a.Body, len(a.Body)
		r.RetryAfter = a.RetryAfter
	}
}
