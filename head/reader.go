// Package head reads the heads and trailers of HTTP/1 responses. It checks them before the HTTP library
// parses them, because the library repairs or ignores what other recipients read differently.
package head

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http/httputil"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxSize limits a head and a trailer, in bytes. Callers' requests have the same limit.
	// Their fields have to fit into a frame, see wire.MaxOverhead.
	maxSize = 32 << 10
	// bufferSize is the initial size of a Reader's buffer in bytes, enough for most heads.
	bufferSize = 4 << 10
	// maxInterim limits the interim (1xx) responses before a final one.
	maxInterim = 100
	// maxLineEnds limits the bytes of line ends before a head, which some servers send after a body.
	maxLineEnds = 4
)

// Errors of a Reader, beside those of its source. Their texts quote no part of the response, which may
// hold secrets.
const (
	// ErrMalformed means a response that breaks the grammar of HTTP/1.
	ErrMalformed = errors.ConstError("malformed response")
	// ErrTooLarge means a head or trailer of more than maxSize bytes.
	ErrTooLarge = errors.ConstError("head or trailer is too large")
	// ErrUpgrade means a response that switches the protocol, which no request asks for.
	ErrUpgrade = errors.ConstError("response switches the protocol")
)

// Reader reads responses from a connection. Its buffer grows while it awaits the end of a head or a
// trailer, up to maxSize; a *bufio.Reader taken from it is then out of date.
type Reader struct {
	*bufio.Reader

	source io.Reader
}

// NewReader returns a reader of the responses from a source.
func NewReader(source io.Reader) *Reader {
	return &Reader{Reader: bufio.NewReaderSize(source, bufferSize), source: source}
}

// Chunked is what ContentLength returns for a response in chunks.
const Chunked = -1

// IsBodiless reports whether no body follows the head, whatever length the head has.
func IsBodiless(response *fasthttp.Response) bool {
	status := response.StatusCode()
	return response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// ReadResponse reads the final response with a body of at most maxBody bytes. It returns
// fasthttp.ErrBodyTooLarge for a longer one.
func (r *Reader) ReadResponse(response *fasthttp.Response, maxBody int) error {
	if err := r.ReadHead(&response.Header); err != nil {
		return errors.Trace(err)
	}
	if IsBodiless(response) {
		return nil
	}
	if response.Header.ContentLength() == Chunked {
		return r.readChunks(response, maxBody)
	}
	err := response.ReadBody(r.Reader, maxBody)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return errors.Trace(err)
	}
	return errors.Annotate(unquoted(err), "in the body")
}

// readChunks reads a body in chunks. The HTTP library reads the size line of a chunk to its end, however far
// that is.
func (r *Reader) readChunks(response *fasthttp.Response, maxBody int) error {
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(r.Reader), int64(maxBody)+1))
	switch {
	case err != nil:
		return errors.Annotate(unquoted(err), "in the body")
	case len(body) > maxBody:
		return errors.Trace(fasthttp.ErrBodyTooLarge)
	}
	response.SetBodyRaw(body)
	return r.ReadTrailer(&response.Header)
}

// ReadHead reads the head of the final response and skips the interim ones before it.
func (r *Reader) ReadHead(header *fasthttp.ResponseHeader) error {
	for range maxInterim {
		if err := r.CheckHead(); err != nil {
			return errors.Trace(err)
		}
		if err := header.Read(r.Reader); err != nil {
			return errors.Trace(unquoted(err))
		}
		switch status := header.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errors.Trace(ErrUpgrade)
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errors.Annotatef(ErrMalformed, "more than %d interim responses", maxInterim)
}

// CheckHead checks the head of the next response, interim or final, which stays to be read.
func (r *Reader) CheckHead() error {
	if err := r.skipLineEnds(); err != nil {
		return errors.Trace(err)
	}
	head, err := r.await(headLength)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(checkHead(head))
}

// ReadTrailer reads the trailer that follows the last chunk of a body.
func (r *Reader) ReadTrailer(header *fasthttp.ResponseHeader) error {
	trailer, err := r.await(trailerLength)
	if err != nil {
		return errors.Annotate(err, "reading the trailer")
	}
	if err := checkFields(trailer, nil); err != nil {
		return errors.Annotate(err, "in the trailer")
	}
	return errors.Annotate(unquoted(header.ReadTrailer(r.Reader)), "in the trailer")
}

// unquoted returns the reason for an error of the HTTP library without the part of the response that
// its text quotes: the log must not show cookies.
func unquoted(err error) error {
	var netErr net.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fasthttp.ErrTimeout):
		return fasthttp.ErrTimeout
	case errors.As(err, &netErr):
		return netErr
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return io.ErrUnexpectedEOF
	default:
		return ErrMalformed
	}
}

var (
	lineEnd    = []byte("\r\n")
	sectionEnd = []byte("\r\n\r\n")
)

// headLength returns the length of the head at the start of the buffered bytes, 0 if its end isn't there.
func headLength(buffered []byte, searched int) (int, error) {
	if !beginsStatusLine(buffered) {
		return 0, errors.Annotate(ErrMalformed, "no HTTP/1 response")
	}
	return sectionLength(buffered, searched), nil
}

// trailerLength returns the length of the trailer at the start of the buffered bytes, 0 if its end isn't
// there.
func trailerLength(buffered []byte, searched int) (int, error) {
	if bytes.HasPrefix(buffered, lineEnd) {
		return len(lineEnd), nil
	}
	return sectionLength(buffered, searched), nil
}

// sectionLength returns the length of the section at the start of the buffered bytes, 0 if its end isn't
// there. The bytes before searched hold no end.
func sectionLength(buffered []byte, searched int) int {
	end := bytes.Index(buffered[searched:], sectionEnd)
	if end < 0 {
		return 0
	}
	return searched + end + len(sectionEnd)
}

// await returns the head or trailer, which stays in the buffer, once it is there as a whole. So the HTTP
// library never parses a part of one. The function returns its length, 0 to read on; it gets the number of
// bytes that it has searched before.
func (r *Reader) await(lengthOf func(buffered []byte, searched int) (int, error)) ([]byte, error) {
	searched := 0
	for {
		buffered, _ := r.Peek(r.Buffered()) // what is buffered can be peeked at
		length, err := lengthOf(buffered, searched)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if length > 0 {
			return buffered[:length], nil
		}
		searched = max(len(buffered)-len(sectionEnd)+1, 0)
		if len(buffered) == r.Size() && !r.grow() {
			return nil, errors.Annotatef(ErrTooLarge, "over %d bytes", maxSize)
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil, errors.Annotatef(err, "after %d bytes", len(buffered))
		}
	}
}

// skipLineEnds discards line ends before a head.
func (r *Reader) skipLineEnds() error {
	for range maxLineEnds {
		next, err := r.Peek(1)
		if err != nil {
			return errors.Annotate(err, "before the head")
		}
		if next[0] != '\r' && next[0] != '\n' {
			return nil
		}
		_, _ = r.Discard(1) // it is buffered
	}
	return nil
}

// grow doubles the size of the buffer; false if it has its maximum.
func (r *Reader) grow() bool {
	size := r.Size()
	if size >= maxSize {
		return false
	}
	buffered, _ := r.Peek(r.Buffered())
	held := bytes.Clone(buffered)
	r.Reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(held), r.source), 2*size)
	_, err := r.Peek(len(held)) // moves them into the new buffer
	return err == nil
}
