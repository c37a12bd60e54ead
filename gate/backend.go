package gate

import (
	"net"
	"strconv"
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
	ErrRefused = errors.ConstError("backend server refused the connection")
	ErrTimeout = errors.ConstError("backend server didn't answer in time")
	ErrTorn    = errors.ConstError("backend server's answer broke off")
	ErrLarge   = errors.ConstError("backend server's answer is over the bound")
)

// Headers between a gate and its backend server.
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
	shed         = "shed"
)

// Call is one request to the backend server.
type Call struct {
	ID       wire.RequestID
	Caller   string
	Method   string
	URI      string
	Headers  wire.Headers
	Body     []byte
	Deadline clock.Millis
}

// Answer is a whole answer of the backend server.
type Answer struct {
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
	Address     string
	Connections int
	// Limit bounds an answer's body in bytes.
	Limit int
}

// HTTP calls a backend server over HTTP/1.1.
type HTTP struct {
	client *fasthttp.HostClient
}

// refusal marks an error of opening a connection, before anything was sent.
type refusal struct{ cause error }

// Error describes the cause.
func (r refusal) Error() string { return "opening a connection: " + r.cause.Error() }

// Timeout stops the HTTP library from taking it for a late answer.
func (refusal) Timeout() bool { return false }

const (
	connectTimeout = clock.Second
	// idleConnection is shorter than the keep-alive of common HTTP servers, so
	// that a request seldom meets a connection that the other side is closing.
	idleConnection = 4 * clock.Second
)

// NewHTTP returns a backend that opens connections as requests need them.
func NewHTTP(c HTTPConfig) *HTTP {
	dialer := &net.Dialer{Timeout: connectTimeout.Duration()}
	return &HTTP{client: &fasthttp.HostClient{
		Addr:                          c.Address,
		MaxConns:                      c.Connections,
		MaxIdleConnDuration:           idleConnection.Duration(),
		MaxResponseBodySize:           c.Limit,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		// The library would send a request again when its connection broke.
		// Only the entry decides about that: it knows what may be repeated.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return nil, refusal{err}
			}
			return conn, nil
		},
	}}
}

// Close drops the connections that are idle.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// Do sends a request and returns the whole answer. It returns ErrRefused,
// ErrTimeout, ErrTorn or ErrLarge. At the deadline it closes the connection,
// which is how a backend server learns that the request is cancelled.
func (h *HTTP) Do(c *Call) (Answer, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	h.fill(request, c)
	err := h.client.DoDeadline(request, response, time.Now().Add(c.Deadline.Duration()))
	if err != nil {
		return Answer{}, errors.Annotatef(fault(err), "%v", err)
	}
	return answerOf(c.Method, response), nil
}

// probeTimeout is many times what a probe takes on today's upstreams, 25 ms.
const probeTimeout = clock.Second

// Probe asks a health endpoint and reports an answer 2xx.
func (h *HTTP) Probe(path string) bool {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.SetHost(h.client.Addr)
	err := h.client.DoTimeout(request, response, probeTimeout.Duration())
	return err == nil && response.StatusCode()/100 == fasthttp.StatusOK/100
}

func (h *HTTP) fill(request *fasthttp.Request, c *Call) {
	request.Header.DisableNormalizing()
	request.Header.SetMethod(c.Method)
	request.SetRequestURI(c.URI)
	for name, value := range c.Headers.All() {
		request.Header.AddBytesKV(name, value)
	}
	if len(request.Header.Host()) == 0 {
		request.SetHost(h.client.Addr)
	}
	request.Header.Set(HeaderRequest, c.ID.String())
	request.Header.Set(HeaderCaller, c.Caller)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(int64(c.Deadline), 10))
	request.SetBodyRaw(c.Body)
}

// fault sorts the library's errors. Only an error of opening a connection says
// that the backend server got nothing.
func fault(err error) error {
	var refused refusal
	switch {
	case errors.As(err, &refused), errors.Is(err, fasthttp.ErrNoFreeConns):
		return ErrRefused
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return ErrTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return ErrLarge
	default:
		return ErrTorn
	}
}

func answerOf(method string, response *fasthttp.Response) Answer {
	a := Answer{Status: response.StatusCode()}
	a.Body = append(a.Body, response.Body()...)
	for name, value := range response.Header.All() {
		if !wire.OfConnection(name) {
			a.Headers = a.Headers.Add(name, value)
		}
	}
	if length := response.Header.ContentLength(); method == fasthttp.MethodHead && length >= 0 {
		// It has no body whose length could tell.
		a.Headers = a.Headers.Add([]byte(fasthttp.HeaderContentLength), strconv.AppendInt(nil, int64(length), 10))
	}
	after, told := retryAfter(response.Header.Peek(fasthttp.HeaderRetryAfter))
	a.RetryAfter = after
	limited := a.Status == fasthttp.StatusTooManyRequests
	unavailable := a.Status == fasthttp.StatusServiceUnavailable
	a.Shed = (limited || unavailable) && string(response.Header.Peek(HeaderBackend)) == shed
	a.Overloaded = a.Shed || limited || (unavailable && told)
	return a
}

// retryAfter reads the header's form in seconds, the one that servers under
// load use.
func retryAfter(text []byte) (clock.Millis, bool) {
	if len(text) == 0 {
		return 0, false
	}
	seconds, err := strconv.ParseUint(string(text), 10, 16)
	return clock.Millis(seconds) * clock.Second, err == nil
}
