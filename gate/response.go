package gate

import (
	"context"
	"io"
	"net/http/httputil"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/head"
	"fuchsiapick.example/fuchsiapick/memory"
)

// The sizes in bytes of the parts in which a response of unknown length is read.
const (
	firstSegment = 4 << 10
	maxSegment   = 1 << 20
)

// readResponse reads the final response to a request.
func (c *backendConn) readResponse(ctx context.Context, h *HTTP, response *fasthttp.Response) error {
	response.ResetBody()
	err := c.reader.ReadHead(&response.Header)
	switch {
	case errors.Is(err, head.ErrUpgrade):
		return errors.Annotate(ErrMismatchedReply, err.Error())
	case err != nil:
		return errors.Trace(err)
	case head.IsBodiless(response):
		return nil
	}
	return c.readBody(ctx, h, response)
}

// readBody reads the body after a head into a buffer of its own, which counts towards the memory for
// answers: without room the rest stays with the backend server until there is, or the request's deadline
// has passed.
func (c *backendConn) readBody(ctx context.Context, h *HTTP, response *fasthttp.Response) error {
	holding := h.config.Answers.NewHolding()
	defer holding.Release()
	r := responseReader{conn: c, holding: &holding, maxBody: h.config.MaxBody}
	var body []byte
	var err error
	if length := response.Header.ContentLength(); length >= 0 {
		body, err = r.readLength(ctx, length)
	} else {
		body, err = r.readSegments(ctx, response)
	}
	if err != nil {
		return errors.Trace(err)
	}
	holding.Attach(body)
	response.SetBodyRaw(body)
	return nil
}

// responseReader reads the body of one response.
type responseReader struct {
	conn    *backendConn
	holding *memory.Holding
	maxBody int
	size    int // bytes that are counted
}

// grow counts more bytes of the body. A body within the size of a small one isn't counted.
func (r *responseReader) grow(ctx context.Context, more int) error {
	before := r.size
	r.size += more
	switch {
	case r.size <= memory.SmallBody:
		return nil
	case before <= memory.SmallBody:
		more = r.size
	}
	if r.holding.Grow(ctx, r.conn.deadline, more) {
		return nil
	}
	if err := ctx.Err(); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(ErrTooLarge, "no memory is left for it")
}

func (r *responseReader) readLength(ctx context.Context, length int) ([]byte, error) {
	if r.maxBody > 0 && length > r.maxBody {
		return nil, errors.Trace(fasthttp.ErrBodyTooLarge)
	}
	if length == 0 {
		return nil, nil
	}
	if err := r.grow(ctx, length); err != nil {
		return nil, errors.Trace(err)
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(r.conn.reader, buffer)
	return buffer, errors.Annotate(err, "reading the body")
}

// readSegments reads a body of unknown length, and the trailer after it, into parts, and then joins them.
func (r *responseReader) readSegments(ctx context.Context, response *fasthttp.Response) ([]byte, error) {
	isChunked := response.Header.ContentLength() == head.Chunked
	var body io.Reader = r.conn.reader.Reader
	if isChunked {
		body = httputil.NewChunkedReader(body)
	}
	var segments [][]byte
	total := 0
	for size := firstSegment; ; size = min(2*size, maxSegment) {
		if err := r.grow(ctx, size); err != nil {
			return nil, errors.Trace(err)
		}
		segment := make([]byte, size)
		n, err := fill(body, segment)
		if total += n; r.maxBody > 0 && total > r.maxBody {
			return nil, errors.Trace(fasthttp.ErrBodyTooLarge)
		}
		segments = append(segments, segment[:n])
		switch {
		case errors.Is(err, io.EOF) && isChunked:
			return join(segments, total), errors.Trace(r.conn.reader.ReadTrailer(&response.Header))
		case errors.Is(err, io.EOF):
			return join(segments, total), nil
		case err != nil:
			return nil, errors.Annotate(err, "reading the body")
		}
	}
}

// fill reads until the buffer is full or the body ends with an error, which is io.EOF at its end.
func fill(body io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		read, err := body.Read(buffer[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func join(segments [][]byte, total int) []byte {
	if len(segments) == 1 {
		return segments[0]
	}
	joined := make([]byte, 0, total)
	for _, segment := range segments {
		joined = append(joined, segment...)
	}
	return joined
}
