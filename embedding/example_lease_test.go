package embedding_test

import (
	"fmt"
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
)

// worker runs next to a backend server. Senders reach it over a network that may delay,
// duplicate and lose messages.
type worker struct {
	// clock needn't agree with the clock of any sender.
	clock       clock.Manual
	incarnation uint64 // drawn at random at each start of the process

	mu           sync.Mutex // guards deduplicator
	deduplicator *lease.Deduplicator[string]
	runs         int
}

func newWorker(incarnation uint64, started clock.Millis) *worker {
	w := &worker{incarnation: incarnation, deduplicator: lease.NewDeduplicator[string](incarnation)}
	w.clock.Advance(started)
	return w
}

// dispatch is a message with a request, in the sender's protocol.
type dispatch struct {
	key         lease.Key
	incarnation uint64
	lease       clock.Millis
}

// receive runs a request unless the deduplicator refuses it, and describes the result. It
// calls Begin under the lock, right before the run: after Begin, the worker never reports the
// request as not run.
func (w *worker) receive(d dispatch) string {
	w.mu.Lock()
	verdict := w.deduplicator.Accept(w.clock.Now(), d.key, d.incarnation, d.lease)
	if verdict != lease.Fresh {
		w.mu.Unlock()
		return map[lease.Verdict]string{
			lease.Stale: "stale, not run", lease.Revoked: "voided, not run", lease.Duplicate: "duplicate, dropped",
		}[verdict]
	}
	begun := w.deduplicator.Begin(w.clock.Now(), d.key)
	w.mu.Unlock()
	if !begun {
		return "not run"
	}
	w.runs++ // the I/O, without the lock
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deduplicator.Finish(d.key, "recorded")
	return "run"
}

// resolve describes the outcome of a dispatch, and revokes it if it hasn't begun.
func (w *worker) resolve(d dispatch) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	state, result := w.deduplicator.Resolve(w.clock.Now(), d.key, d.incarnation, d.lease)
	switch state {
	case lease.NotRun:
		return "not run and never will be: may go elsewhere"
	case lease.Done:
		return "done: " + result
	case lease.Begun:
		return "begun: wait"
	default:
		return "unknown: never send it again"
	}
}

// replyTimeout is how long a sender waits for an answer before it resolves the outcome.
const replyTimeout = clock.Second / 2

// sender gives each dispatch a lease that ends at an instant of the worker's clock. It
// estimates that clock from the instants that it receives.
type sender struct {
	clock    clock.Manual
	estimate lease.ClockEstimate
	seq      uint64
}

// dispatch returns the next dispatch, with a key that is used once.
func (s *sender) dispatch() dispatch {
	s.seq++
	return dispatch{
		key:         lease.Key{Entry: 1, Seq: s.seq, Attempt: 1},
		incarnation: s.estimate.Incarnation(),
		lease:       s.estimate.At(s.clock.Now()) + replyTimeout,
	}
}

// No payroll entry may be recorded twice, whatever the network does.
func Example_lease() {
	w, s := newWorker(7, 90*clock.Minute), &sender{}
	s.estimate.Update(s.clock.Now(), w.incarnation, w.clock.Now())

	first := s.dispatch()
	fmt.Println("arrives:", w.receive(first))
	fmt.Println("arrives twice:", w.receive(first))
	fmt.Println("its answer is lost:", w.resolve(first))

	second := s.dispatch()
	fmt.Println("no answer:", w.resolve(second))
	fmt.Println("arrives after all:", w.receive(second))

	third := s.dispatch()
	w.clock.Advance(10 * clock.Second) // the worker was paused
	fmt.Println("read after a pause:", w.receive(third))

	fourth := s.dispatch()
	replaced := newWorker(8, 0)
	fmt.Println("the worker was replaced:", replaced.resolve(fourth))
	fmt.Println("runs:", w.runs+replaced.runs)
	// Output:
	// arrives: run
	// arrives twice: duplicate, dropped
	// its answer is lost: done: recorded
	// no answer: not run and never will be: may go elsewhere
	// arrives after all: voided, not run
	// read after a pause: stale, not run
	// the worker was replaced: unknown: never send it again
	// runs: 1
}
