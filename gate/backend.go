package gate

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Faults of a call to the backend server.
const (
	// ErrRefused means that no connection could be opened: the backend server
	// got nothing.
	ErrRefused   = errors.ConstError("backend server refused the connection")
	ErrTimeout   = errors.ConstError("backend server didn't answer in time")
	ErrTruncated = errors.ConstError("backend server's answer broke off")
	// ErrCrashed means that the answer broke off since the backend server's process
	// ended. Do doesn't return it: the gate finds out.
	ErrCrashed  = errors.ConstError("backend server ended while it ran the request")
	ErrTooLarge = errors.ConstError("backend server's answer is over the bound")
	// ErrMismatchedReply means an answer that isn't the backend server's answer to
	// this request: without its seal, under another id or recoded.
	ErrMismatchedReply = errors.ConstError("backend server's answer isn't the request's own")
	// ErrCancelled means that the caller has left.
	ErrCancelled = errors.ConstError("the caller has left")
)

// Headers between a gate and a backend server that knows this project.
const (
	// HeaderRequest carries the request id.
	HeaderRequest = "Fuchsiapick-Request"
	// HeaderDeadline carries what is left of the deadline in milliseconds.
	HeaderDeadline = "Fuchsiapick-Deadline"
	// HeaderBackend marks, with the value "shed", an answer 429 or 503 of a
	// backend server that did not begin the request.
	HeaderBackend = "Fuchsiapick-Backend"
	// HeaderCaller carries the caller's name.
	HeaderCaller = "Fuchsiapick-Caller"
	// HeaderAccount carries the name of the client account.
	HeaderAccount = "Fuchsiapick-Account"
	shed          = "shed"
)

// Call is one request to the backend server.
type Call struct {
	// ID is what the backend server knows the request by.
	ID     string
	Caller string
	// Account is the client account's name, empty without one.
	Account  string
	Method   string
	URI      string
	Headers  wire.Headers
	Body     []byte
	Deadline clock.Millis
	// Repeatable requests may use a connection that was used before.
	Repeatable bool
}

// Response is a whole answer of the backend server.
type Response struct {
	Status  int
	Headers wire.Headers
	Body    []byte
	// Shed means that the backend server says it did not begin the request.
	Shed bool
	// Overloaded means that it refused for load, whatever it began.
	Overloaded bool
	// RetryAfter is when the backend server says to come back; 0 if it doesn't.
	RetryAfter clock.Millis
}

// HTTPConfig configures an HTTP backend.
type HTTPConfig struct {
	Address        string
	MaxConnections int
	// MaxBody bounds an answer's body in bytes.
	MaxBody int
	// Headers are the names that the backend server knows; empty ones stand
	// for DefaultHeaders.
	Headers Headers
	// Instance is the name of the upstream that is meant.
	Instance string
}

// HTTP calls a backend server over HTTP/1.1. It is safe for concurrent use.
//
// It writes and reads on connections of its own: an HTTP client library sends a
// request again when its connection broke, takes what is left of an earlier
// answer for the next, and can't be told that the caller has left.
type HTTP struct {
	config HTTPConfig

	mu     sync.Mutex
	idle   []*backendConn
	busy   map[*backendConn]struct{}
	open   int
	closed bool
}

const connectTimeout = clock.Second

// NewHTTP returns a backend that opens connections as requests need them.
func NewHTTP(c HTTPConfig) *HTTP {
	if c.Headers == (Headers{}) {
		c.Headers = DefaultHeaders()
	}
	return &HTTP{config: c, busy: map[*backendConn]struct{}{}}
}

// Close drops the connections that are idle, and each other one after its
// answer.
func (h *HTTP) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, c := range h.idle {
		h.open--
		_ = c.Close() // nothing is under way on it
	}
	h.idle = nil
}

