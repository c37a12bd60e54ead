package gate

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// Headers are the names of the headers between a gate and its backend server.
// An empty name isn't used.
type Headers struct {
	// Request carries the request's id. Where Instance is used too, the backend
	// server echoes it, and an answer under another id belongs to another
	// request.
	Request string
	// Deadline carries what is left of the deadline in milliseconds.
	Deadline string
	// Caller carries the caller's name.
	Caller string
	// Account carries the name of the client account whose key the request came with.
	Account string
	// Instance names the upstream that alone may run the request. Another one
	// that has its address now answers 421 and doesn't begin.
	Instance string
	// NotRun stands on an answer to a request that was not begun. With a
	// NotRunValue it counts only with that value, on a 429 or a 503.
	NotRun      string
	NotRunValue string
	// Seal stands on every answer of the backend server's own. A success
	// without it is none.
	Seal string
}

// DefaultHeaders are those of backend servers that know this project.
func DefaultHeaders() Headers {
	return Headers{
		Request:     HeaderRequest,
		Deadline:    HeaderDeadline,
		Caller:      HeaderCaller,
		Account:     HeaderAccount,
		NotRun:      HeaderBackend,
		NotRunValue: shed,
	}
}

// notRun reports whether the backend server says that it did not begin.
func (h *Headers) notRun(response *fasthttp.Response) bool {
	value, ok := headerValue(response, h.NotRun)
	status := response.StatusCode()
	if h.NotRunValue == "" {
		return ok || (h.Instance != "" && status == fasthttp.StatusMisdirectedRequest)
	}
	forLoad := status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
	return ok && forLoad && string(value) == h.NotRunValue
}

// headerValue returns a header of an answer. Names compare without regard to case.
func headerValue(response *fasthttp.Response, name string) ([]byte, bool) {
	if name == "" {
		return nil, false
	}
	for other, value := range response.Header.All() {
		if bytes.EqualFold(other, []byte(name)) {
			return value, true
		}
	}
	return nil, false
}
