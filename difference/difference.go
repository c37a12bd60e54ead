// Package difference encodes a text as its differences from a base text that the receiver
// has. An edit of one line in a configuration of hundreds of kilobytes takes a few tens
// of bytes. The package doesn't interpret the texts.
package difference

import (
	"bytes"

	"github.com/juju/errors"
)

// ErrStep reports steps that don't fit the base, or whose result exceeds the allowed
// size.
const ErrStep = errors.ConstError("steps don't fit the base text or exceed the size limit")

const (
	// blockSize is the length in bytes of the blocks of the base that are searched for in
	// the next text. It is shorter than a route with its name, so that an unchanged route
	// between two new ones is found, and long enough that the index of a megabyte has no
	// more than 32,768 entries.
	blockSize = 32
	// hashBase is the base of the rolling hash. It is the FNV prime.
	hashBase = 1099511628211
)

// Step copies a part of the base and then appends a text.
type Step struct {
	_ struct{} `cbor:",toarray"`
	// From and Length are the offset and the length in bytes of the part of the base.
	From, Length int
	Text         []byte
}

// Make returns the steps that turn base into next. It returns false if they contain more
// than maxText bytes of text, as they do for texts that have little in common. The steps
// refer to the memory of next.
func Make(base, next []byte, maxText int) ([]Step, bool) {
	e := encoder{base: base, next: next, index: indexBlocks(base)}
	for e.position+blockSize <= len(next) {
		if e.position-e.encoded > maxText {
			return nil, false
		}
		if from, ok := e.findBlock(); ok {
			e.copyMatch(from)
			continue
		}
		e.roll()
	}
	e.addText(len(next))
	text := 0
	for i := range e.steps {
		text += len(e.steps[i].Text)
	}
	return e.steps, text <= maxText
}

// Apply returns the text that steps make of base. It returns ErrStep if a step refers to
// a part outside of base, or if the text exceeds maxSize bytes.
func Apply(base []byte, steps []Step, maxSize int) ([]byte, error) {
	length := 0
	for _, s := range steps {
		if s.From < 0 || s.Length < 0 || s.Length > len(base) || s.From > len(base)-s.Length {
			return nil, errors.Annotatef(ErrStep, "copying %d bytes at offset %d of a %d-byte base", s.Length, s.From, len(base))
		}
		length += s.Length + len(s.Text)
		if length > maxSize {
			return nil, errors.Annotatef(ErrStep, "result of over %d bytes", maxSize)
		}
	}
	text := make([]byte, 0, length)
	for _, s := range steps {
		text = append(text, base[s.From:s.From+s.Length]...)
		text = append(text, s.Text...)
	}
	return text, nil
}

// encoder scans the next text for blocks of the base.
type encoder struct {
	base, next []byte
	// index maps the hash of each block of the base to the block's offset.
	index map[uint64]int
	steps []Step
	// position is the offset in next of the current block, and encoded the length of next
	// that the steps cover. hash is the hash of the current block, if isHashValid.
	position, encoded int
	hash              uint64
	isHashValid       bool
}

func indexBlocks(base []byte) map[uint64]int {
	index := make(map[uint64]int, len(base)/blockSize)
	for at := 0; at+blockSize <= len(base); at += blockSize {
		hash := hashOf(base[at:])
		if _, ok := index[hash]; !ok {
			index[hash] = at
		}
	}
	return index
}

// hashOf returns the hash of the first block of a text.
func hashOf(text []byte) uint64 {
	hash := uint64(0)
	for _, b := range text[:blockSize] {
		hash = hash*hashBase + uint64(b)
	}
	return hash
}

// firstByteWeight is the weight of a block's first byte in its hash.
var firstByteWeight = power(hashBase, blockSize-1)

func power(base uint64, exponent int) uint64 {
	result := uint64(1)
	for range exponent {
		result *= base
	}
	return result
}

// findBlock returns the offset in the base of a block equal to the current one. It
// returns false if there is none.
func (e *encoder) findBlock() (int, bool) {
	if !e.isHashValid {
		e.hash, e.isHashValid = hashOf(e.next[e.position:]), true
	}
	from, ok := e.index[e.hash]
	if !ok || !bytes.Equal(e.base[from:from+blockSize], e.next[e.position:e.position+blockSize]) {
		return 0, false
	}
	return from, true
}

// roll advances the current block by one byte.
func (e *encoder) roll() {
	if e.position+blockSize < len(e.next) {
		e.hash = (e.hash-uint64(e.next[e.position])*firstByteWeight)*hashBase + uint64(e.next[e.position+blockSize])
	}
	e.position++
}

// copyMatch adds a step that copies the matching block at offset from of the base,
// extended in both directions as far as base and next agree.
func (e *encoder) copyMatch(from int) {
	at := e.position
	for at > e.encoded && from > 0 && e.base[from-1] == e.next[at-1] {
		at--
		from--
	}
	length := e.position - at + blockSize
	for from+length < len(e.base) && at+length < len(e.next) && e.base[from+length] == e.next[at+length] {
		length++
	}
	e.addText(at)
	e.steps = append(e.steps, Step{From: from, Length: length})
	e.position, e.encoded, e.isHashValid = at+length, at+length, false
}

// addText appends the text of next up to end to the last step.
func (e *encoder) addText(end int) {
	if end == e.encoded {
		return
	}
	if len(e.steps) == 0 {
		e.steps = append(e.steps, Step{})
	}
	e.steps[len(e.steps)-1].Text = e.next[e.encoded:end]
	e.encoded = end
}
