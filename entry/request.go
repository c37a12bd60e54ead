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
	// Fractions says that callers read fractions of a second in Retry-After: in
	// whole seconds, those refused together would come back together.
	Fractions bool
}

// DefaultHeaders are those of callers that know this project.
func DefaultHeaders() Headers {
	return Headers{Deadline: HeaderDeadline, KeyScheme: "Bearer"}
}

// Reasons of the entry itself, beside those that reports know.
const (
	// reasonSilent means that neither an answer nor a settlement came in time.
	reasonSilent = "no-answer"
	// reasonReplaced means that the gate which had the request is gone.
	reasonReplaced = "node-replaced"
)

const (
	longestCaller = 64
	// settleShare is the part of the deadline kept back to ask the gate what
	// became of a request that got no answer, so that fewer end as unknown.
	settleShare = 8
	// patience is how many times the usual latency a try lasts at least: of
	// answers as widely spread as those of real services few take longer.
	patience = 8
	// settleMost bounds it: a settlement takes one round trip, 2 ms between
	// failure domains, and the rest is for a busy node.
	settleMost = clock.Millis(40)
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

	table      *table.Table
	route      *table.Route
	account    *table.Account // nil without a key
	isCharged  bool           // counted against the account's quota
	target     string         // the service that the route leads to
	service    *service
	config     table.Service
	baseline   wire.Baseline
	deadline   clock.Millis // an instant
	repeatable bool

	headers  wire.Headers
	body     []byte
	tried    []*member
	attempts uint8 // numbers given to attempts, asked for or sent
	sends    int
	refused  int // attempts that reached no upstream, since the last that did
	shed     int // attempts that an upstream refused itself
	ran      int // attempts that an upstream ran, or may have run
	progress progress
	next     next
	trail    trail
	why      retry.Reason // of not being sent again
	waited   clock.Millis // until the last try
	failed   *wire.Reply  // the last upstream's own answer, an error
	forced   bool
	left     <-chan struct{} // closed when the caller has left
	// begun means that an upstream may have run the request: it can't be
	// refused as not run any more.
	begun bool
	// arrived means that an upstream has got the request, be it to refuse it: each
	// further dispatch is a retry.
	arrived bool
	// denied is when a retry may be granted that a gate's quota had no room for; 0
	// without one.
	denied clock.Millis
	last   table.Upstream // tried last
	sent   sent
	// fingerprint is worked out when it is needed first.
	fingerprint quarantine.Fingerprint
}

// final is the answer that the caller gets.
type final struct {
	outcome    access.Outcome
	status     int
	reason     string
	retryAfter clock.Millis
	reply      *wire.Reply
	replay     bool // of an earlier send of the same key
}

func refused(status int, reason string, after clock.Millis) final {
	return final{outcome: access.NotRun, status: status, reason: reason, retryAfter: after}
}

