package gate

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/head"
)

const (
	// defaultIdleTimeout is shorter than the keep-alive timeout of common HTTP servers, so
	// that a request is seldom sent on a connection that the server is closing.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the keep-alive timeout that a backend server
	// announces: its timer started earlier, and the request needs time to arrive.
	idleMargin = 500 * time.Millisecond
	// recentUseWindow is how long after a response the other side still has a connection
	// open: servers, and proxies between, keep idle connections for seconds.
	recentUseWindow = 250 * time.Millisecond
	// maxLateResponses limits the responses that are read for one request: those to earlier
	// requests on the connection are skipped.
	maxLateResponses = 4
	// writeBufferSize is the size in bytes of a connection's buffer for requests.
	writeBufferSize = 4 << 10
)

// backendConn is one connection to the backend server.
type backendConn struct {
	net.Conn

	reader   *head.Reader
	writer   *bufio.Writer
	openedAt time.Time // when the connection attempt began
	deadline time.Time // of the exchange in progress
	// lastUsed is when the last response on the connection ended.
	lastUsed time.Time
	// announced is the idle time up to which the connection may be used by the timeout that the
	// last response announced, if hasAnnounced is set.
	announced    time.Duration
	hasAnnounced bool
	// isObsolete means that the process at the other side is gone.
	isObsolete atomic.Bool
}

// acquire returns an idle connection that is still open, else a new one. If the other
// side has already dropped a connection, the next request on it is reset, and whether
// that request ran is unknown. A request that isn't repeatable therefore uses a
// connection that was in use a moment ago, or a new one, which costs the connection
// setup of about 1 ms.
func (h *HTTP) acquire(ctx context.Context, deadline time.Time, repeatable bool) (*backendConn, error) {
	conn, ok := h.acquireIdle(repeatable)
	if conn != nil {
		h.markBusy(conn)
		conn.deadline = deadline
		return conn, errors.Trace(conn.SetDeadline(deadline))
	}
	if !ok {
		return nil, errors.Annotatef(ErrRefused, "%d connections are in use", h.config.MaxConnections)
	}
	openedAt := time.Now()
	dialer := net.Dialer{Timeout: connectTimeout.Duration(), Deadline: deadline}
	raw, err := dialer.DialContext(ctx, "tcp", h.config.Address)
	if err == nil {
		err = raw.SetDeadline(deadline)
	}
	if err != nil {
		h.mu.Lock()
		h.open--
		h.mu.Unlock()
		return nil, errors.Annotatef(ErrRefused, "opening a connection: %v", err)
	}
	conn = &backendConn{
		Conn:     raw,
		reader:   head.NewReader(raw),
		writer:   bufio.NewWriterSize(raw, writeBufferSize),
		openedAt: openedAt,
		deadline: deadline,
	}
	h.markBusy(conn)
	return conn, nil
}

func (h *HTTP) markBusy(conn *backendConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy[conn] = struct{}{}
}

// acquireIdle returns an idle connection that is fit for the request, or nil and
// whether a new connection may be opened; that one is then counted as open.
func (h *HTTP) acquireIdle(repeatable bool) (*backendConn, bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		conn := h.idle[last]
		idle := now.Sub(conn.lastUsed)
		isSafe := repeatable || idle < recentUseWindow
		if !isSafe && h.open < h.config.MaxConnections && h.staysIdle(conn, idle) {
			break // the connection stays available to repeatable requests
		}
		h.idle = h.idle[:last]
		if isSafe && idle < h.idleLimit(conn) && h.isOpen(conn, idle) {
			return conn, true
		}
		h.open--
		_ = conn.Close() // an idle connection has no request in flight
	}
	if h.open >= h.config.MaxConnections {
		return nil, false
	}
	h.open++
	return nil, true
}

// discard closes a connection whose state is unknown.
func (h *HTTP) discard(conn *backendConn) {
	h.mu.Lock()
	h.open--
	delete(h.busy, conn)
	h.mu.Unlock()
	_ = conn.Close() // unread bytes are discarded
}

