package gate

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/announcement"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/head"
	"fuchsiapick.example/fuchsiapick/memory"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Errors of a call to the backend server.
const (
	// ErrRefused means that no connection could be opened: the backend server
	// received nothing.
	ErrRefused   = errors.ConstError("backend server refused the connection")
	ErrTimeout   = errors.ConstError("backend server didn't respond in time")
	ErrTruncated = errors.ConstError("backend server's response was truncated")
	// ErrCrashed means that the response was truncated because the backend server's
	// process ended. Do doesn't return it: the gate detects the crash.
	ErrCrashed  = errors.ConstError("backend server's process ended while it ran the request")
	ErrTooLarge = errors.ConstError("backend server's response is too large")
	// ErrMismatchedReply means a response that isn't the backend server's response to
	// this request: it has no seal, another request id or a content encoding.
	ErrMismatchedReply = errors.ConstError("backend server's response doesn't belong to the request")
	// ErrCancelled means that nobody waits for the response: the caller has disconnected, or
	// the entry has given up a repeatable run that has hung or sent no response in time.
	ErrCancelled = errors.ConstError("nobody waits for the response")
)

// Headers between a gate and a backend server that supports this project's headers.
const (
	// HeaderRequest carries the request id.
	HeaderRequest = "Fuchsiapick-Request"
	// HeaderDeadline carries the time until the deadline in milliseconds.
	HeaderDeadline = "Fuchsiapick-Deadline"
	// HeaderBackend, with the value "shed", marks a 429 or 503 response of a
	// backend server that did not begin the request.
	HeaderBackend = "Fuchsiapick-Backend"
	// HeaderCaller carries the caller's name.
	HeaderCaller = "Fuchsiapick-Caller"
	// HeaderAccount carries the name of the client account.
	HeaderAccount = "Fuchsiapick-Account"
	// HeaderRateLimit carries the requests per second that the backend server accepts.
	HeaderRateLimit = "Fuchsiapick-Rate-Limit"
	// HeaderLeaving, with the value "1", states that the backend server shuts down.
	HeaderLeaving = "Fuchsiapick-Leaving"
	shed          = "shed"
)

// Call is one request to the backend server.
type Call struct {
	// ID is the request id that the backend server receives.
	ID     string
	Caller string
	// Account is the client account's name, empty without one.
	Account  string
	Method   string
	URI      string
	Headers  wire.Headers
	Body     []byte
	Deadline clock.Millis
	// Repeatable requests may use any idle connection, others only one that was in use
	// a moment ago.
	Repeatable bool
}

// Response is a complete response of the backend server.
type Response struct {
	Status  int
	Headers wire.Headers
	Body    []byte
	// Shed means that the backend server states that it did not begin the request.
	Shed bool
	// Overloaded means that the backend server refused the request for load, whether it
	// began the request or not.
	Overloaded bool
	// RetryAfter is the delay that the backend server asks for; 0 if it names none.
	RetryAfter clock.Millis
	// Announcement is what the upstream states about itself, if HasAnnouncement is set.
	Announcement    announcement.Announcement
	HasAnnouncement bool
}

// HTTPConfig configures an HTTP backend.
type HTTPConfig struct {
	Address        string
	MaxConnections int
	// MaxBody limits the body of a response, in bytes.
	MaxBody int
	// Answers counts the memory of responses; nil means that it has no bound.
	Answers *memory.Answers
	// Headers are the header names that the backend server uses; the zero value
	// stands for DefaultHeaders.
	Headers Headers
	// Instance is the name of the upstream that may run the requests.
	Instance string
}

// HTTP calls a backend server over HTTP/1.1. It is safe for concurrent use.
//
// It manages its own connections, because an HTTP client library resends a request
// when the connection breaks, takes the rest of an earlier response for the next one,
// and can't be notified that nobody waits for the response.
type HTTP struct {
	config HTTPConfig

	mu     sync.Mutex
	idle   []*backendConn
	busy   map[*backendConn]struct{}
	open   int
	closed bool
	// keepsIdle means that idle connections are kept until the backend server's own idle
	// timeout is near, which idleTimes estimates.
	keepsIdle bool
	idleTimes idleTimes
}

const connectTimeout = clock.Second

// NewHTTP returns a backend that opens connections on demand.
func NewHTTP(c HTTPConfig) *HTTP {
	if c.Headers == (Headers{}) {
		c.Headers = DefaultHeaders()
	}
	return &HTTP{config: c, busy: map[*backendConn]struct{}{}}
}

// Close closes the idle connections, and each busy connection after its response.
func (h *HTTP) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, c := range h.idle {
		h.open--
		_ = c.Close() // an idle connection has no request in flight
	}
	h.idle = nil
}

// Do sends a request and returns the complete response, or one of the errors above
// except ErrCrashed. At the deadline, or when the context ends, Do closes the
// connection, which is how a backend server learns that the request is cancelled.
func (h *HTTP) Do(ctx context.Context, c *Call) (Response, error) {
	deadline := time.Now().Add(c.Deadline.Duration())
	conn, err := h.acquire(ctx, deadline, c.Repeatable)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	isSettled := false
	defer func() {
		if !isSettled {
			h.discard(conn) // after a panic
		}
	}()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	h.buildRequest(request, c)
	response.Header.DisableNormalizing()
	response.Header.SetNoDefaultContentType(true)
	response.SkipBody = c.Method == fasthttp.MethodHead
	err = conn.exchange(ctx, h, request, response, c.ID)
	if err != nil {
		isSettled = true
		h.discard(conn)
		return Response{}, h.classifyError(ctx, conn, err)
	}
	result := h.newResponse(c.Method, response)
	isSettled = true
	h.release(conn, response)
	return result, nil
}

