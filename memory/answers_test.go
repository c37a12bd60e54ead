package memory_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/memory"
)

const answerSize = 1 << 20

// newSmallAnswers returns a count with room for one buffer of answerSize.
func newSmallAnswers() *memory.Answers {
	return memory.NewAnswers(8 * memory.Copies * answerSize / 2)
}

// Guards against a count that is never given back, so that a node drops all large answers after a
// while.
func TestBufferIsCountedUntilItIsFreed(t *testing.T) {
	a := newSmallAnswers()
	for round := range 3 {
		buffer, ok := a.Buffer(answerSize)
		if !ok || len(buffer) != answerSize {
			t.Fatalf("round %d: got %d bytes, %v, want a buffer", round, len(buffer), ok)
		}
		if _, ok := a.Buffer(answerSize); ok || a.Held() != memory.Copies*answerSize {
			t.Fatalf("round %d: got another buffer, %v, with %d bytes held, want none", round, ok, a.Held())
		}
		runtime.KeepAlive(buffer)
		holding := a.NewHolding()
		if !holding.Grow(t.Context(), time.Now().Add(time.Minute), answerSize) {
			t.Fatalf("round %d: got no room after the buffer was dropped, want some", round)
		}
		holding.Release()
	}
}

// Guards against an answer that may never be received, since it alone is over the bound.
func TestSingleAnswerOverTheBoundHasRoom(t *testing.T) {
	a := newSmallAnswers()
	holding := a.NewHolding()
	defer holding.Release()
	if !holding.Grow(t.Context(), time.Now(), answerSize) || !holding.Grow(t.Context(), time.Now(), 4*answerSize) {
		t.Fatal("got no room for the only answer, want some")
	}
	other := a.NewHolding()
	if other.Grow(t.Context(), time.Now(), answerSize) {
		t.Error("got room for another answer, want none")
	}
}

// Guards against a wait for memory that outlasts the request.
func TestWaitForMemoryEndsWithTheRequest(t *testing.T) {
	a := newSmallAnswers()
	first := a.NewHolding()
	defer first.Release()
	if !first.Grow(t.Context(), time.Now(), answerSize) {
		t.Fatal("got no room in an empty count")
	}
	ctx, cancel := context.WithCancel(t.Context())
	second := a.NewHolding()
	done := make(chan bool)
	go func() { done <- second.Grow(ctx, time.Now().Add(time.Hour), answerSize) }()
	cancel()
	if <-done {
		t.Error("got room that another answer holds, want none")
	}
}
