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
	// Voided was settled as not run before it arrived.
	Voided
	// Duplicate was taken in before.
	Duplicate
)

// Settlement says what became of a dispatch that an entry asks about.
type Settlement uint8

// The settlements.
const (
	// NotRun means that it has not begun and never will.
	NotRun Settlement = iota
	// Begun means that the upstream may have got it.
	Begun
	// Done means that its outcome stands and can be sent again.
	Done
	// Forgotten means that the gate can't vouch: another incarnation took the
	// dispatch, or its lease has been over for so long that it isn't
	// remembered.
	Forgotten
)

// Memory is how long after its lease a dispatch is remembered, so that an
// entry that asks late, at its own deadline or after a pause, still gets the
// true outcome.
const Memory = 5 * clock.Second

type phase uint8

const (
	taken phase = iota
	voided
	begun
	done
)

type ticket[V any] struct {
	key    Key
	phase  phase
	lease  clock.Millis
	result V
}

// Fence remembers at a gate, until their leases are over, which dispatches it
// took in, voided, began and ended. V is the outcome kept for a settlement.
//
// It guards against running a dispatch twice or after the entry was told that
// it is not run: a frame may be duplicated, be overtaken by its settlement, or
// be read late. Every such frame either meets its key here or has a lease that
// is over, for a key is only forgotten once its lease is.
type Fence[V any] struct {
	incarnation uint64
	tickets     map[Key]*ticket[V]
	order       queue[V]
}

// NewFence returns an empty fence of one incarnation of a gate.
func NewFence[V any](incarnation uint64) *Fence[V] {
	return &Fence[V]{incarnation: incarnation, tickets: map[Key]*ticket[V]{}}
}

// Take decides about a dispatch that has arrived and remembers a fresh one.
func (f *Fence[V]) Take(now clock.Millis, key Key, incarnation uint64, lease clock.Millis) Verdict {
	f.expire(now)
	if incarnation != f.incarnation || now > lease {
		return Stale
	}
	if t, ok := f.tickets[key]; ok {
		if t.phase == voided {
			return Voided
		}
		return Duplicate
	}
	f.add(key, taken, lease)
	return Fresh
}

// Begin decides, as the last step before the request goes to the upstream,
// whether it still may. After true it counts as begun for good.
func (f *Fence[V]) Begin(now clock.Millis, key Key) bool {
	t, ok := f.tickets[key]
	if !ok || t.phase != taken || now > t.lease {
		return false
	}
	t.phase = begun
	return true
}

// Refuse ends a dispatch that was taken in and will not be begun.
func (f *Fence[V]) Refuse(key Key) {
	if t, ok := f.tickets[key]; ok && t.phase == taken {
		t.phase = voided
	}
}

// Finish records the outcome of a dispatch that was begun.
func (f *Fence[V]) Finish(key Key, result V) {
	if t, ok := f.tickets[key]; ok && t.phase == begun {
		t.phase, t.result = done, result
	}
}

// Settle says what became of a dispatch and voids one that has not begun. A
// key never seen is voided too: should its frame still arrive, Take refuses
// it, or its lease is over.
//
// Not run is said only while a dispatch that ran would still be remembered: a
// replaced gate, or one asked too late, knows nothing of it and would
// otherwise deny a request that was run.
func (f *Fence[V]) Settle(now clock.Millis, key Key, incarnation uint64, lease clock.Millis) (Settlement, V) {
	f.expire(now)
	var none V
	if incarnation != f.incarnation {
		return Forgotten, none
	}
	t, ok := f.tickets[key]
	if !ok {
		if now > lease+Memory {
			return Forgotten, none
		}
		f.add(key, voided, lease)
		return NotRun, none
	}
	switch t.phase {
	case begun:
		return Begun, none
	case done:
		return Done, t.result
	default:
		t.phase = voided
		return NotRun, none
	}
}

// Knows reports whether a dispatch is remembered.
func (f *Fence[V]) Knows(key Key) bool {
	_, ok := f.tickets[key]
	return ok
}

// Len returns how many dispatches are remembered.
func (f *Fence[V]) Len() int {
	return len(f.tickets)
}

func (f *Fence[V]) add(key Key, p phase, lease clock.Millis) {
	t := &ticket[V]{key: key, phase: p, lease: lease}
	f.tickets[key] = t
	heap.Push(&f.order, t)
}

// A begun dispatch outlives its lease here until it ends: forgetting it would
// let a settlement call it not run.
func (f *Fence[V]) expire(now clock.Millis) {
	for len(f.order) > 0 && f.order[0].lease+Memory < now {
		t := f.order[0]
		if t.phase == begun {
			t.lease = now
			heap.Fix(&f.order, 0)
			continue
		}
		heap.Pop(&f.order)
		delete(f.tickets, t.key)
	}
}

type queue[V any] []*ticket[V]

func (q queue[V]) Len() int           { return len(q) }
func (q queue[V]) Less(i, j int) bool { return q[i].lease < q[j].lease }
func (q queue[V]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends a ticket, for package heap.
func (q *queue[V]) Push(x any) {
	if t, ok := x.(*ticket[V]); ok {
		*q = append(*q, t)
	}
}

// Pop removes the last ticket, for package heap.
func (q *queue[V]) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
