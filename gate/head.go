package gate

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

const (
	// bufferSize is the size of a connection's buffer, enough for most heads.
	bufferSize = 4 << 10
	// maxHeadSize limits the head of a response, in bytes. Callers' requests have the same limit.
	// Its fields have to fit into a frame, see wire.MaxOverhead.
	maxHeadSize = 32 << 10
	// maxInterim limits the interim (1xx) responses before a final one.
	maxInterim = 100
	// maxLineEnds limits the bytes of line ends before a head, which some servers send after a body.
	maxLineEnds = 4
)

// headEnd ends a head.
var headEnd = []byte("\r\n\r\n")

// readResponse reads the final response to a request.
func (c *backendConn) readResponse(ctx context.Context, h *HTTP, response *fasthttp.Response) error {
	response.ResetBody()
	if err := c.readHead(response); err != nil {
		return errors.Trace(err)
	}
	if isBodiless(response) {
		return nil
	}
	return c.readBody(ctx, h, response)
}

// chunkError returns the reason for an error of the HTTP library in a body in chunks or its trailer.
func (c *backendConn) chunkError(err error) error {
	var small *fasthttp.ErrSmallBuffer
	var broken fasthttp.ErrBrokenChunk
	switch {
	case errors.As(err, &small):
		return errors.Annotatef(ErrTooLarge, "a trailer of more than %d bytes", c.reader.Size())
	case errors.As(err, &broken):
		return errors.Trace(err)
	default:
		return errors.Trace(unquoted(err))
	}
}

// errMalformed means fields that can't be parsed.
const errMalformed = errors.ConstError("malformed fields in the head or the trailer")

// unquoted returns the reason for an error of the HTTP library without the part of the response that
// its text quotes: the log must not show cookies.
func unquoted(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrTimeout):
		return fasthttp.ErrTimeout
	case errors.As(err, &netErr):
		return netErr
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	default:
		return errMalformed
	}
}

// chunked is what ContentLength returns for a response in chunks.
const chunked = -1

// isBodiless reports whether no body follows the head, whatever length the head has.
func isBodiless(response *fasthttp.Response) bool {
	status := response.StatusCode()
	return response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readHead reads the head of the final response and skips the interim ones before it.
func (c *backendConn) readHead(response *fasthttp.Response) error {
	for range maxInterim {
		head, err := c.awaitHead()
		if err != nil {
			return errors.Trace(err)
		}
		if !isClearlyFramed(head) {
			return errors.Trace(errChunkedHTTP10)
		}
		if err = response.Header.Read(c.reader); err != nil {
			return errors.Trace(unquoted(err))
		}
		switch status := response.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errors.Annotate(ErrMismatchedReply, "the response switches the protocol, which no request asks for")
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errors.Errorf("more than %d interim responses", maxInterim)
}

// errChunkedHTTP10 means a response of HTTP/1.0 that is said to be in chunks, which HTTP/1.0 doesn't
// have. The HTTP library ignores that it is, and takes the sizes of the chunks for the body.
const errChunkedHTTP10 = errors.ConstError("response of HTTP/1.0 with a transfer encoding")

// isClearlyFramed reports whether a head of HTTP/1.0 has no transfer encoding. Others pass.
func isClearlyFramed(head []byte) bool {
	if bytes.HasPrefix(head, http11) {
		return true
	}
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte{':'})
		if bytes.EqualFold(bytes.TrimSpace(name), transferEncoding) {
			return false
		}
	}
	return true
}

var (
	http11           = []byte("HTTP/1.1 ")
	transferEncoding = []byte(fasthttp.HeaderTransferEncoding)
)

// awaitHead returns the head of the next response, which stays in the buffer, once it is there as a
// whole. So the HTTP library never parses a part of one.
func (c *backendConn) awaitHead() ([]byte, error) {
	if err := c.skipLineEnds(); err != nil {
		return nil, errors.Trace(err)
	}
	searched := 0
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // what is buffered can be peeked at
		if !beginsStatusLine(buffered) {
			return nil, errors.Trace(errNoHTTP)
		}
		if end := bytes.Index(buffered[searched:], headEnd); end >= 0 {
			return buffered[:searched+end+len(headEnd)], nil
		}
		searched = max(len(buffered)-len(headEnd)+1, 0)
		if len(buffered) == c.reader.Size() && !c.growBuffer() {
			return nil, errors.Annotatef(ErrTooLarge, "a head of more than %d bytes", maxHeadSize)
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return nil, errors.Annotatef(err, "after %d bytes of the head", len(buffered))
		}
	}
}

// skipLineEnds discards line ends before a head.
func (c *backendConn) skipLineEnds() error {
	for range maxLineEnds {
		next, err := c.reader.Peek(1)
		if err != nil {
			return errors.Annotate(err, "before the head")
		}
		if next[0] != '\r' && next[0] != '\n' {
			return nil
		}
		_, _ = c.reader.Discard(1) // it is buffered
	}
	return nil
}

// errNoHTTP means that what has arrived isn't the beginning of a response of HTTP/1.
const errNoHTTP = errors.ConstError("no HTTP/1 response")

// The beginning of a status line, between its lowest and its highest digits: there is no status below
// 100, and no later version of HTTP with this form.
const (
	lowestStatusLine  = "HTTP/1.0 100"
	highestStatusLine = "HTTP/1.1 999"
)

// beginsStatusLine reports whether a status line may begin with the bytes.
func beginsStatusLine(b []byte) bool {
	for i, c := range b[:min(len(b), len(lowestStatusLine))] {
		if c < lowestStatusLine[i] || c > highestStatusLine[i] {
			return false
		}
	}
	return true
}

// growBuffer doubles the size of the buffer; false if it has its maximum.
func (c *backendConn) growBuffer() bool {
	size := c.reader.Size()
	if size >= maxHeadSize {
		return false
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	held := bytes.Clone(buffered)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(held), c.Conn), 2*size)
	_, err := c.reader.Peek(len(held)) // moves them into the new buffer
	return err == nil
}
