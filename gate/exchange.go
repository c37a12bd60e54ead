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
)

const (
	// defaultIdleTimeout is shorter than the keep-alive of common HTTP servers, so
	// that a request seldom meets a connection that the other side is closing.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is taken from the span that a backend server announces: its
	// clock began earlier, and the request needs time to arrive.
	idleMargin = 500 * time.Millisecond
	// recentUseWindow is how long after an answer a connection counts as one that the
	// other side can't have forgotten: servers and what stands between keep
	// idle connections for seconds.
	recentUseWindow = 250 * time.Millisecond
	// maxLateResponses bounds the late answers to earlier requests that are passed
	// over on one connection.
	maxLateResponses = 4
	bufferSize       = 4 << 10
)

// backendConn is one connection to the backend server.
type backendConn struct {
	net.Conn

	reader *bufio.Reader
	writer *bufio.Writer
	// lastUsed is when the last answer on it ended, until when an idle one is given
	// up.
	lastUsed, idleUntil time.Time
	// isObsolete says that the process at the other side is gone.
	isObsolete atomic.Bool
}

// acquire returns a connection: an idle one that still stands, else a new one. A
// connection that the other side has forgotten resets what is sent next, and
// whether that ran can't be known: a request that may run once only is put on
// one that was in use a moment ago, or on a new one. The price is a connection's
// setup, about 1 ms.
func (h *HTTP) acquire(ctx context.Context, deadline time.Time, repeatable bool) (*backendConn, error) {
	conn, ok := h.acquireIdle(repeatable)
	if conn != nil {
		h.markBusy(conn)
		return conn, errors.Trace(conn.SetDeadline(deadline))
	}
	if !ok {
		return nil, errors.Annotatef(ErrRefused, "%d connections are in use", h.config.MaxConnections)
	}
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
		Conn:   raw,
		reader: bufio.NewReaderSize(raw, bufferSize),
		writer: bufio.NewWriterSize(raw, bufferSize),
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
// whether a new one may be opened, which is counted then.
func (h *HTTP) acquireIdle(repeatable bool) (*backendConn, bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		conn := h.idle[last]
		recent := now.Sub(conn.lastUsed) < recentUseWindow
		if !repeatable && !recent && h.open < h.config.MaxConnections {
			break // it stays for others
		}
		h.idle = h.idle[:last]
		if (repeatable || recent) && now.Before(conn.idleUntil) && conn.isIdle() {
			return conn, true
		}
		h.open--
		_ = conn.Close() // nothing is under way on it
	}
	if h.open >= h.config.MaxConnections {
		return nil, false
	}
	h.open++
	return nil, true
}

// discard closes a connection whose state isn't known.
func (h *HTTP) discard(conn *backendConn) {
	h.mu.Lock()
	h.open--
	delete(h.busy, conn)
	h.mu.Unlock()
	_ = conn.Close() // what was to be read is given up
}

// release keeps a connection for the next request if the answer leaves it fit.
func (h *HTTP) release(conn *backendConn, response *fasthttp.Response) {
	length := response.Header.ContentLength()
	framed := length >= 0 || length == -1 // by length or in chunks
	if response.Header.ConnectionClose() || !framed || conn.reader.Buffered() > 0 || conn.isObsolete.Load() {
		h.discard(conn)
		return
	}
	conn.lastUsed = time.Now()
	conn.idleUntil = conn.lastUsed.Add(idleTimeout(response))
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.busy, conn)
	if h.closed {
		h.open--
		_ = conn.Close() // nothing is under way on it
		return
	}
	h.idle = append(h.idle, conn)
}

// idleTimeout is how long an idle connection is used again: less than the backend
// server says, if it does.
func idleTimeout(response *fasthttp.Response) time.Duration {
	value, ok := headerValue(response, "Keep-Alive")
	if !ok {
		return defaultIdleTimeout
	}
	_, text, ok := bytes.Cut(value, []byte("timeout="))
	if !ok {
		return defaultIdleTimeout
	}
	if end := bytes.IndexByte(text, ','); end >= 0 {
		text = text[:end]
	}
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	if err != nil {
		return defaultIdleTimeout
	}
	return min(defaultIdleTimeout, max(time.Duration(seconds)*time.Second-idleMargin, 0))
}

// isIdle reports whether the other side has neither closed an idle connection
// nor sent anything on it: such bytes belong to no request.
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

// exchange sends a request and reads its answer, within the connection's
// deadline. The end of the context breaks it off.
func (c *backendConn) exchange(ctx context.Context, h *HTTP, request *fasthttp.Request, response *fasthttp.Response, id string) error {
	stop := func() bool { return true }
	if ctx.Done() != nil {
		// A deadline in the past ends reads and writes that are under way.
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
		if err := response.ReadLimitBody(c.reader, h.config.MaxBody); err != nil {
			return errors.Annotate(err, "reading the answer")
		}
		if own, err := h.matches(response, id); own || err != nil {
			if !stop() && err == nil {
				// The caller left while the last byte came: the connection is being
				// broken off and isn't fit for another request.
				response.SetConnectionClose()
			}
			return err
		}
	}
	return errors.Annotatef(ErrMismatchedReply, "%d answers to other requests", maxLateResponses)
}

// matches reports whether an answer is the request's own, and an error if it can't
// be passed on. An answer under another id is a late one to an earlier request
// on the connection: the request's own still comes.
func (h *HTTP) matches(response *fasthttp.Response, id string) (bool, error) {
	names := &h.config.Headers
	if names.Instance == "" || id == "" {
		return true, nil
	}
	echoed, ok := headerValue(response, names.Request)
	switch {
	case !ok && names.notRun(response):
		return true, nil // a refusal before the request was read
	case !ok:
		return false, errors.Annotate(ErrMismatchedReply, "it has no request id")
	case string(echoed) != id:
		return false, nil
	}
	if _, ok := headerValue(response, fasthttp.HeaderContentEncoding); ok {
		return false, errors.Annotate(ErrMismatchedReply, "its body is recoded")
	}
	if _, ok := headerValue(response, names.Seal); !ok && response.StatusCode() < fasthttp.StatusBadRequest {
		return false, errors.Annotate(ErrMismatchedReply, "a success without a seal")
	}
	return true, nil
}
