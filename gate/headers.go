package gate

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/announcement"
)

// Headers are the names of the headers between a gate and its backend server.
// A header with an empty name isn't used.
type Headers struct {
	// Request carries the request id. If Instance is set, too, the backend
	// server echoes the id, and a response with another id belongs to another
	// request.
	Request string
	// Deadline carries the time until the deadline in milliseconds.
	Deadline string
	// Caller carries the caller's name.
	Caller string
	// Account carries the name of the client account whose API key authenticated the
	// request.
	Account string
	// Instance carries the name of the only upstream that may run the request. Another
	// upstream that has taken over the address responds 421 and doesn't begin the request.
	Instance string
	// NotRun marks the response to a request that was not begun. If NotRunValue is
	// set, the header counts only with that value and on a 429 or a 503.
	NotRun      string
	NotRunValue string
	// Seal marks every response that the backend server itself wrote. A success
	// without this header is rejected.
	Seal string
	// Announcements are the response headers in which the backend server makes statements
	// about itself.
	Announcements announcement.Headers
}

// DefaultHeaders returns the names that backend servers with support for this project
// use.
func DefaultHeaders() Headers {
	return Headers{
		Request:     HeaderRequest,
		Deadline:    HeaderDeadline,
		Caller:      HeaderCaller,
		Account:     HeaderAccount,
		NotRun:      HeaderBackend,
		NotRunValue: shed,

		Announcements: announcement.Headers{RateLimit: HeaderRateLimit, Leaving: HeaderLeaving},
	}
}

// notRun reports whether the backend server states that it did not begin the request.
func (h *Headers) notRun(response *fasthttp.Response) bool {
	value, ok := headerValue(response, h.NotRun)
	status := response.StatusCode()
	if h.NotRunValue == "" {
		return ok || (h.Instance != "" && status == fasthttp.StatusMisdirectedRequest)
	}
	forLoad := status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
	return ok && forLoad && string(value) == h.NotRunValue
}

// announcement returns what the upstream states about itself in a response, or false if the
// response comes from another upstream, which has taken over the address.
func (h *Headers) announcement(response *fasthttp.Response) (announcement.Announcement, bool) {
	if h.Instance != "" && response.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return announcement.Announcement{}, false
	}
	return h.Announcements.Read(func(name string) ([]byte, bool) { return headerValue(response, name) }), true
}

// headerValue returns the value of a response header, and whether the response has it.
// Names are compared case-insensitively.
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
