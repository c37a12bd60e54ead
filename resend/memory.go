package resend

import (
	"container/list"

	"fuchsiapick.example/fuchsiapick/clock"
)

// MemoryConfig configures a Memory.
type MemoryConfig struct {
	// Start is when the memory begins: nothing before it is known.
	Start clock.Millis
	// Retention is how long a key is remembered.
	Retention clock.Millis
	// Keys bounds the keys that are remembered.
	Keys int
	// Answer bounds one kept answer and Bytes all of them together, in bytes.
	Answer int
	Bytes  int
}

type phase uint8

const (
	voided phase = iota
	begun
	done
)

type record[V any] struct {
	key     Key
	digest  Digest
	ballot  Ballot
	phase   phase
	created clock.Millis

	place  *list.Element // in order
	answer V
	size   int
	kept   *list.Element // nil without an answer
}

// Memory is what one node knows of the keys sent to its gates. V is a kept
// answer. It isn't safe for concurrent use.
//
// It guards against a second run of a key: whatever was forgotten, by age, by
// number or with an earlier process, moves the instant from which the memory
// vouches for keys past the forgotten one. A node that lost its memory then
// says so in place of denying what ran.
type Memory[V any] struct {
	config  MemoryConfig
	since   clock.Millis
	records map[Key]*record[V]
	order   *list.List // of records, oldest first
	answers *list.List // of records with an answer, oldest first
	bytes   int
}

// NewMemory returns an empty memory.
func NewMemory[V any](c MemoryConfig) *Memory[V] {
	return &Memory[V]{
		config:  c,
		since:   c.Start,
		records: map[Key]*record[V]{},
		order:   list.New(),
		answers: list.New(),
	}
}

// Covers returns how far back the memory reaches: it vouches for keys that
// were first sent less long ago.
func (m *Memory[V]) Covers(now clock.Millis) clock.Millis {
	m.expire(now)
	return now - m.since
}

// Len returns how many keys are remembered.
func (m *Memory[V]) Len() int {
	return len(m.records)
}

// Look says whether a send may run here. Free allows it; with Ran comes the
// kept answer.
func (m *Memory[V]) Look(now clock.Millis, c Claim) (Standing, V) {
	m.expire(now)
	var none V
	r, ok := m.records[c.Key]
	switch {
	case ok && r.phase != voided:
		return r.standing(c)
	case ok && r.ballot == c.Ballot:
		return Free, none
	case ok && c.Ballot.Before(r.ballot):
		return Outranked, none
	case ok, c.Ballot.Marked():
		// Its void didn't reach this node, or was forgotten.
		return Forgotten, none
	case c.Received <= max(m.since, c.Gate):
		// A first send that was held up at its entry while a resend voided
		// the key: here, in a memory that is gone, or at the gates of a table
		// that didn't name this one yet.
		return Forgotten, none
	default:
		return Free, none
	}
}

// Begin is Look as the last step before a send goes to the upstream: after Free
// the key counts as begun.
func (m *Memory[V]) Begin(now clock.Millis, c Claim) (Standing, V) {
	standing, answer := m.Look(now, c)
	if standing != Free {
		return standing, answer
	}
	r, ok := m.records[c.Key]
	if !ok {
		r = m.add(now, c)
	}
	r.phase, r.digest = begun, c.Digest
	return Free, answer
}

// Void forbids all sends that go before a resend and says what is known. After
// Free nothing but this resend, or one that goes before it, can begin here.
func (m *Memory[V]) Void(now clock.Millis, c Claim) (Standing, V) {
	m.expire(now)
	var none V
	r, ok := m.records[c.Key]
	switch {
	case !ok:
		m.add(now, c)
	case r.phase != voided:
		return r.standing(c)
	case c.Ballot.Before(r.ballot):
		return Outranked, none
	default:
		r.ballot, r.digest = c.Ballot, c.Digest
	}
	return Free, none
}

// NotRun takes back a Begin: the upstream never saw the send.
func (m *Memory[V]) NotRun(key Key) {
	r, ok := m.records[key]
	switch {
	case !ok || r.phase != begun:
	case r.ballot.Marked():
		r.phase = voided
	default:
		m.remove(r)
	}
}

// Done ends a begun send with the answer that a resend gets again, of size
// bytes. One that is too large isn't kept.
func (m *Memory[V]) Done(key Key, answer V, size int) {
	r, ok := m.records[key]
	if !ok || r.phase != begun {
		return
	}
	r.phase = done
	if size > m.config.Answer || size > m.config.Bytes {
		return
	}
	for m.bytes+size > m.config.Bytes {
		m.strip(m.answers.Front())
	}
	r.answer, r.size = answer, size
	r.kept = m.answers.PushBack(r)
	m.bytes += size
}

// Lost ends a begun send that has no whole answer.
func (m *Memory[V]) Lost(key Key) {
	if r, ok := m.records[key]; ok && r.phase == begun {
		r.phase = done
	}
}

func (r *record[V]) standing(c Claim) (Standing, V) {
	var none V
	switch {
	case r.digest != c.Digest:
		return Other, none
	case r.phase == begun:
		return Running, none
	case r.kept == nil:
		return Lost, none
	default:
		return Ran, r.answer
	}
}

func (m *Memory[V]) add(now clock.Millis, c Claim) *record[V] {
	for tries := m.order.Len(); m.order.Len() >= m.config.Keys && tries > 0; tries-- {
		m.forget(m.order.Front())
	}
	r := &record[V]{key: c.Key, digest: c.Digest, ballot: c.Ballot, created: now}
	r.place = m.order.PushBack(r)
	m.records[c.Key] = r
	return r
}

// expire forgets the keys whose retention is over.
func (m *Memory[V]) expire(now clock.Millis) {
	for tries := m.order.Len(); tries > 0; tries-- {
		first := m.order.Front()
		if r, ok := first.Value.(*record[V]); !ok || now-r.created <= m.config.Retention {
			return
		}
		m.forget(first)
	}
}

// forget drops a key and with it the claim to know of others as old. A send
// that runs is kept, however old: there are only as many as slots.
func (m *Memory[V]) forget(e *list.Element) {
	r, ok := e.Value.(*record[V])
	if !ok {
		return
	}
	if r.phase == begun {
		m.order.MoveToBack(e)
		return
	}
	m.since = max(m.since, r.created)
	m.remove(r)
}

func (m *Memory[V]) remove(r *record[V]) {
	if r.kept != nil {
		m.strip(r.kept)
	}
	m.order.Remove(r.place)
	delete(m.records, r.key)
}

// strip drops a kept answer; that the key ran stays known.
func (m *Memory[V]) strip(e *list.Element) {
	r, ok := e.Value.(*record[V])
	if !ok {
		return
	}
	var none V
	m.bytes -= r.size
	m.answers.Remove(e)
	r.answer, r.size, r.kept = none, 0, nil
}
