package resend

import (
	"container/list"

	"fuchsiapick.example/fuchsiapick/clock"
)

// StoreConfig configures a Memory.
type StoreConfig struct {
	// Start is when the memory begins: nothing before it is known.
	Start clock.Millis
	// Retention is how long a key is remembered.
	Retention clock.Millis
	// MaxKeys bounds the keys that are remembered.
	MaxKeys int
	// MaxReply bounds one kept answer and Bytes all of them together, in bytes.
	MaxReply int
	MaxBytes int
}

type phase uint8

const (
	revoked phase = iota
	begun
	done
)

type record[V any] struct {
	key        Key
	digest     Digest
	precedence Precedence
	phase      phase
	created    clock.Millis

	orderElement *list.Element // in order
	reply        V
	size         int
	replyElement *list.Element // nil without an answer
}

// Store is what one node knows of the keys sent to its gates. V is a kept
// answer. It isn't safe for concurrent use.
//
// It guards against a second run of a key: whatever was forgotten, by age, by
// number or with an earlier process, moves the instant from which the memory
// vouches for keys past the forgotten one. A node that lost its memory then
// says so in place of denying what ran.
type Store[V any] struct {
	config       StoreConfig
	coveredSince clock.Millis
	records      map[Key]*record[V]
	order        *list.List // of records, oldest first
	replies      *list.List // of records with an answer, oldest first
	bytes        int
}

// NewStore returns an empty memory.
func NewStore[V any](c StoreConfig) *Store[V] {
	return &Store[V]{
		config:       c,
		coveredSince: c.Start,
		records:      map[Key]*record[V]{},
		order:        list.New(),
		replies:      list.New(),
	}
}

// Covers returns how far back the memory reaches: it vouches for keys that
// were first sent less long ago.
func (m *Store[V]) Covers(now clock.Millis) clock.Millis {
	m.expire(now)
	return now - m.coveredSince
}

// Len returns how many keys are remembered.
func (m *Store[V]) Len() int {
	return len(m.records)
}

// Lookup says whether a send may run here. Free allows it; with Ran comes the
// kept answer.
func (m *Store[V]) Lookup(now clock.Millis, c Send) (Status, V) {
	m.expire(now)
	var none V
	r, ok := m.records[c.Key]
	switch {
	case ok && r.phase != revoked:
		return r.status(c)
	case ok && r.precedence == c.Precedence:
		return Free, none
	case ok && c.Precedence.Less(r.precedence):
		return Superseded, none
	case ok, c.Precedence.IsResend():
		// Its void didn't reach this node, or was forgotten.
		return Forgotten, none
	case c.Received <= max(m.coveredSince, c.GateCreated):
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
func (m *Store[V]) Begin(now clock.Millis, c Send) (Status, V) {
	standing, answer := m.Lookup(now, c)
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

// Revoke forbids all sends that go before a resend and says what is known. After
// Free nothing but this resend, or one that goes before it, can begin here.
func (m *Store[V]) Revoke(now clock.Millis, c Send) (Status, V) {
	m.expire(now)
	var none V
	r, ok := m.records[c.Key]
	switch {
	case !ok:
		m.add(now, c)
	case r.phase != revoked:
		return r.status(c)
	case c.Precedence.Less(r.precedence):
		return Superseded, none
	default:
		r.precedence, r.digest = c.Precedence, c.Digest
	}
	return Free, none
}

// RecordNotRun takes back a Begin: the upstream never saw the send.
func (m *Store[V]) RecordNotRun(key Key) {
	r, ok := m.records[key]
	switch {
	case !ok || r.phase != begun:
	case r.precedence.IsResend():
		r.phase = revoked
	default:
		m.remove(r)
	}
}

// RecordReply ends a begun send with the answer that a resend gets again, of size
// bytes. One that is too large isn't kept.
func (m *Store[V]) RecordReply(key Key, answer V, size int) {
	r, ok := m.records[key]
	if !ok || r.phase != begun {
		return
	}
	r.phase = done
	if size > m.config.MaxReply || size > m.config.MaxBytes {
		return
	}
	for m.bytes+size > m.config.MaxBytes {
		m.dropReply(m.replies.Front())
	}
	r.reply, r.size = answer, size
	r.replyElement = m.replies.PushBack(r)
	m.bytes += size
}

// RecordLost ends a begun send that has no whole answer.
func (m *Store[V]) RecordLost(key Key) {
	if r, ok := m.records[key]; ok && r.phase == begun {
		r.phase = done
	}
}

func (r *record[V]) status(c Send) (Status, V) {
	var none V
	switch {
	case r.digest != c.Digest:
		return Reused, none
	case r.phase == begun:
		return Running, none
	case r.replyElement == nil:
		return Lost, none
	default:
		return Ran, r.reply
	}
}

func (m *Store[V]) add(now clock.Millis, c Send) *record[V] {
	for tries := m.order.Len(); m.order.Len() >= m.config.MaxKeys && tries > 0; tries-- {
		m.evict(m.order.Front())
	}
	r := &record[V]{key: c.Key, digest: c.Digest, precedence: c.Precedence, created: now}
	r.orderElement = m.order.PushBack(r)
	m.records[c.Key] = r
	return r
}

// expire forgets the keys whose retention is over.
func (m *Store[V]) expire(now clock.Millis) {
	for tries := m.order.Len(); tries > 0; tries-- {
		first := m.order.Front()
		if r, ok := first.Value.(*record[V]); !ok || now-r.created <= m.config.Retention {
			return
		}
		m.evict(first)
	}
}

// evict drops a key and with it the claim to know of others as old. A send
// that runs is kept, however old: there are only as many as slots.
func (m *Store[V]) evict(e *list.Element) {
	r, ok := e.Value.(*record[V])
	if !ok {
		return
	}
	if r.phase == begun {
		m.order.MoveToBack(e)
		return
	}
	m.coveredSince = max(m.coveredSince, r.created)
	m.remove(r)
}

func (m *Store[V]) remove(r *record[V]) {
	if r.replyElement != nil {
		m.dropReply(r.replyElement)
	}
	m.order.Remove(r.orderElement)
	delete(m.records, r.key)
}

// dropReply drops a kept answer; that the key ran stays known.
func (m *Store[V]) dropReply(e *list.Element) {
	r, ok := e.Value.(*record[V])
	if !ok {
		return
	}
	var none V
	m.bytes -= r.size
	m.replies.Remove(e)
	r.reply, r.size, r.replyElement = none, 0, nil
}
