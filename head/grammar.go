package head

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/wire"
)

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

var (
	http11           = []byte("HTTP/1.1 ")
	transferEncoding = []byte(fasthttp.HeaderTransferEncoding)
)

// checkHead returns ErrMalformed for a head that recipients read differently. The HTTP library checks the
// values of the fields.
func checkHead(head []byte) error {
	statusLine, fields, _ := bytes.Cut(head, lineEnd)
	for _, c := range statusLine {
		if c < ' ' && c != '\t' || c == 0x7f {
			return errors.Annotate(ErrMalformed, "a control byte in the status line")
		}
	}
	if bytes.HasPrefix(statusLine, http11) {
		return checkFields(fields, nil)
	}
	// HTTP/1.0 has no chunks. The HTTP library ignores the field and takes the chunks for the body.
	return checkFields(fields, transferEncoding)
}

// checkFields returns ErrMalformed unless each line of a section is a field whose name is a token
// (RFC 9110, 5.6.2), other than the forbidden one. So a folded line is refused, and a line that ends with a
// line feed alone (RFC 9112, 2.2 and 5.2).
func checkFields(section, forbidden []byte) error {
	for line := range bytes.Lines(section) {
		if !bytes.HasSuffix(line, lineEnd) {
			return errors.Annotate(ErrMalformed, "a line that ends with a line feed alone")
		}
		if len(line) == len(lineEnd) {
			return nil
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if !wire.IsFieldName(name) {
			return errors.Annotate(ErrMalformed, "a field name that is no token")
		}
		if forbidden != nil && bytes.EqualFold(name, forbidden) {
			return errors.Annotate(ErrMalformed, "a response of HTTP/1.0 with a transfer encoding")
		}
	}
	return nil
}
