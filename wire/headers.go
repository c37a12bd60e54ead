package wire

import (
	"bytes"
	"iter"
)

// Headers is a block of header fields, each "name:value\n". HTTP allows no line
// break in either and no colon in a name. One block in place of a list of
// strings makes one allocation a message in place of two a field.
type Headers []byte

// Add returns the block with one more field.
func (h Headers) Add(name, value []byte) Headers {
	h = append(h, name...)
	h = append(h, ':')
	h = append(h, value...)
	return append(h, '\n')
}

// All yields the fields. A line without a colon, which only a broken peer
// sends, is passed over.
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

var hopByHopHeaders = [][]byte{
	[]byte("Connection"), []byte("Keep-Alive"), []byte("Transfer-Encoding"), []byte("Content-Length"),
	[]byte("Upgrade"), []byte("TE"), []byte("Trailer"), []byte("Proxy-Connection"),
}

// IsHopByHop reports fields that are about one connection only and are not
// handed on, and those that the whole body's length replaces.
func IsHopByHop(name []byte) bool {
	for _, one := range hopByHopHeaders {
		if bytes.EqualFold(one, name) {
			return true
		}
	}
	return false
}