func (e *Entry) newRequest(ctx *fasthttp.RequestCtx) *request {
	label, _ := field(&ctx.Request.Header, e.config.Headers.Request)
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
	if refusal, ok := r.withinQuota(); !ok {
		r.finish(refusal)
		return
	}
	if answer, ok := r.settled(); ok {
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
func (r *request) run() final {
	if r.hasLeft() {
		return refused(fasthttp.StatusServiceUnavailable, string(wire.ReasonLeft), 0)
	}
	for {
		now := r.entry.config.Now()
		if standing := r.standing(); standing.Verdict != quarantine.Free {
			r.dropNext()
			if answer, done := r.tryAsSuspect(now, standing); done {
				return answer
			}
			continue
		}
		choice, untried, ok := r.choose(now)
		if !ok {
			return r.nowhere(now)
		}
		result := r.try(now, choice, untried)
		r.note(&choice, &result, now)
		untried = r.countAnew(&choice, &result, untried)
		if answer, done := r.judge(result, untried); done {
			return answer
		}
	}
}

// countAnew is how many upstreams are left to try after a gate has refused the request by
// its verdict. The floor may keep that one in use, or another in its place: what was
// counted before the verdict was known would refuse a request that can be served.
func (r *request) countAnew(a *attempt, o *result, untried int) int {
	if r.config.Caution == table.Brief || o.kind != retry.NotRun || o.reason != string(wire.ReasonAside) {
		return untried
	}
	now := r.entry.config.Now()
	if !a.forced && r.service.keeps(now, a.member) {
		r.tried = slices.DeleteFunc(r.tried, func(m *member) bool { return m == a.member })
	}
	return r.service.untried(now, r.repeatable, r.tried)
}

// nowhere is the final answer when no upstream is left to try.
func (r *request) nowhere(now clock.Millis) final {
	if r.denied > 0 {
		r.why = retry.NoBudget
		return r.unserved(string(wire.ReasonBudget), r.service.spread(r.denied))
	}
	return r.unserved(access.ReasonNoUpstream, r.service.comeBack(now))
}

// unserved is the final answer of a request that no upstream has served: an upstream's
// own answer, though an error, says more than ours.
func (r *request) unserved(reason string, after clock.Millis) final {
	switch {
	case r.failed != nil:
		return final{outcome: access.Served, status: r.failed.Status, reply: r.failed, reason: access.ReasonUpstreamError, replay: r.failed.Replay}
	case r.begun:
		return r.unknown(reason)
	default:
		return refused(fasthttp.StatusServiceUnavailable, reason, after)
	}
}

// judge turns the result of a try into the final answer, or lets the next try
// go on.
func (r *request) judge(o result, untried int) (final, bool) {
	r.count(&o)
	r.learn(&o)
	if o.served {
		return final{outcome: access.Served, status: o.reply.Status, reply: o.reply, replay: o.reply.Replay}, true
	}
	if answer, ok := r.keyed(&o); ok {
		return answer, true
	}
	if o.reason == string(wire.ReasonQuarantined) {
		return r.quarantined(), true
	}
	if o.kind != retry.NotRun {
		r.begun = true
		r.ran++
		r.failed = nil
		if o.reply != nil && o.reply.Outcome == wire.Answered {
			r.failed = o.reply
		}
	}
	if r.hasLeft() {
		return r.unknown(string(wire.ReasonLeft)), true
	}
	if r.next.isKept || r.asksOn(&o) {
		return final{}, false
	}
	decision := r.service.retry(r.entry.config.Now(), r.attempted(&o, untried))
	if decision.Retry {
		return final{}, false
	}
	r.verdictOnRetry(decision)
	return r.unserved(o.reason, max(decision.RetryAfter, o.after)), true
}

// attempted describes the last try for the decision on another one.
func (r *request) attempted(o *result, untried int) retry.Attempt {
	return retry.Attempt{
		Result:         o.kind,
		RefusedForLoad: o.full,
		Repeatable:     r.repeatable,
		Attempts:       r.sends,
		Refused:        r.refused,
		Shed:           r.shed,
		Runs:           r.ran,
		MaxRuns:        r.route.Attempts,
		Remaining:      r.deadline - r.entry.config.Now(),
		RetryAfter:     o.after,
		Untried:        r.placesLeft(untried),
	}
}

// count takes in how far a try got. One that reached an upstream begins a new search.
func (r *request) count(o *result) {
	if o.kind == retry.NotRun && !o.arrived {
		r.refused++
		return
	}
	r.arrived, r.refused = true, 0
	r.searchAnew()
	if o.arrived {
		r.shed++
	}
}

// unknown is said when an upstream may have run the request and its outcome
// can't be learned.
func (r *request) unknown(reason string) final {
	status := fasthttp.StatusBadGateway
	if reason == string(wire.ReasonTimeout) || reason == reasonSilent {
		status = fasthttp.StatusGatewayTimeout
	}
	return final{outcome: access.Unknown, status: status, reason: reason}
}

// finish writes the answer and closes the account.
func (r *request) finish(f final) {
	r.dropNext()
	r.write(&f)
	r.giveBack(&f)
	now := r.entry.config.Now()
	record := access.Record{
		ID:       r.id.String(),
		Caller:   r.accountable(),
		Method:   r.method,
		Outcome:  f.outcome,
		Reason:   f.reason,
		Attempts: r.sends,
		Status:   f.status,
		Started:  r.started,
		Took:     now - r.started,
		Waited:   r.waited,
		NoRetry:  string(r.why),
		Forced:   r.forced,
		Upstream: r.last.Name,
		Domain:   r.last.Domain,
	}
	if r.route != nil {
		record.Service, record.Route = r.target, r.route.Prefix
	}
	if f.status >= fasthttp.StatusInternalServerError || f.status == fasthttp.StatusTooManyRequests {
		r.entry.failures.note(now)
	}
	r.entry.config.Journal.Close(now, record)
	r.log(&record, &f)
}
