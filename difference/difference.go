// Package difference tells a text as what has changed against another one that the
// reader has: a configuration of hundreds of kilobytes of which an edit touches a line
// costs some tens of bytes. It knows nothing of what the texts mean.
package difference

import (
	"bytes"

	"github.com/juju/errors"
)

// ErrStep reports steps that don't fit the base, or that make more than is allowed.
const ErrStep = errors.ConstError("steps don't fit the text that they are to change")

const (
	// blockSize is the length in bytes of the parts of the base that are looked for: shorter
	// than a route with its name, so that one between two that are new is found, and long
	// enough that the index of a megabyte has 32,768 entries.
	blockSize = 32
	// hashBase is the base of the hash that rolls over the text, that of FNV.
	hashBase = 1099511628211
)

// Step takes a part of the base, then adds a text.
type Step struct {
	_ struct{} `cbor:",toarray"`
	// From and Length name the part of the base, in bytes.
	From, Length int
	Text         []byte
}

// Make returns steps from base to next. It returns false if they hold more than so many
// bytes of text, as between texts that have little in common.
func Make(base, next []byte, most int) ([]Step, bool) {
	m := encoder{base: base, next: next, index: indexBlocks(base)}
	for m.at+blockSize <= len(next) {
		if m.at-m.encoded > most {
			return nil, false
		}
		if from, ok := m.findBlock(); ok {
			m.copyMatch(from)
			continue
		}
		m.roll()
	}
	m.addText(len(next))
	text := 0
	for i := range m.steps {
		text += len(m.steps[i].Text)
	}
	return m.steps, text <= most
}

// Apply makes the text of which the steps tell. It returns ErrStep for steps that name no
// part of the base, and for a text of more than so many bytes.
func Apply(base []byte, steps []Step, most int) ([]byte, error) {
	length := 0
	for _, s := range steps {
		if s.From < 0 || s.Length < 0 || s.Length > len(base) || s.From > len(base)-s.Length {
			return nil, errors.Annotatef(ErrStep, "%d bytes from %d of %d", s.Length, s.From, len(base))
		}
		length += s.Length + len(s.Text)
		if length > most {
			return nil, errors.Annotatef(ErrStep, "over %d bytes", most)
		}
	}
	text := make([]byte, 0, length)
	for _, s := range steps {
		text = append(text, base[s.From:s.From+s.Length]...)
		text = append(text, s.Text...)
	}
	return text, nil
}

// encoder goes through the next text.
type encoder struct {
	base, next []byte
	// index holds the places of the base's blocks by their hash.
	index map[uint64]int
	steps []Step
	// at is where it looks, told up to where the steps go, hash that of the block at at,
	// if isRolled.
	at, encoded int
	hash        uint64
	isHashValid bool
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

// hashOf is the hash of the first block of a text.
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

// findBlock returns where in the base the block stands that is looked at.
func (m *encoder) findBlock() (int, bool) {
	if !m.isHashValid {
		m.hash, m.isHashValid = hashOf(m.next[m.at:]), true
	}
	from, ok := m.index[m.hash]
	if !ok || !bytes.Equal(m.base[from:from+blockSize], m.next[m.at:m.at+blockSize]) {
		return 0, false
	}
	return from, true
}

// roll goes on by a byte.
func (m *encoder) roll() {
	if m.at+blockSize < len(m.next) {
		m.hash = (m.hash-uint64(m.next[m.at])*firstByteWeight)*hashBase + uint64(m.next[m.at+blockSize])
	}
	m.at++
}

// copyMatch takes the part of the base that goes on as the next text does, to both sides of
// the block.
func (m *encoder) copyMatch(from int) {
	at := m.at
	for at > m.encoded && from > 0 && m.base[from-1] == m.next[at-1] {
		at--
		from--
	}
	length := m.at - at + blockSize
	for from+length < len(m.base) && at+length < len(m.next) && m.base[from+length] == m.next[at+length] {
		length++
	}
	m.addText(at)
	m.steps = append(m.steps, Step{From: from, Length: length})
	m.at, m.encoded, m.isHashValid = at+length, at+length, false
}

// addText adds the text up to a place to the last step.
func (m *encoder) addText(end int) {
	if end == m.encoded {
		return
	}
	if len(m.steps) == 0 {
		m.steps = append(m.steps, Step{})
	}
	m.steps[len(m.steps)-1].Text = m.next[m.encoded:end]
	m.encoded = end
}
