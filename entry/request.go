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

// Headers between callers and an entry.
const (
	// HeaderOutcome tells the three final answers apart: served, not-run,
	// unknown.
	HeaderOutcome = "Fuchsiapick-Outcome"
	// HeaderReason says why a request was not served.
	HeaderReason = "Fuchsiapick-Reason"
	// HeaderRequest carries the request id.
	HeaderRequest = "Fuchsiapick-Request"
	// HeaderCaller names the caller; without it the caller is its IP number.
	HeaderCaller = "Fuchsiapick-Caller"
	// HeaderRetryAfter is when to come back in milliseconds, spread so that
	// refused callers don't come back as one wave: the standard header's whole
	// seconds undo the spreading.
	HeaderRetryAfter = "Fuchsiapick-Retry-After"
	// HeaderDeadline shortens the service's deadline, in milliseconds.
	HeaderDeadline = "Fuchsiapick-Deadline"
)

// Headers are the names of those headers that a platform may call otherwise.
type Headers struct {
	// Request carries the id that the caller gave the request; it goes on to
	// the backend server and back. Empty where callers give none.
	Request string
	// Deadline carries how many milliseconds the caller will wait.
	Deadline string
	// KeyScheme stands before the key of a client account in Authorization.
	KeyScheme string
	// FractionalSeconds says that callers read fractions of a second in Retry-After: in
	// whole seconds, those refused together would come back together.
	FractionalSeconds bool
}

// DefaultHeaders are those of callers that know this project.
func DefaultHeaders() Headers {
	return Headers{Deadline: HeaderDeadline, KeyScheme: "Bearer"}
}

// Reasons of the entry itself, beside those that reports know.
const (
	// reasonNoAnswer means that neither an answer nor a settlement came in time.
	reasonNoAnswer = "no-answer"
	// reasonNodeReplaced means that the gate which had the request is gone.
	reasonNodeReplaced = "node-replaced"
)

const (
	maxCallerLength = 64
	// resolveShare is the part of the deadline kept back to ask the gate what
	// became of a request that got no answer, so that fewer end as unknown.
	resolveShare = 8
	// latencyMultiple is how many times the usual latency a try lasts at least: of
	// answers as widely spread as those of real services few take longer.
	latencyMultiple = 8
	// maxResolveTimeout bounds it: a settlement takes one round trip, 2 ms between
	// failure domains, and the rest is for a busy node.
	maxResolveTimeout = clock.Millis(40)
)

// request is one request of a caller on its way.
type request struct {
	entry   *Entry
	ctx     *fasthttp.RequestCtx
	id      wire.RequestID
	label   string // the caller's own id of the request
	caller  string
	method  string
	started clock.Millis

	table       *table.Table
	route       *table.Route
	account     *table.Account // nil without a key
	isCharged   bool           // counted against the account's quota
	serviceName string         // the service that the route leads to
	service     *service
	config      table.Service
	baseline    wire.Baseline
	deadline    clock.Millis // an instant
	repeatable  bool

	headers       wire.Headers
	body          []byte
	tried         []*member
	attempts      uint8 // numbers given to attempts, asked for or sent
	sends         int
	refused       int // attempts that reached no upstream, since the last that did
	shed          int // attempts that an upstream refused itself
	ran           int // attempts that an upstream ran, or may have run
	selection     selectionState
	reservation   reservation
	attemptLog    attemptLog
	noRetryReason retry.Reason // of not being sent again
	waited        clock.Millis // until the last try
	errorReply    *wire.Reply  // the last upstream's own answer, an error
	forced        bool
	callerGone    <-chan struct{} // closed when the caller has left
	// mayHaveRun means that an upstream may have run the request: it can't be
	// refused as not run any more.
	mayHaveRun bool
	// reachedUpstream means that an upstream has got the request, be it to refuse it: each
	// further dispatch is a retry.
	reachedUpstream bool
	// budgetRetryAfter is when a retry may be granted that a gate's quota had no room for; 0
	// without one.
	budgetRetryAfter clock.Millis
	lastUpstream     table.Upstream // tried last
	idempotency      idempotency
	// fingerprint is worked out when it is needed first.
	fingerprint quarantine.Fingerprint
}

// finalAnswer is the answer that the caller gets.
type finalAnswer struct {
	outcome    access.Outcome
	status     int
	reason     string
	retryAfter clock.Millis
	reply      *wire.Reply
	replay     bool // of an earlier send of the same key
}

func refused(status int, reason string, after clock.Millis) finalAnswer {
	return finalAnswer{outcome: access.NotRun, status: status, reason: reason, retryAfter: after}
}

func (e *Entry) newRequest(ctx *fasthttp.RequestCtx) *request {
	label, _ := headerValue(&ctx.Request.Header, e.config.Headers.Request)
	return &request{
		entry:   e,
		ctx:     ctx,
		id:      wire.RequestID{Entry: e.config.Incarnation, Seq: e.sequence.Add(1)},
		label:   string(label),
		caller:  e.callerOf(ctx),
		method:  string(ctx.Method()),
		started: e.config.Now(),
	}
}

