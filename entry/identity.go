package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/table"
)

// identify finds the client account that the request's key belongs to. It returns false
// where the route asks for a key and there is none that an account holds.
func (r *request) identify() bool {
	value, count := field(&r.ctx.Request.Header, fasthttp.HeaderAuthorization)
	key, ok := r.entry.config.Headers.key(value)
	if ok && count == 1 {
		r.account, _ = r.table.Account(key)
	}
	return r.account != nil || !r.table.NeedsKey(r.route)
}

// key reads the key of a client account from the value of Authorization.
func (h *Headers) key(value []byte) ([]byte, bool) {
	scheme, key, ok := bytes.Cut(value, []byte{' '})
	return bytes.TrimSpace(key), ok && bytes.EqualFold(scheme, []byte(h.KeyScheme))
}

// isKey reports whether a header may hold the key of a client account, which no upstream
// is to see. Where there are no accounts the header is the upstream's own matter.
func (r *request) isKey(name, value []byte) bool {
	if !r.table.HasKeys() || !bytes.EqualFold(name, []byte(fasthttp.HeaderAuthorization)) {
		return false
	}
	_, ok := r.entry.config.Headers.key(value)
	return ok || r.table.NeedsKey(r.route)
}

// accountName is the name of the request's client account, empty without one.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// accountable is whom the record of the request names: the client account, or else what
// the caller calls itself.
func (r *request) accountable() string {
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