// release keeps a connection for the next request if the response allows it, else closes
// the connection.
func (h *HTTP) release(conn *backendConn, response *fasthttp.Response) {
	length := response.Header.ContentLength()
	framed := length >= 0 || length == head.Chunked
	if head.IsBodiless(response) {
		// Some servers send the body that the head announces, perhaps after the next request.
		framed = length == 0
	}
	if response.Header.ConnectionClose() || !framed || conn.reader.Buffered() > 0 || conn.isObsolete.Load() {
		h.discard(conn)
		return
	}
	conn.lastUsed = time.Now()
	conn.announced, conn.hasAnnounced = announcedIdleTime(response)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.busy, conn)
	if h.closed {
		h.open--
		_ = conn.Close() // an idle connection has no request in flight
		return
	}
	h.idle = append(h.idle, conn)
}

// announcedIdleTime returns how long a connection may be used again after a response by the
// Keep-Alive timeout in the response, idleMargin less than that; false if it announces none.
func announcedIdleTime(response *fasthttp.Response) (time.Duration, bool) {
	value, ok := headerValue(response, "Keep-Alive")
	if !ok {
		return 0, false
	}
	_, timeout, ok := bytes.Cut(value, []byte("timeout="))
	if !ok {
		return 0, false
	}
	if end := bytes.IndexByte(timeout, ','); end >= 0 {
		timeout = timeout[:end]
	}
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(timeout)))
	if err != nil {
		return 0, false
	}
	return max(time.Duration(seconds)*time.Second-idleMargin, 0), true
}

// isIdle reports whether the other side has neither closed an idle connection
// nor sent bytes on it, which would belong to no request.
func (c *backendConn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange sends a request and reads its response, within the connection's
// deadline. It ends early with an error when the context ends.
func (c *backendConn) exchange(ctx context.Context, h *HTTP, request *fasthttp.Request, response *fasthttp.Response, id string) error {
	stop := func() bool { return true }
	if ctx.Done() != nil {
		// A deadline in the past ends pending reads and writes.
		stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		defer stop()
	}
	if err := request.Write(c.writer); err != nil {
		return errors.Annotate(err, "writing the request")
	}
	if err := c.writer.Flush(); err != nil {
		return errors.Annotate(err, "writing the request")
	}
	for range maxLateResponses {
		if err := c.readResponse(ctx, h, response); err != nil {
			return errors.Annotate(err, "reading the response")
		}
		if ok, err := h.matches(response, id); ok || err != nil {
			if !stop() && err == nil {
				// The caller disconnected while the last byte arrived: the connection gets
				// a deadline in the past and isn't fit for another request.
				response.SetConnectionClose()
			}
			return err
		}
	}
	return errors.Annotatef(ErrMismatchedReply, "%d responses to other requests", maxLateResponses)
}

// matches reports whether a response belongs to the request. It returns an error if the
// response must not be passed on. A response with another id is a late one to an earlier
// request on the connection: the expected response is still to come.
func (h *HTTP) matches(response *fasthttp.Response, id string) (bool, error) {
	names := &h.config.Headers
	if names.Instance == "" || id == "" {
		return true, nil
	}
	echoed, ok := headerValue(response, names.Request)
	switch {
	case !ok && names.notRun(response):
		return true, nil // refused before the request was read
	case !ok:
		return false, errors.Annotate(ErrMismatchedReply, "the response has no request id")
	case string(echoed) != id && response.SkipBody:
		return false, errors.Annotate(ErrMismatchedReply, "a response to another request, whose body may follow")
	case string(echoed) != id:
		return false, nil
	}
	if _, ok := headerValue(response, fasthttp.HeaderContentEncoding); ok {
		return false, errors.Annotate(ErrMismatchedReply, "the response body has a content encoding")
	}
	if _, ok := headerValue(response, names.Seal); !ok && response.StatusCode() < fasthttp.StatusBadRequest {
		return false, errors.Annotate(ErrMismatchedReply, "a successful response has no seal")
	}
	return true, nil
}
