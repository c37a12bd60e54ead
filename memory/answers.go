package memory

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// answerNumerator, with shareDenominator, gives the part of the instance's memory that
	// answers may take.
	answerNumerator = 3
	// retryInterval is the time between two attempts to reserve memory that is in use.
	retryInterval = 20 * time.Millisecond
	// earlyNumerator and earlyDenominator give the part of the bound from which memory that isn't used
	// any more is freed early, so that the next answer finds room.
	earlyNumerator, earlyDenominator = 3, 4
)

// Answers counts the bytes of large answers that a node holds, until the garbage collector has freed
// them: an answer passes through many hands, and none has to say that it was the last. Answers of up to
// SmallBody bytes aren't counted, as the number of requests bounds them. A nil Answers has no bound.
// It is safe for concurrent use.
type Answers struct {
	bound int64
	held  atomic.Int64
	// extending means that an answer that holds memory waits for more.
	extending atomic.Bool
	collector collector
}

// NewAnswers returns the count for an instance with the given memory in bytes, or nil if that isn't
// known.
func NewAnswers(instance int64) *Answers {
	if instance <= 0 {
		return nil
	}
	return &Answers{bound: instance / shareDenominator * answerNumerator}
}

// Held returns the bytes that are counted now.
func (a *Answers) Held() int64 {
	if a == nil {
		return 0
	}
	return a.held.Load()
}

// Bound returns the bound in bytes, 0 without one.
func (a *Answers) Bound() int64 {
	if a == nil {
		return 0
	}
	return a.bound
}

// tryReserve counts bytes if there is room. A single answer that is larger than the bound has room
// while no other is held.
func (a *Answers) tryReserve(bytes, own int64) bool {
	for {
		held := a.held.Load()
		if held+bytes > a.bound && held > own {
			return false
		}
		if a.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

func (a *Answers) release(bytes int64) {
	a.held.Add(-bytes)
}

// Buffer returns a buffer that is counted until it is freed, or false if there is no room for it.
func (a *Answers) Buffer(size int) ([]byte, bool) {
	if a == nil || size <= SmallBody {
		return make([]byte, size), true
	}
	bytes := int64(size) * Copies
	isReserved := a.tryReserve(bytes, 0)
	if !isReserved || a.held.Load() > a.bound/earlyDenominator*earlyNumerator {
		go a.collector.collect() // the caller may hold a lock
	}
	if !isReserved {
		return nil, false
	}
	buffer := make([]byte, size)
	runtime.AddCleanup(&buffer[0], a.release, bytes)
	return buffer, true
}

// Holding is what one answer holds while it is received. Its zero value is not ready for use.
type Holding struct {
	answers *Answers
	bytes   int64
}

// NewHolding returns a holding of nothing.
func (a *Answers) NewHolding() Holding {
	return Holding{answers: a}
}

// Grow counts more bytes of an answer. Without room it waits until there is, and returns false if
// the context or the time ends first.
func (h *Holding) Grow(ctx context.Context, until time.Time, more int) bool {
	a := h.answers
	if a == nil {
		return true
	}
	bytes := int64(more) * Copies
	if !a.tryReserve(bytes, h.bytes) && !h.await(ctx, until, bytes) {
		return false
	}
	h.bytes += bytes
	return true
}

// await waits for memory. Of the answers that hold some and need more, one waits at a time: if all of them
// did, none would get on.
func (h *Holding) await(ctx context.Context, until time.Time, bytes int64) bool {
	if h.bytes > 0 {
		if !h.answers.extending.CompareAndSwap(false, true) {
			return false
		}
		defer h.answers.extending.Store(false)
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		h.answers.collector.collect()
		if h.answers.tryReserve(bytes, h.bytes) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-retry.C:
		}
	}
}

// Release ends the holding of an answer that wasn't received.
func (h *Holding) Release() {
	if h.bytes > 0 {
		h.answers.release(h.bytes)
		h.bytes = 0
	}
}

// Attach makes the holding end when the answer's buffer is freed.
func (h *Holding) Attach(answer []byte) {
	if h.bytes > 0 && len(answer) > 0 {
		runtime.AddCleanup(&answer[0], h.answers.release, h.bytes)
		h.bytes = 0
	}
	h.Release()
}
