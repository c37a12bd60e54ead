package resend

import (
	"container/list"

	"fuchsiapick.example/fuchsiapick/clock"
)

// StoreConfig configures a Store.
type StoreConfig struct {
	// Start is when the store is created: it has no record of earlier sends.
	Start clock.Millis
	// Retention is how long a key is recorded.
	Retention clock.Millis
	// MaxKeys bounds the number of recorded keys.
	MaxKeys int
	// MaxReply bounds the size of one kept reply, MaxBytes that of all kept replies
	// together, in bytes.
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
	replyElement *list.Element // in replies; nil without a reply
}

// Store records the keys that were sent to the gates of one node. V is the type of a kept
// reply. It isn't safe for concurrent use.
//
// A store guards against a second run of a key after it has lost a record. Whenever a record
// is lost, through its age, the bound on records or a restart of the process, the time since
// which the store covers keys moves past that record. The node then reports Forgotten
// instead of reporting a send that ran as not run.
type Store[V any] struct {
	config       StoreConfig
	coveredSince clock.Millis // keys that were sent later are covered
	records      map[Key]*record[V]
	order        *list.List // of *record[V], oldest first
	replies      *list.List // of *record[V] with a reply, oldest first
	bytes        int
}

// NewStore returns an empty store.
func NewStore[V any](config StoreConfig) *Store[V] {
	return &Store[V]{
		config:       config,
		coveredSince: config.Start,
		records:      map[Key]*record[V]{},
		order:        list.New(),
		replies:      list.New(),
	}
}

// Covers returns how far back the records reach: the store covers keys that were first sent
// less long ago.
func (s *Store[V]) Covers(now clock.Millis) clock.Millis {
	s.expire(now)
	return now - s.coveredSince
}

// Len returns the number of recorded keys.
func (s *Store[V]) Len() int {
	return len(s.records)
}

// Lookup returns whether a send may run at this node: it may if the status is Free. With
// Ran, Lookup returns the kept reply.
func (s *Store[V]) Lookup(now clock.Millis, send Send) (Status, V) {
	s.expire(now)
	var none V
	r, ok := s.records[send.Key]
	switch {
	case ok && r.phase != revoked:
		return r.status(send)
	case ok && r.precedence == send.Precedence:
		return Free, none
	case ok && send.Precedence.Less(r.precedence):
		return Superseded, none
	case ok, send.Precedence.IsResend():
		// The resend's revocation didn't reach this node, or was evicted.
		return Forgotten, none
	case send.Received <= max(s.coveredSince, send.GateCreated):
		// The first send may have been delayed at its entry while a resend revoked the key:
		// at this node, in a record that is lost, or at the gates of a table that didn't
		// name this gate yet.
		return Forgotten, none
	default:
		return Free, none
	}
}

// Begin is Lookup as the last step before a send goes to the upstream. If it returns Free,
// the send is recorded as begun.
func (s *Store[V]) Begin(now clock.Millis, send Send) (Status, V) {
	status, reply := s.Lookup(now, send)
	if status != Free {
		return status, reply
	}
	r, ok := s.records[send.Key]
	if !ok {
		r = s.add(now, send)
	}
	r.phase, r.digest = begun, send.Digest
	return Free, reply
}

// Revoke forbids all sends of lower precedence than a resend and returns what is known of
// the key. After Free, only this resend, or one with precedence over it, can begin at this
// node.
func (s *Store[V]) Revoke(now clock.Millis, send Send) (Status, V) {
	s.expire(now)
	var none V
	r, ok := s.records[send.Key]
	switch {
	case !ok:
		s.add(now, send)
	case r.phase != revoked:
		return r.status(send)
	case send.Precedence.Less(r.precedence):
		return Superseded, none
	default:
		r.precedence, r.digest = send.Precedence, send.Digest
	}
	return Free, none
}

// RecordNotRun undoes a Begin: the upstream never received the send.
func (s *Store[V]) RecordNotRun(key Key) {
	r, ok := s.records[key]
	switch {
	case !ok || r.phase != begun:
	case r.precedence.IsResend():
		r.phase = revoked
	default:
		s.remove(r)
	}
}

// RecordReply ends a begun send and keeps its reply, of size bytes, for resends. A reply
// that is too large isn't kept.
func (s *Store[V]) RecordReply(key Key, reply V, size int) {
	r, ok := s.records[key]
	if !ok || r.phase != begun {
		return
	}
	r.phase = done
	if size > s.config.MaxReply || size > s.config.MaxBytes {
		return
	}
	for s.bytes+size > s.config.MaxBytes {
		s.dropReply(s.replies.Front())
	}
	r.reply, r.size = reply, size
	r.replyElement = s.replies.PushBack(r)
	s.bytes += size
}

// RecordLost ends a begun send that has no complete reply.
func (s *Store[V]) RecordLost(key Key) {
	if r, ok := s.records[key]; ok && r.phase == begun {
		r.phase = done
	}
}

// status returns the status of a begun or finished send for another send of its key.
func (r *record[V]) status(send Send) (Status, V) {
	var none V
	switch {
	case r.digest != send.Digest:
		return Reused, none
	case r.phase == begun:
		return Running, none
	case r.replyElement == nil:
		return Lost, none
	default:
		return Ran, r.reply
	}
}

// add records a key, and evicts the oldest keys if there are MaxKeys.
func (s *Store[V]) add(now clock.Millis, send Send) *record[V] {
	for remaining := s.order.Len(); s.order.Len() >= s.config.MaxKeys && remaining > 0; remaining-- {
		s.evict(s.order.Front())
	}
	r := &record[V]{key: send.Key, digest: send.Digest, precedence: send.Precedence, created: now}
	r.orderElement = s.order.PushBack(r)
	s.records[send.Key] = r
	return r
}

// expire evicts the keys whose retention is over.
func (s *Store[V]) expire(now clock.Millis) {
	for remaining := s.order.Len(); remaining > 0; remaining-- {
		first := s.order.Front()
		if r, ok := first.Value.(*record[V]); !ok || now-r.created <= s.config.Retention {
			return
		}
		s.evict(first)
	}
}

// evict drops a key; the store then no longer covers keys as old as this one. A send that
// runs is kept, however old: their number is bounded by the slots.
func (s *Store[V]) evict(e *list.Element) {
	r, ok := e.Value.(*record[V])
	if !ok {
		return
	}
	if r.phase == begun {
		s.order.MoveToBack(e)
		return
	}
	s.coveredSince = max(s.coveredSince, r.created)
	s.remove(r)
}

func (s *Store[V]) remove(r *record[V]) {
	if r.replyElement != nil {
		s.dropReply(r.replyElement)
	}
	s.order.Remove(r.orderElement)
	delete(s.records, r.key)
}

// dropReply drops a kept reply. That the key ran stays recorded.
func (s *Store[V]) dropReply(e *list.Element) {
	r, ok := e.Value.(*record[V])
	if !ok {
		return
	}
	var none V
	s.bytes -= r.size
	s.replies.Remove(e)
	r.reply, r.size, r.replyElement = none, 0, nil
}
