package wire

import (
	"bytes"
	"iter"
)

// Headers is a block of header fields, each written as "name:value\n". HTTP allows no
// line break in names and values, and no colon in names. The block takes one allocation
// per message, whereas a list of strings would take two per field.
type Headers []byte

// Add appends a field and returns the extended block.
func (h Headers) Add(name, value []byte) Headers {
	h = append(h, name...)
	h = append(h, ':')
	h = append(h, value...)
	return append(h, '\n')
}

// All iterates over the fields. It skips lines without a colon, which only a faulty peer
// sends.
func (h Headers) All() iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for line := range bytes.Lines(h) {
			name, value, ok := bytes.Cut(bytes.TrimSuffix(line, []byte{'\n'}), []byte{':'})
			if ok && !yield(name, value) {
				return
			}
		}
	}
}

// Get returns the value of the first field with a name, and whether there is one. Names are
// compared case-insensitively; an empty name matches no field.
func (h Headers) Get(name string) ([]byte, bool) {
	if name == "" {
		return nil, false
	}
	for other, value := range h.All() {
		if len(other) == len(name) && bytes.EqualFold(other, []byte(name)) {
			return value, true
		}
	}
	return nil, false
}

// IsFieldName reports whether a field may have the name: a token of RFC 9110, 5.6.2.
func IsFieldName(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue reports whether a field may have the value (RFC 9110, 5.5).
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// IsWellFormed reports whether the block holds nothing but fields that HTTP allows.
func (h Headers) IsWellFormed() bool {
	for line := range bytes.Lines(h) {
		field, isLine := bytes.CutSuffix(line, []byte{'\n'})
		name, value, isField := bytes.Cut(field, []byte{':'})
		if !isLine || !isField || !IsFieldName(name) || !isFieldValue(value) {
			return false
		}
	}
	return true
}

// tokenBytes marks the bytes of a token.
var tokenBytes = func() (marks [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		marks[c] = true
	}
	return marks
}()

var hopByHopHeaders = [][]byte{
	[]byte("Connection"), []byte("Keep-Alive"), []byte("Transfer-Encoding"), []byte("Content-Length"),
	[]byte("Upgrade"), []byte("TE"), []byte("Trailer"), []byte("Proxy-Connection"),
}

// IsHopByHop reports whether a header field isn't forwarded: it concerns one connection
// only, or it frames the body, whose whole length the message carries instead.
func IsHopByHop(name []byte) bool {
	for _, header := range hopByHopHeaders {
		if bytes.EqualFold(header, name) {
			return true
		}
	}
	return false
}

// IsCookie reports whether a header field carries a client's cookies.
func IsCookie(name []byte) bool {
	return bytes.EqualFold(name, cookie)
}

var cookie = []byte("Cookie")
