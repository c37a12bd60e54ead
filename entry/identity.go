package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// authenticate finds the client account that holds the request's key. It returns false if
// the route requires a key and the request carries none that an account holds.
func (r *request) authenticate() bool {
	value, count := headerValue(&r.ctx.Request.Header, fasthttp.HeaderAuthorization)
	key, ok := r.entry.config.Headers.parseKey(value)
	if ok && count == 1 {
		r.account, _ = r.table.Account(key)
	}
	return r.account != nil || !r.table.NeedsKey(r.route)
}

// parseKey returns the client account's key from the value of the Authorization header,
// and false if the value has another scheme.
func (h *Headers) parseKey(value []byte) ([]byte, bool) {
	scheme, key, ok := bytes.Cut(value, []byte{' '})
	return bytes.TrimSpace(key), ok && bytes.EqualFold(scheme, []byte(h.KeyScheme))
}

// isKeyHeader reports whether a header may hold a client account's key, which must not
// reach an upstream. If the table has no keys, the header belongs to the upstream and is
// forwarded.
func (r *request) isKeyHeader(name, value []byte) bool {
	if !r.table.HasKeys() || !bytes.EqualFold(name, []byte(fasthttp.HeaderAuthorization)) {
		return false
	}
	_, ok := r.entry.config.Headers.parseKey(value)
	return ok || r.table.NeedsKey(r.route)
}

// accountName returns the name of the request's client account, empty if it has none.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// recordedCaller returns the caller's name for the request's record: the client account,
// or the caller's own name if there is no account.
func (r *request) recordedCaller() string {
	if r.account == nil {
		return r.caller
	}
	return r.account.Name
}

// priority returns the account's priority, or the route's if the account sets none.
func (r *request) priority() int {
	if r.account == nil || r.account.Priority == table.RoutePriority {
		return r.route.Priority
	}
	return r.account.Priority
}

// Quotas admits client accounts' requests within quotas that all nodes share.
type Quotas interface {
	// Admit waits until it is known whether the account may send one more request. Once the
	// given time has passed or gone is closed, the quota's state counts as unknown.
	Admit(a *table.Account, within clock.Millis, gone <-chan struct{}) Admission
	// Refund returns the admission of a request that was not run.
	Refund(a *table.Account)
}

// Admission is the decision on one request of a client account.
type Admission struct {
	OK bool
	// OverQuota means that the account is over its quota. If neither OK nor OverQuota is
	// set, the quota's state is unknown.
	OverQuota  bool
	RetryAfter clock.Millis
}

// checkQuota charges the request to its client account's quota. If the quota doesn't
// allow it, checkQuota returns the refusal and false.
func (r *request) checkQuota() (finalAnswer, bool) {
	quotas := r.entry.config.Quotas
	if quotas == nil || r.account == nil || r.route.Public {
		return finalAnswer{}, true
	}
	if r.isCallerGone() {
		return refused(fasthttp.StatusServiceUnavailable, string(wire.ReasonCallerLeft), 0), false
	}
	switch admission := quotas.Admit(r.account, r.deadline-r.entry.config.Now(), r.callerGone); {
	case admission.OK:
		r.isCharged = true
		return finalAnswer{}, true
	case admission.OverQuota:
		return refused(fasthttp.StatusTooManyRequests, access.ReasonAccountLimit, admission.RetryAfter), false
	default:
		return refused(fasthttp.StatusServiceUnavailable, access.ReasonQuotaUnknown, admission.RetryAfter), false
	}
}

// refundQuota returns the request's admission if the request was not run.
func (r *request) refundQuota(f *finalAnswer) {
	if r.isCharged && f.outcome == access.NotRun {
		r.entry.config.Quotas.Refund(r.account)
	}
}
