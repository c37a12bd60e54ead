package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// authenticate finds the client account that the request's key belongs to. It returns false
// where the route asks for a key and there is none that an account holds.
func (r *request) authenticate() bool {
	value, count := headerValue(&r.ctx.Request.Header, fasthttp.HeaderAuthorization)
	key, ok := r.entry.config.Headers.parseKey(value)
	if ok && count == 1 {
		r.account, _ = r.table.Account(key)
	}
	return r.account != nil || !r.table.NeedsKey(r.route)
}

// parseKey reads the key of a client account from the value of Authorization.
func (h *Headers) parseKey(value []byte) ([]byte, bool) {
	scheme, key, ok := bytes.Cut(value, []byte{' '})
	return bytes.TrimSpace(key), ok && bytes.EqualFold(scheme, []byte(h.KeyScheme))
}

// isKeyHeader reports whether a header may hold the key of a client account, which no upstream
// is to see. Where there are no accounts the header is the upstream's own matter.
func (r *request) isKeyHeader(name, value []byte) bool {
	if !r.table.HasKeys() || !bytes.EqualFold(name, []byte(fasthttp.HeaderAuthorization)) {
		return false
	}
	_, ok := r.entry.config.Headers.parseKey(value)
	return ok || r.table.NeedsKey(r.route)
}

// accountName is the name of the request's client account, empty without one.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// recordedCaller is whom the record of the request names: the client account, or else what
// the caller calls itself.
func (r *request) recordedCaller() string {
	if r.account == nil {
		return r.caller
	}
	return r.account.Name
}

// priority ranks the request. An account's own goes before that of the route.
func (r *request) priority() int {
	if r.account == nil || r.account.Priority == table.RoutePriority {
		return r.route.Priority
	}
	return r.account.Priority
}

// Quotas admits requests of client accounts within the quotas that hold for all nodes
// together.
type Quotas interface {
	// Admit waits until it is known whether one more request may be sent, or until left
	// is closed.
	Admit(a *table.Account, left <-chan struct{}) Admission
	// Refund takes back the admission of a request that was not run.
	Refund(a *table.Account)
}

// Admission is the answer to one request of a client account.
type Admission struct {
	OK bool
	// OverQuota says that the account is over its quota; without it and OK it could not be
	// found out.
	OverQuota  bool
	RetryAfter clock.Millis
}

// checkQuota asks whether the client account may send one more request.
func (r *request) checkQuota() (finalAnswer, bool) {
	quotas := r.entry.config.Quotas
	if quotas == nil || r.account == nil || r.route.Public {
		return finalAnswer{}, true
	}
	if r.isCallerGone() {
		return refused(fasthttp.StatusServiceUnavailable, string(wire.ReasonCallerLeft), 0), false
	}
	switch admission := quotas.Admit(r.account, r.callerGone); {
	case admission.OK:
		r.isCharged = true
		return finalAnswer{}, true
	case admission.OverQuota:
		return refused(fasthttp.StatusTooManyRequests, access.ReasonAccountLimit, admission.RetryAfter), false
	default:
		return refused(fasthttp.StatusServiceUnavailable, access.ReasonQuotaUnknown, admission.RetryAfter), false
	}
}

// refundQuota returns the request's admission where nothing has run.
func (r *request) refundQuota(f *finalAnswer) {
	if r.isCharged && f.outcome == access.NotRun {
		r.entry.config.Quotas.Refund(r.account)
	}
}
