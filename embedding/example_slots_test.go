package embedding_test

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// A backend server runs one request at a time, and one more may wait. The program keeps the
// tickets of waiting requests, and calls Expire from a timer (not shown).
func Example_slots() {
	var now clock.Manual
	s := limit.NewSlots(limit.SlotsConfig{Slots: 1, Queue: 1, Seed: 1})
	deadline := now.Now() + clock.Second

	fmt.Println("first runs:", s.AcquireUntil(now.Now(), 1, deadline).Result == limit.Run)
	fmt.Println("second waits:", s.AcquireUntil(now.Now(), 2, deadline).Result == limit.Wait)
	third := s.AcquireUntil(now.Now(), 3, deadline)
	fmt.Println("third is not run:", third.Result == limit.Full)
	fmt.Println("and is told when to come back:", third.RetryAfter > 0)

	now.Advance(20)
	ticket, ok := s.Release(now.Now())
	fmt.Println("the first has ended, now runs:", ticket, ok)
	// Output:
	// first runs: true
	// second waits: true
	// third is not run: true
	// and is told when to come back: true
	// the first has ended, now runs: 2 true
}
