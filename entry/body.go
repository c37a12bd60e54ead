package entry

import (
	"io"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/memory"
)

// errNoMemory means that the node holds as many bytes of bodies as it may.
const errNoMemory = errors.ConstError("no memory is left for the request's body")

// lingerer is a caller's connection that can be closed without a loss of the answer while the caller
// still sends.
type lingerer interface {
	// Linger makes the connection read and drop what the caller still sends for a while after it
	// is closed.
	Linger()
}

// receivedBody is a request's body as far as it has been received.
type receivedBody struct {
	budget   *memory.Budget
	maxSize  int
	reserved int // bytes of the budget that the body holds
	bytes    []byte
}

// receive receives the body of a request. The HTTP server leaves that to the handler for all but the
// first bytes: by itself it would allocate what the caller says that it is going to send.
func (b *receivedBody) receive(ctx *fasthttp.RequestCtx) error {
	if b.maxSize <= 0 {
		b.maxSize = fasthttp.DefaultMaxRequestBodySize
	}
	if !ctx.Request.IsBodyStream() {
		// A gate may still use the body after the caller's connection has reused its buffer
		// for the next request.
		b.bytes = append(b.bytes, ctx.PostBody()...)
		return nil
	}
	if length := ctx.Request.Header.ContentLength(); length >= 0 {
		return b.receiveLength(ctx.RequestBodyStream(), length)
	}
	return b.receiveChunks(ctx.RequestBodyStream())
}

// receiveLength receives a body of a known length. The buffer grows with what has arrived, as a
// caller may announce much and send little.
func (b *receivedBody) receiveLength(body io.Reader, length int) error {
	switch {
	case length > b.maxSize, !b.budget.Fits(length):
		return errors.Trace(fasthttp.ErrBodyTooLarge)
	case !b.budget.Reserve(length):
		return errors.Trace(errNoMemory)
	}
	b.reserved = length
	for len(b.bytes) < length {
		err := b.fill(body, min(max(2*len(b.bytes), memory.SmallBody), length))
		if errors.Is(err, io.EOF) && len(b.bytes) < length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Annotate(err, "receiving the body")
		}
	}
	return nil
}

// receiveChunks receives a body of unknown length.
func (b *receivedBody) receiveChunks(body io.Reader) error {
	for {
		// One byte more than a body may have tells a body of that size from a longer one.
		size := min(max(2*len(b.bytes), minChunkBuffer), b.maxSize+1)
		switch {
		case len(b.bytes) > b.maxSize, !b.budget.Fits(size):
			return errors.Trace(fasthttp.ErrBodyTooLarge)
		case !b.budget.Extend(b.reserved, size-b.reserved):
			return errors.Trace(errNoMemory)
		}
		b.reserved = size
		switch err := b.fill(body, size); {
		case errors.Is(err, io.EOF) && len(b.bytes) <= b.maxSize:
			return nil
		case err != nil && !errors.Is(err, io.EOF):
			return errors.Annotate(err, "receiving the body")
		}
	}
}

// minChunkBuffer is the size in bytes of the first buffer for a body of unknown length.
const minChunkBuffer = 4 << 10

// fill gives the buffer a size and reads until it is full or the body ends with an error, which is
// io.EOF at the body's end.
func (b *receivedBody) fill(body io.Reader, size int) error {
	grown := make([]byte, size)
	n := copy(grown, b.bytes)
	var err error
	for n < size && err == nil {
		var read int
		read, err = body.Read(grown[n:])
		n += read
	}
	b.bytes = grown[:n]
	return err
}

// release ends the body's share of the budget. A gate of this node may hold the body a moment longer,
// until a run that was given up has ended.
func (b *receivedBody) release() {
	b.budget.Release(b.reserved)
	b.reserved = 0
}

// refuseBody answers a request whose body could not be received.
func (e *Entry) refuseBody(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(lingerer); ok {
		conn.Linger()
	}
	if !errors.Is(err, errNoMemory) {
		e.ServeMalformed(ctx, err)
		return
	}
	e.config.Recorder.RequestReceived()
	e.newRequest(ctx).finish(refused(fasthttp.StatusServiceUnavailable, access.ReasonMemory, clock.Second))
}