func (r *request) serve() {
	if refusal, ok := r.admit(); !ok {
		r.finish(refusal)
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
	// A gate may still hold the body when the caller's connection already
	// carries the next request in the same buffer.
	r.body = append(r.body, r.ctx.PostBody()...)
	r.finish(r.run())
}

// run tries upstreams until the request has a final answer.
func (r *request) run() finalAnswer {
	if r.isCallerGone() {
		return refused(fasthttp.StatusServiceUnavailable, string(wire.ReasonCallerLeft), 0)
	}
	for {
		now := r.entry.config.Now()
		if standing := r.quarantineStatus(); standing.Verdict != quarantine.Free {
			r.dropReservation()
			if answer, done := r.tryAsSuspect(now, standing); done {
				return answer
			}
			continue
		}
		choice, untried, ok := r.choose(now)
		if !ok {
			return r.noUpstreamLeft(now)
		}
		result := r.try(now, choice, untried)
		r.recordAttempt(&choice, &result, now)
		untried = r.recountUntried(&choice, &result, untried)
		if answer, done := r.handleResult(result, untried); done {
			return answer
		}
	}
}

// recountUntried is how many upstreams are left to try after a gate has refused the request by
// its verdict. The floor may keep that one in use, or another in its place: what was
// counted before the verdict was known would refuse a request that can be served.
func (r *request) recountUntried(a *attempt, o *result, untried int) int {
	if r.config.Caution == table.ShortEpisodes || o.kind != retry.NotRun || o.reason != string(wire.ReasonEjected) {
		return untried
	}
	now := r.entry.config.Now()
	if !a.forced && r.service.isForced(now, a.member) {
		r.tried = slices.DeleteFunc(r.tried, func(m *member) bool { return m == a.member })
	}
	return r.service.countUntried(now, r.repeatable, r.tried)
}

// noUpstreamLeft is the final answer when no upstream is left to try.
func (r *request) noUpstreamLeft(now clock.Millis) finalAnswer {
	if r.budgetRetryAfter > 0 {
		r.noRetryReason = retry.NoBudget
		return r.unserved(string(wire.ReasonRetryBudget), r.service.spreadRetryAfter(r.budgetRetryAfter))
	}
	return r.unserved(access.ReasonNoUpstream, r.service.retryAfter(now))
}

// unserved is the final answer of a request that no upstream has served: an upstream's
// own answer, though an error, says more than ours.
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

// handleResult turns the result of a try into the final answer, or lets the next try
// go on.
func (r *request) handleResult(o result, untried int) (finalAnswer, bool) {
	r.recordResult(&o)
	r.updateProfile(&o)
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
		r.ran++
		r.errorReply = nil
		if o.reply != nil && o.reply.Outcome == wire.Answered {
			r.errorReply = o.reply
		}
	}
	if r.isCallerGone() {
		return r.unknown(string(wire.ReasonCallerLeft)), true
	}
	if r.reservation.valid || r.continueSelection(&o) {
		return finalAnswer{}, false
	}
	decision := r.service.decideRetry(r.entry.config.Now(), r.retryAttempt(&o, untried))
	if decision.Retry {
		return finalAnswer{}, false
	}
	r.recordNoRetry(decision)
	return r.unserved(o.reason, max(decision.RetryAfter, o.retryAfter)), true
}

// retryAttempt describes the last try for the decision on another one.
func (r *request) retryAttempt(o *result, untried int) retry.Attempt {
	return retry.Attempt{
		Result:         o.kind,
		RefusedForLoad: o.full,
		Repeatable:     r.repeatable,
		Attempts:       r.sends,
		Refused:        r.refused,
		Shed:           r.shed,
		Runs:           r.ran,
		MaxRuns:        r.route.MaxAttempts,
		Remaining:      r.deadline - r.entry.config.Now(),
		RetryAfter:     o.retryAfter,
		Untried:        r.candidatesLeft(untried),
	}
}

// recordResult takes in how far a try got. One that reached an upstream begins a new search.
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

// unknown is said when an upstream may have run the request and its outcome
// can't be learned.
func (r *request) unknown(reason string) finalAnswer {
	status := fasthttp.StatusBadGateway
	if reason == string(wire.ReasonTimeout) || reason == reasonNoAnswer {
		status = fasthttp.StatusGatewayTimeout
	}
	return finalAnswer{outcome: access.Unknown, status: status, reason: reason}
}

// finish writes the answer and closes the account.
func (r *request) finish(f finalAnswer) {
	r.dropReservation()
	r.write(&f)
	r.refundQuota(&f)
	now := r.entry.config.Now()
	record := access.Record{
		ID:       r.id.String(),
		Caller:   r.recordedCaller(),
		Method:   r.method,
		Outcome:  f.outcome,
		Reason:   f.reason,
		Attempts: r.sends,
		Status:   f.status,
		Started:  r.started,
		Took:     now - r.started,
		Waited:   r.waited,
		NoRetry:  string(r.noRetryReason),
		Forced:   r.forced,
		Upstream: r.lastUpstream.Name,
		Domain:   r.lastUpstream.Domain,
	}
	if r.route != nil {
		record.Service, record.Route = r.serviceName, r.route.Prefix
	}
	if f.status >= fasthttp.StatusInternalServerError || f.status == fasthttp.StatusTooManyRequests {
		r.entry.failureTimes.record(now)
	}
	r.entry.config.Recorder.RequestFinished(now, record)
	r.log(&record, &f)
}
