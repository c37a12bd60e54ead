// Package memory bounds the memory that a node holds for callers' requests.
package memory

import (
	"runtime"
	"sync/atomic"
)

const (
	// bodyNumerator and shareDenominator give the part of the instance's memory that bodies may
	// take. The rest is for connections, answers, the table and what the garbage collector has not
	// freed yet.
	bodyNumerator, shareDenominator = 3, 8
	// limitNumerator and limitDenominator give the part of the instance's memory from which the
	// garbage collector works harder. What the runtime doesn't count, such as threads' stacks
	// and received bytes that the kernel holds, needs the rest.
	limitNumerator, limitDenominator = 4, 5
	// SmallBody is the size in bytes up to which a body counts as small.
	SmallBody = 64 << 10
	// largeNumerator and largeDenominator give the part of a budget that large bodies may take, so
	// that small ones are still accepted beside them.
	largeNumerator, largeDenominator = 3, 4
	// Copies is how often a node may hold a body at a time: as it was received, and in the frame
	// that carries it to another node.
	Copies = 2
)

// Budget counts the bytes of bodies that a node holds, and refuses those that would exceed its
// bound. A nil budget has no bound. It is safe for concurrent use.
type Budget struct {
	bound     int64
	held      atomic.Int64
	collector collector
}

// NewBudget returns the budget of an instance with the given memory in bytes, or nil if that isn't
// known.
func NewBudget(instance int64) *Budget {
	if instance <= 0 {
		return nil
	}
	return &Budget{bound: instance / shareDenominator * bodyNumerator}
}

// RuntimeLimit returns the soft limit of the runtime's memory for an instance with the given memory,
// both in bytes.
func RuntimeLimit(instance int64) int64 {
	return instance / limitDenominator * limitNumerator
}

// Fits reports whether an otherwise empty budget has room for a body of the given size.
func (b *Budget) Fits(size int) bool {
	return b == nil || int64(size)*Copies <= b.ceiling(size)
}

// Reserve counts a body that is about to be received, unless the budget has no room for it.
func (b *Budget) Reserve(size int) bool {
	return b.grow(size, size)
}

// Extend counts more bytes of a body whose size isn't known in advance and has been size so far,
// unless the budget has no room for them.
func (b *Budget) Extend(size, more int) bool {
	return b.grow(more, size+more)
}

// grow counts bytes of a body that has the given size with them.
func (b *Budget) grow(more, size int) bool {
	if b == nil {
		return true
	}
	ceiling, bytes := b.ceiling(size), int64(more)*Copies
	for {
		held := b.held.Load()
		if held+bytes > ceiling {
			return false
		}
		if b.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// ceiling returns how much may be held together with a body of the given size.
func (b *Budget) ceiling(size int) int64 {
	if size <= SmallBody {
		return b.bound
	}
	return b.bound / largeDenominator * largeNumerator
}

// Release ends the reservation of a body with all extensions.
func (b *Budget) Release(size int) {
	if b != nil {
		b.held.Add(-int64(size) * Copies)
	}
}

// Adopt counts a large body that another node has sent, until the garbage collector has freed it: no one
// place is the last to hold it. Small ones aren't counted, as the slots and queues bound them. It
// returns false if the budget has no room.
func (b *Budget) Adopt(body []byte) bool {
	if b == nil || len(body) <= SmallBody {
		return true
	}
	if !b.Reserve(len(body)) {
		b.collector.collect()
		if !b.Reserve(len(body)) {
			return false
		}
	}
	runtime.AddCleanup(&body[0], b.Release, len(body))
	return true
}

// Held returns the bytes that are counted now.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Bound returns the bound in bytes, 0 without one.
func (b *Budget) Bound() int64 {
	if b == nil {
		return 0
	}
	return b.bound
}
