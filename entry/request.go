package entry

import (
	"slices"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Header names that callers and entries use.
const (
	// HeaderOutcome carries the outcome: served, not-run or unknown.
	HeaderOutcome = "Fuchsiapick-Outcome"
	// HeaderReason says why a request was not served.
	HeaderReason = "Fuchsiapick-Reason"
	// HeaderRequest carries the request id.
	HeaderRequest = "Fuchsiapick-Request"
	// HeaderCaller names the caller; without it the caller is named by its IP address.
	HeaderCaller = "Fuchsiapick-Caller"
	// HeaderRetryAfter is how long a refused caller should wait, in milliseconds. The
	// value has jitter, so that callers refused together don't retry at the same time. The
	// standard header's whole seconds undo the jitter.
	HeaderRetryAfter = "Fuchsiapick-Retry-After"
	// HeaderDeadline shortens the service's deadline, in milliseconds.
	HeaderDeadline = "Fuchsiapick-Deadline"
)

// Headers are the header names and formats that a platform may configure.
type Headers struct {
	// Request carries the id that the caller gave the request. The id is forwarded to the
	// backend server and returned. Empty if callers give none.
	Request string
	// Deadline carries how long the caller will wait, in milliseconds.
	Deadline string
	// KeyScheme is the scheme in Authorization that precedes a client account's key.
	KeyScheme string
	// FractionalSeconds means that callers accept fractions of a second in Retry-After.
	// With whole seconds, callers refused together retry together.
	FractionalSeconds bool
}

// DefaultHeaders returns the headers that callers use unless a platform has its own.
func DefaultHeaders() Headers {
	return Headers{Deadline: HeaderDeadline, KeyScheme: "Bearer"}
}

// Reasons that only the entry gives, in addition to those of package access.
const (
	// reasonNoAnswer means that neither a reply nor a resolution arrived in time.
	reasonNoAnswer = "no-answer"
	// reasonNodeReplaced means that the gate which had the request no longer exists.
	reasonNodeReplaced = "node-replaced"
)

const (
	maxCallerLength = 64
	// resolveShare divides the deadline: this fraction is reserved for asking the gate
	// for the outcome of a request without an answer, so that fewer requests end as
	// unknown.
	resolveShare = 8
	// latencyMultiple is the minimum duration of an attempt, as a multiple of the
	// baseline latency. With the spread of latencies that real services show, few answers
	// take longer.
	latencyMultiple = 8
	// maxResolveTimeout bounds the time reserved by resolveShare. A resolution takes one
	// round trip, 2 ms between failure domains; the rest is for a busy node.
	maxResolveTimeout = clock.Millis(40)
)

// request is the state of one caller's request.
type request struct {
	entry           *Entry
	ctx             *fasthttp.RequestCtx
	id              wire.RequestID
	callerRequestID string // the id that the caller gave the request
	caller          string
	method          string
	target          string       // the request target as the caller sent it
	started         clock.Millis // when it had arrived in full
	handledAt       clock.Millis // when the server turned to it
	endedAt         clock.Millis // when its answer was decided on
	budget          clock.Millis // its timeout

	table       *table.Table
	route       *table.Route
	account     *table.Account // nil without a valid key
	isCharged   bool           // counted against the account's quota
	serviceName string         // the service that the route selects
	service     *service
	config      table.Service
	baseline    wire.Baseline
	deadline    clock.Millis // a point in time
	repeatable  bool

	// open is the attempt that hasn't ended, isAnswered whether the answer is written to ctx.
	open       *attempt
	isAnswered bool

	headers       wire.Headers
	body          []byte
	tried         []*member
	attempts      uint8 // numbers given to attempts, including those only probed
	sends         int   // attempts at a chosen upstream, sent or refused by its probe
	refused       int   // attempts that reached no upstream, since the last that did
	shed          int   // attempts that the upstream itself refused
	runs          int   // attempts that an upstream ran or may have run
	selection     selectionState
	reservation   reservation
	claims        int          // claims made, over all searches for a slot
	roomAt        clock.Millis // when a gate that was asked expects room; 0 if none said so
	attemptLog    attemptLog
	noRetryReason retry.Reason // why the request is not retried
	waited        clock.Millis // from arrival until the last attempt
	errorReply    *wire.Reply  // the last upstream's reply, if it is an error
	forced        bool
	callerGone    <-chan struct{} // closed when the caller has closed the connection
	// mayHaveRun means that an upstream may have run the request, so that its outcome
	// can't be NotRun any more.
	mayHaveRun bool
	// reachedUpstream means that an upstream has received the request, even if it refused
	// the request. Every further dispatch is then a retry.
	reachedUpstream bool
	// budgetRetryAfter is how long until a gate's quota may allow the retry that the gate
	// has denied; 0 if no gate denied one.
	budgetRetryAfter clock.Millis
	lastUpstream     table.Upstream // the upstream of the last attempt
	crossBytes       int            // bytes of bodies that crossed between failure domains
	idempotency      idempotency
	// fingerprint is computed on first use.
	fingerprint quarantine.Fingerprint
}

// finalAnswer is the answer to the caller.
type finalAnswer struct {
	outcome    access.Outcome
	status     int
	reason     string
	retryAfter clock.Millis
	reply      *wire.Reply
	replay     bool // the reply belongs to an earlier send of the same key
}

func refused(status int, reason string, after clock.Millis) finalAnswer {
	return finalAnswer{outcome: access.NotRun, status: status, reason: reason, retryAfter: after}
}

func (e *Entry) newRequest(ctx *fasthttp.RequestCtx) *request {
	callerRequestID, _ := headerValue(&ctx.Request.Header, e.config.Headers.Request)
	now := e.config.Now()
	return &request{
		entry:           e,
		ctx:             ctx,
		id:              wire.RequestID{Entry: e.config.Incarnation, Seq: e.sequence.Add(1)},
		callerRequestID: string(callerRequestID),
		caller:          e.callerOf(ctx),
		method:          string(ctx.Method()),
		target:          string(ctx.RequestURI()),
		started:         arrivalOf(ctx, now),
		handledAt:       now,
	}
}

func (r *request) serve() {
	if refusal, ok := r.admit(); !ok {
		r.finish(refusal)
		return
	}
	if now := r.entry.config.Now(); !r.hasTime(now) {
		r.finish(r.overdueAnswer(now))
		return
	}
	if refusal, ok := r.checkQuota(); !ok {
		r.finish(refusal)
		return
	}
	if answer, ok := r.checkResend(); ok {
		r.finish(answer)
		return
	}
	r.headers = r.forwardedHeaders()
	r.finish(r.run())
}

// run tries upstreams until the request has a final answer.
func (r *request) run() finalAnswer {
	if r.isCallerGone() {
		return refused(fasthttp.StatusServiceUnavailable, string(wire.ReasonCallerLeft), 0)
	}
	for {
		if r.isStopped() {
			r.dropReservation()
			return r.stoppedAnswer()
		}
		now := r.entry.config.Now()
		if !r.hasTime(now) {
			r.dropReservation()
			return r.overdueAnswer(now)
		}
		if !r.mayHaveRun && r.mayOutlastEntry(now) {
			r.dropReservation()
			return r.stoppedAnswer()
		}
		if status := r.quarantineStatus(); status.Verdict != quarantine.Free {
			r.dropReservation()
			if answer, done := r.tryAsSuspect(now, status); done {
				return answer
			}
			continue
		}
		choice, untried, ok := r.choose(now)
		if !ok {
			return r.noUpstreamLeft()
		}
		result := r.try(choice, untried)
		r.recordAttempt(&choice, &result, now)
		untried = r.recountUntried(&choice, &result, untried)
		if answer, done := r.handleResult(result, untried); done {
			return answer
		}
	}
}

// recountUntried returns how many upstreams are left to try after a gate has refused the
// request because its upstream is ejected or its rate limit admits none. Under the floor an
// ejected upstream, or another one instead, may now be in use. With the count from before the
// verdict was known, a request that can be served would be refused. A request that was revoked
// with its link may be sent to the same upstream again if it is the last one.
func (r *request) recountUntried(a *attempt, o *result, untried int) int {
	if o.isLinkReplaced && untried <= 0 {
		r.allowAgain(a.member)
		return r.service.countUntried(r.entry.config.Now(), r.demand(), r.tried)
	}
	if r.config.Caution != table.ShortEpisodes && o.isPaced {
		return r.service.countUntried(r.entry.config.Now(), r.demand(), r.tried)
	}
	if r.config.Caution == table.ShortEpisodes || o.kind != retry.NotRun || o.reason != string(wire.ReasonEjected) {
		return untried
	}
	now := r.entry.config.Now()
	if !a.forced && r.service.isForced(now, a.member) {
		r.allowAgain(a.member)
	}
	return r.service.countUntried(now, r.demand(), r.tried)
}

// allowAgain lets the request be sent to an upstream that was tried.
func (r *request) allowAgain(tried *member) {
	r.tried = slices.DeleteFunc(r.tried, func(m *member) bool { return m == tried })
}

// noUpstreamLeft returns the final answer when no upstream is left to try.
func (r *request) noUpstreamLeft() finalAnswer {
	if r.budgetRetryAfter > 0 {
		r.noRetryReason = retry.NoBudget
		return r.unserved(string(wire.ReasonRetryBudget), r.service.spreadRetryAfter(r.budgetRetryAfter))
	}
	return r.unserved(access.ReasonNoUpstream, r.retryAfter(r.entry.config.Now())) // the request may have waited
}

// unserved returns the final answer to a request that no upstream has served. An
// upstream's own reply, even if it is an error, tells the caller more than a refusal.
func (r *request) unserved(reason string, after clock.Millis) finalAnswer {
	switch {
	case r.errorReply != nil:
		return finalAnswer{outcome: access.Served, status: r.errorReply.Status, reply: r.errorReply, reason: access.ReasonUpstreamError, replay: r.errorReply.Replay}
	case r.mayHaveRun:
		return r.unknown(reason)
	default:
		return refused(fasthttp.StatusServiceUnavailable, reason, after)
	}
}

// hasTime reports whether an attempt that begins now can still be answered in time.
func (r *request) hasTime(now clock.Millis) bool {
	return r.deadline-now >= retry.MinRemaining
}

// overdueAnswer is the final answer to a request that has no time left for another attempt.
func (r *request) overdueAnswer(now clock.Millis) finalAnswer {
	if r.mayHaveRun {
		return r.unserved(string(wire.ReasonTimeout), 0)
	}
	return r.unserved(string(wire.ReasonDeadlineTooShort), r.retryAfter(now))
}

// handleResult returns the final answer that follows from an attempt's result, or false
// if the request is to be tried again.
func (r *request) handleResult(o result, untried int) (finalAnswer, bool) {
	r.recordResult(&o)
	r.updateProfile(&o)
	r.updateSizes(&o)
	if o.served {
		return finalAnswer{outcome: access.Served, status: o.reply.Status, reply: o.reply, replay: o.reply.Replay}, true
	}
	if answer, ok := r.keyRefusal(&o); ok {
		return answer, true
	}
	if o.reason == string(wire.ReasonQuarantined) {
		return r.quarantined(), true
	}
	if o.kind != retry.NotRun {
		r.mayHaveRun = true
		r.runs++
		r.errorReply = nil
		if o.reply != nil && o.reply.Outcome == wire.Answered {
			r.errorReply = o.reply
		}
	}
	if r.isCallerGone() {
		return r.unknown(string(wire.ReasonCallerLeft)), true
	}
	if r.isStopped() {
		return r.unserved(o.reason, max(o.retryAfter, r.service.retryAfter(r.entry.config.Now()))), true
	}
	if r.reservation.valid || r.continueSelection(&o) {
		return finalAnswer{}, false
	}
	decision := r.decideRetry(r.retryAttempt(&o, untried))
	if decision.Retry {
		r.logRetry(&o)
		return finalAnswer{}, false
	}
	r.recordNoRetry(decision)
	return r.unserved(o.reason, max(decision.RetryAfter, o.retryAfter)), true
}

// decideRetry decides on a retry and counts the part of the retry budget in the decision.
func (r *request) decideRetry(a retry.Attempt) retry.Decision {
	decision := r.service.decideRetry(r.entry.config.Now(), a)
	if decision.Ruling != "" && r.entry.config.Retries != nil {
		r.entry.config.Retries.RecordRetry(r.serviceName, decision.Ruling)
	}
	return decision
}

// retryAttempt describes the last attempt for the retry decision.
func (r *request) retryAttempt(o *result, untried int) retry.Attempt {
	return retry.Attempt{
		Result:         o.kind,
		RefusedForLoad: o.refusedForLoad(),
		Repeatable:     r.repeatable,
		Attempts:       r.sends,
		Refused:        r.refused,
		Shed:           r.shed,
		Runs:           r.runs,
		MaxRuns:        r.route.MaxAttempts,
		Remaining:      r.deadline - r.entry.config.Now(),
		RetryAfter:     o.retryAfter,
		Untried:        r.candidatesLeft(untried),
	}
}

// recordResult records how far an attempt got. An attempt that reached an upstream
// restarts the search for a slot.
func (r *request) recordResult(o *result) {
	if o.kind == retry.NotRun && !o.shed {
		r.refused++
		return
	}
	r.reachedUpstream, r.refused = true, 0
	r.resetSelection()
	if o.shed {
		r.shed++
	}
}

// unknown is the final answer when an upstream may have run the request and the outcome
// can't be determined.
func (r *request) unknown(reason string) finalAnswer {
	status := fasthttp.StatusBadGateway
	if reason == string(wire.ReasonTimeout) || reason == reasonNoAnswer {
		status = fasthttp.StatusGatewayTimeout
	}
	return finalAnswer{outcome: access.Unknown, status: status, reason: reason}
}

// finish writes the answer and records the finished request.
func (r *request) finish(f finalAnswer) {
	r.dropReservation()
	r.write(&f)
	r.isAnswered = true
	r.refundQuota(&f)
	now := r.entry.config.Now()
	record := access.Record{
		ID:         r.id.String(),
		Caller:     r.recordedCaller(),
		Method:     r.method,
		Outcome:    f.outcome,
		Reason:     f.reason,
		Attempts:   r.sends,
		Status:     f.status,
		Started:    r.started,
		Took:       now - r.started,
		Waited:     r.waited,
		NoRetry:    string(r.noRetryReason),
		Forced:     r.forced,
		Upstream:   r.lastUpstream.Name,
		Domain:     r.lastUpstream.Domain,
		CrossBytes: r.crossBytes,
	}
	if r.route != nil {
		record.Service, record.Route = r.serviceName, r.route.Prefix
	}
	if f.status >= fasthttp.StatusInternalServerError || f.status == fasthttp.StatusTooManyRequests {
		r.entry.failureTimes.record(now)
	}
	r.entry.config.Recorder.RequestFinished(now, record)
	r.log(&record, &f)
	r.watchDelivery()
}