// Do sends a request and returns the whole answer. It returns one of the errors
// above. At the deadline, or when the context ends, it closes the connection,
// which is how a backend server learns that the request is cancelled.
func (h *HTTP) Do(ctx context.Context, c *Call) (Response, error) {
	deadline := time.Now().Add(c.Deadline.Duration())
	conn, err := h.acquire(ctx, deadline, c.Repeatable)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	h.buildRequest(request, c)
	response.Header.DisableNormalizing()
	response.SkipBody = c.Method == fasthttp.MethodHead
	err = conn.exchange(ctx, h, request, response, c.ID)
	if err != nil {
		h.discard(conn)
		return Response{}, h.classifyError(ctx, conn, err)
	}
	answer := h.newResponse(c.Method, response)
	h.release(conn, response)
	return answer, nil
}

// classifyError says why an exchange ended without a whole answer.
func (*HTTP) classifyError(ctx context.Context, conn *backendConn, err error) error {
	var network net.Error
	switch {
	case conn.isObsolete.Load():
		return errors.Annotate(ErrTruncated, "the backend server started again")
	case errors.Is(err, ErrMismatchedReply), errors.Is(err, ErrTooLarge):
		return errors.Trace(err)
	case ctx.Err() != nil:
		return errors.Annotate(ErrCancelled, err.Error())
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &network) && network.Timeout():
		return errors.Annotate(ErrTimeout, err.Error())
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errors.Annotate(ErrTooLarge, err.Error())
	default:
		return errors.Annotate(ErrTruncated, err.Error())
	}
}

// probeTimeout is many times what a probe takes on today's upstreams, 25 ms.
const probeTimeout = clock.Second

// Probe asks a health endpoint and reports an answer 2xx.
func (h *HTTP) Probe(path string) bool {
	ctx := context.Background()
	conn, err := h.acquire(ctx, time.Now().Add(probeTimeout.Duration()), true)
	if err != nil {
		return false // a refusal shows with the next request too
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.Header.SetHost(h.config.Address)
	if err := conn.exchange(ctx, h, request, response, ""); err != nil {
		h.discard(conn)
		return false
	}
	ok := response.StatusCode()/100 == fasthttp.StatusOK/100
	h.release(conn, response)
	return ok
}

func (h *HTTP) buildRequest(request *fasthttp.Request, c *Call) {
	request.Header.DisableNormalizing()
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(c.Method)
	request.SetRequestURI(c.URI)
	for name, value := range c.Headers.All() {
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

func setHeader(request *fasthttp.Request, name, value string) {
	if name != "" && value != "" {
		request.Header.Set(name, value)
	}
}

func (h *HTTP) newResponse(method string, response *fasthttp.Response) Response {
	a := Response{Status: response.StatusCode()}
	a.Body = append(a.Body, response.Body()...)
	for name, value := range response.Header.All() {
		if !wire.IsHopByHop(name) {
			a.Headers = a.Headers.Add(name, value)
		}
	}
	if length := response.Header.ContentLength(); method == fasthttp.MethodHead && length >= 0 {
		// It has no body whose length could tell.
		a.Headers = a.Headers.Add([]byte(fasthttp.HeaderContentLength), strconv.AppendInt(nil, int64(length), 10))
	}
	value, _ := headerValue(response, fasthttp.HeaderRetryAfter)
	after, told := parseRetryAfter(value)
	a.RetryAfter = after
	limited := a.Status == fasthttp.StatusTooManyRequests
	unavailable := a.Status == fasthttp.StatusServiceUnavailable
	a.Shed = h.config.Headers.notRun(response)
	a.Overloaded = (a.Shed && (limited || unavailable)) || limited || (unavailable && told)
	return a
}

// parseRetryAfter reads the header's form in seconds, the one that servers under
// load use.
func parseRetryAfter(text []byte) (clock.Millis, bool) {
	if len(text) == 0 {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(string(text), 64)
	if err != nil || seconds < 0 || seconds > float64(maxRetryAfter) {
		return 0, false
	}
	return clock.FromDuration(time.Duration(seconds * float64(time.Second))), true
}

// maxRetryAfter is the longest that a backend server's word is taken for, in
// seconds.
const maxRetryAfter = 3600
