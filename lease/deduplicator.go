package lease

import (
	"container/heap"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Key identifies one attempt at a request.
type Key struct {
	Entry   uint64
	Seq     uint64
	Attempt uint8
}

// Verdict says whether a gate may accept a dispatch.
type Verdict uint8

// The verdicts on a dispatch.
const (
	// Fresh means that the gate may accept the dispatch.
	Fresh Verdict = iota
	// Stale means that the lease is over or names another incarnation.
	Stale
	// Revoked means that the dispatch was resolved as not run before it arrived.
	Revoked
	// Duplicate means that the gate has accepted the dispatch before.
	Duplicate
)

// Resolution is the outcome of a dispatch that an entry asks the gate to resolve.
type Resolution uint8

// The resolutions of a dispatch.
const (
	// NotRun means that the dispatch has not begun and never will.
	NotRun Resolution = iota
	// Begun means that the upstream may have received the dispatch.
	Begun
	// Done means that the dispatch has a result, which can be sent again.
	Done
	// Forgotten means that the gate doesn't know: the dispatch was sent to another
	// incarnation, or its lease has been over for so long that the record has expired.
	Forgotten
)

// Retention is how long a dispatch stays recorded after its lease. An entry that asks late,
// at its own deadline or after a pause, still gets the true outcome.
const Retention = 5 * clock.Second

type phase uint8

const (
	accepted phase = iota
	revoked
	begun
	done
)

type record[V any] struct {
	key    Key
	phase  phase
	lease  clock.Millis
	result V
}

// Deduplicator records at a gate which dispatches it accepted, revoked, began and finished,
// until their leases are over. V is the type of the result that is kept for Resolve.
//
// It guards against a dispatch that runs twice, or runs after the gate has reported to the
// entry that it doesn't: a frame may be duplicated, be overtaken by the request to resolve
// it, or be read late. Every such frame either has a record here or a lease that is over,
// because a record doesn't expire before its lease.
type Deduplicator[V any] struct {
	incarnation uint64
	records     map[Key]*record[V]
	expiries    expiryHeap[V]
}

// NewDeduplicator returns an empty Deduplicator for one incarnation of a gate.
func NewDeduplicator[V any](incarnation uint64) *Deduplicator[V] {
	return &Deduplicator[V]{incarnation: incarnation, records: map[Key]*record[V]{}}
}

// Accept decides about a dispatch that has arrived, and records one that is Fresh.
func (d *Deduplicator[V]) Accept(now clock.Millis, key Key, incarnation uint64, lease clock.Millis) Verdict {
	d.expire(now)
	if incarnation != d.incarnation || now > lease {
		return Stale
	}
	if r, ok := d.records[key]; ok {
		if r.phase == revoked {
			return Revoked
		}
		return Duplicate
	}
	d.add(key, accepted, lease)
	return Fresh
}

// Begin decides whether a dispatch may still begin. It is the last step before the request
// goes to the upstream: after true, the dispatch counts as begun.
func (d *Deduplicator[V]) Begin(now clock.Millis, key Key) bool {
	r, ok := d.records[key]
	if !ok || r.phase != accepted || now > r.lease {
		return false
	}
	r.phase = begun
	return true
}

// Refuse revokes a dispatch that was accepted and will not begin.
func (d *Deduplicator[V]) Refuse(key Key) {
	if r, ok := d.records[key]; ok && r.phase == accepted {
		r.phase = revoked
	}
}

// Finish records the result of a dispatch that was begun.
func (d *Deduplicator[V]) Finish(key Key, result V) {
	if r, ok := d.records[key]; ok && r.phase == begun {
		r.phase, r.result = done, result
	}
}

// Resolve returns the outcome of a dispatch, with the result if it is Done, and revokes the
// dispatch if it has not begun. A key without a record is revoked too: if its frame still
// arrives, Accept refuses it.
//
// Resolve returns NotRun only while the record of a dispatch that ran would still exist. A
// replaced gate, or a gate that is asked too late, has no record of the dispatch and would
// otherwise report a request that ran as not run.
func (d *Deduplicator[V]) Resolve(now clock.Millis, key Key, incarnation uint64, lease clock.Millis) (Resolution, V) {
	d.expire(now)
	var none V
	if incarnation != d.incarnation {
		return Forgotten, none
	}
	r, ok := d.records[key]
	if !ok {
		if now > lease+Retention {
			return Forgotten, none
		}
		d.add(key, revoked, lease)
		return NotRun, none
	}
	switch r.phase {
	case begun:
		return Begun, none
	case done:
		return Done, r.result
	default:
		r.phase = revoked
		return NotRun, none
	}
}

// Contains reports whether a dispatch is recorded.
func (d *Deduplicator[V]) Contains(key Key) bool {
	_, ok := d.records[key]
	return ok
}

// IsEmpty reports whether no dispatch is recorded any more at the given time.
func (d *Deduplicator[V]) IsEmpty(now clock.Millis) bool {
	d.expire(now)
	return len(d.records) == 0
}

// Len returns the number of recorded dispatches.
func (d *Deduplicator[V]) Len() int {
	return len(d.records)
}

// add records a dispatch until its lease and the retention are over.
func (d *Deduplicator[V]) add(key Key, p phase, lease clock.Millis) {
	r := &record[V]{key: key, phase: p, lease: lease}
	d.records[key] = r
	heap.Push(&d.expiries, r)
}

// expire drops the records whose lease and retention are over. The record of a begun
// dispatch stays until the dispatch ends: without the record, Resolve would return NotRun.
func (d *Deduplicator[V]) expire(now clock.Millis) {
	for len(d.expiries) > 0 && d.expiries[0].lease+Retention < now {
		r := d.expiries[0]
		if r.phase == begun {
			r.lease = now
			heap.Fix(&d.expiries, 0)
			continue
		}
		heap.Pop(&d.expiries)
		delete(d.records, r.key)
	}
}

// expiryHeap is a heap of records by the end of their leases.
type expiryHeap[V any] []*record[V]

func (q expiryHeap[V]) Len() int           { return len(q) }
func (q expiryHeap[V]) Less(i, j int) bool { return q[i].lease < q[j].lease }
func (q expiryHeap[V]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends a record, for package heap.
func (q *expiryHeap[V]) Push(x any) {
	if r, ok := x.(*record[V]); ok {
		*q = append(*q, r)
	}
}

// Pop removes the last record, for package heap.
func (q *expiryHeap[V]) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