// classifyError returns the error for an exchange that ended without a complete
// response.
func (*HTTP) classifyError(ctx context.Context, conn *backendConn, err error) error {
	var netErr net.Error
	switch {
	case conn.isObsolete.Load():
		return errors.Annotate(ErrTruncated, "the backend server was restarted")
	case errors.Is(err, ErrMismatchedReply), errors.Is(err, ErrTooLarge):
		return errors.Trace(err)
	case ctx.Err() != nil:
		return errors.Annotate(ErrCancelled, err.Error())
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &netErr) && netErr.Timeout():
		return errors.Annotate(ErrTimeout, err.Error())
	case errors.Is(err, head.ErrTooLarge):
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errors.Annotate(ErrTooLarge, err.Error())
	default:
		return errors.Annotate(ErrTruncated, err.Error())
	}
}

// probeTimeout is many times the duration of a probe on current upstreams, 25 ms.
const probeTimeout = clock.Second

// Probe requests a health endpoint and reports whether the response is a 2xx.
func (h *HTTP) Probe(path string) bool {
	ctx := context.Background()
	conn, err := h.acquire(ctx, time.Now().Add(probeTimeout.Duration()), true)
	if err != nil {
		return false // the next request meets a refused connection, too
	}
	isSettled := false
	defer func() {
		if !isSettled {
			h.discard(conn) // after a panic
		}
	}()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.Header.SetHost(h.config.Address)
	if err := conn.exchange(ctx, h, request, response, ""); err != nil {
		isSettled = true
		h.discard(conn)
		return false
	}
	ok := response.StatusCode()/100 == fasthttp.StatusOK/100
	isSettled = true
	h.release(conn, response)
	return ok
}

func (h *HTTP) buildRequest(request *fasthttp.Request, c *Call) {
	request.Header.DisableNormalizing()
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(c.Method)
	request.SetRequestURI(c.URI)
	for name, value := range c.Headers.All() {
		if wire.IsCookie(name) {
			addUnparsed(request, name, value)
			continue
		}
		request.Header.AddBytesKV(name, value)
	}
	if len(request.Header.Host()) == 0 {
		request.Header.SetHost(h.config.Address)
	}
	names := &h.config.Headers
	setHeader(request, names.Request, c.ID)
	setHeader(request, names.Caller, c.Caller)
	setHeader(request, names.Account, c.Account)
	setHeader(request, names.Deadline, strconv.FormatInt(int64(c.Deadline), 10))
	setHeader(request, names.Instance, h.config.Instance)
	request.SetBodyRaw(c.Body)
}

// addUnparsed adds a header field that the HTTP library would otherwise parse and write again.
func addUnparsed(request *fasthttp.Request, name, value []byte) {
	request.Header.DisableSpecialHeader()
	request.Header.AddBytesKV(name, value)
	request.Header.EnableSpecialHeader()
}

func setHeader(request *fasthttp.Request, name, value string) {
	if name != "" && value != "" {
		request.Header.Set(name, value)
	}
}

func (h *HTTP) newResponse(method string, response *fasthttp.Response) Response {
	r := Response{Status: response.StatusCode()}
	if body := response.Body(); len(body) > 0 {
		r.Body = body // a buffer of its own
	}
	for name, value := range response.Header.All() {
		if !wire.IsHopByHop(name) {
			r.Headers = r.Headers.Add(name, value)
		}
	}
	length := response.Header.ContentLength()
	namesLength := method == fasthttp.MethodHead || r.Status == fasthttp.StatusNotModified
	if namesLength && length >= 0 {
		// The length is that of the body that a GET request, or a full response, would have.
		r.Headers = r.Headers.Add([]byte(fasthttp.HeaderContentLength), strconv.AppendInt(nil, int64(length), 10))
	}
	value, _ := headerValue(response, fasthttp.HeaderRetryAfter)
	retryAfter, hasRetryAfter := parseRetryAfter(value)
	r.RetryAfter = retryAfter
	limited := r.Status == fasthttp.StatusTooManyRequests
	unavailable := r.Status == fasthttp.StatusServiceUnavailable
	r.Shed = h.config.Headers.notRun(response)
	r.Announcement, r.HasAnnouncement = h.config.Headers.announcement(response)
	r.Overloaded = (r.Shed && (limited || unavailable)) || limited || (unavailable && hasRetryAfter)
	return r
}

// parseRetryAfter parses a Retry-After value in seconds, the form that overloaded
// servers use. It returns false for any other value.
func parseRetryAfter(value []byte) (clock.Millis, bool) {
	if len(value) == 0 {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(string(value), 64)
	if err != nil || seconds < 0 || seconds > float64(maxRetryAfter) {
		return 0, false
	}
	return clock.FromDuration(time.Duration(seconds * float64(time.Second))), true
}

// maxRetryAfter is the longest delay accepted from a backend server, in seconds.
const maxRetryAfter = 3600
