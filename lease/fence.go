package lease

import (
	"container/heap"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Key names one attempt at a request.
type Key struct {
	Entry   uint64
	Seq     uint64
	Attempt uint8
}

// Verdict says whether a gate may take in a dispatch.
type Verdict uint8

// The verdicts on a dispatch.
const (
	// Fresh may be taken in.
	Fresh Verdict = iota
	// Stale has a lease that is over or that names another incarnation.
	Stale
	// Revoked was settled as not run before it arrived.
	Revoked
	// Duplicate was taken in before.
	Duplicate
)

// Resolution says what became of a dispatch that an entry asks about.
type Resolution uint8

// The settlements.
const (
	// NotRun means that it has not begun and never will.
	NotRun Resolution = iota
	// Begun means that the upstream may have got it.
	Begun
	// Done means that its outcome stands and can be sent again.
	Done
	// Forgotten means that the gate can't vouch: another incarnation took the
	// dispatch, or its lease has been over for so long that it isn't
	// remembered.
	Forgotten
)

// Retention is how long after its lease a dispatch is remembered, so that an
// entry that asks late, at its own deadline or after a pause, still gets the
// true outcome.
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

// Deduplicator remembers at a gate, until their leases are over, which dispatches it
// took in, voided, began and ended. V is the outcome kept for a settlement.
//
// It guards against running a dispatch twice or after the entry was told that
// it is not run: a frame may be duplicated, be overtaken by its settlement, or
// be read late. Every such frame either meets its key here or has a lease that
// is over, for a key is only forgotten once its lease is.
type Deduplicator[V any] struct {
	incarnation uint64
	records     map[Key]*record[V]
	expiries    expiryHeap[V]
}

// NewDeduplicator returns an empty fence of one incarnation of a gate.
func NewDeduplicator[V any](incarnation uint64) *Deduplicator[V] {
	return &Deduplicator[V]{incarnation: incarnation, records: map[Key]*record[V]{}}
}

// Accept decides about a dispatch that has arrived and remembers a fresh one.
func (f *Deduplicator[V]) Accept(now clock.Millis, key Key, incarnation uint64, lease clock.Millis) Verdict {
	f.expire(now)
	if incarnation != f.incarnation || now > lease {
		return Stale
	}
	if t, ok := f.records[key]; ok {
		if t.phase == revoked {
			return Revoked
		}
		return Duplicate
	}
	f.add(key, accepted, lease)
	return Fresh
}

// Begin decides, as the last step before the request goes to the upstream,
// whether it still may. After true it counts as begun for good.
func (f *Deduplicator[V]) Begin(now clock.Millis, key Key) bool {
	t, ok := f.records[key]
	if !ok || t.phase != accepted || now > t.lease {
		return false
	}
	t.phase = begun
	return true
}

// Refuse ends a dispatch that was taken in and will not be begun.
func (f *Deduplicator[V]) Refuse(key Key) {
	if t, ok := f.records[key]; ok && t.phase == accepted {
		t.phase = revoked
	}
}

// Finish records the outcome of a dispatch that was begun.
func (f *Deduplicator[V]) Finish(key Key, result V) {
	if t, ok := f.records[key]; ok && t.phase == begun {
		t.phase, t.result = done, result
	}
}

// Resolve says what became of a dispatch and voids one that has not begun. A
// key never seen is voided too: should its frame still arrive, Take refuses
// it, or its lease is over.
//
// Not run is said only while a dispatch that ran would still be remembered: a
// replaced gate, or one asked too late, knows nothing of it and would
// otherwise deny a request that was run.
func (f *Deduplicator[V]) Resolve(now clock.Millis, key Key, incarnation uint64, lease clock.Millis) (Resolution, V) {
	f.expire(now)
	var none V
	if incarnation != f.incarnation {
		return Forgotten, none
	}
	t, ok := f.records[key]
	if !ok {
		if now > lease+Retention {
			return Forgotten, none
		}
		f.add(key, revoked, lease)
		return NotRun, none
	}
	switch t.phase {
	case begun:
		return Begun, none
	case done:
		return Done, t.result
	default:
		t.phase = revoked
		return NotRun, none
	}
}

// Contains reports whether a dispatch is remembered.
func (f *Deduplicator[V]) Contains(key Key) bool {
	_, ok := f.records[key]
	return ok
}

// Len returns how many dispatches are remembered.
func (f *Deduplicator[V]) Len() int {
	return len(f.records)
}

func (f *Deduplicator[V]) add(key Key, p phase, lease clock.Millis) {
	t := &record[V]{key: key, phase: p, lease: lease}
	f.records[key] = t
	heap.Push(&f.expiries, t)
}

// A begun dispatch outlives its lease here until it ends: forgetting it would
// let a settlement call it not run.
func (f *Deduplicator[V]) expire(now clock.Millis) {
	for len(f.expiries) > 0 && f.expiries[0].lease+Retention < now {
		t := f.expiries[0]
		if t.phase == begun {
			t.lease = now
			heap.Fix(&f.expiries, 0)
			continue
		}
		heap.Pop(&f.expiries)
		delete(f.records, t.key)
	}
}

type expiryHeap[V any] []*record[V]

func (q expiryHeap[V]) Len() int           { return len(q) }
func (q expiryHeap[V]) Less(i, j int) bool { return q[i].lease < q[j].lease }
func (q expiryHeap[V]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends a ticket, for package heap.
func (q *expiryHeap[V]) Push(x any) {
	if t, ok := x.(*record[V]); ok {
		*q = append(*q, t)
	}
}

// Pop removes the last ticket, for package heap.
func (q *expiryHeap[V]) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
