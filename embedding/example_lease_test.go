package embedding_test

import (
	"fmt"
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
)

// worker stands beside a backend server. A sender reaches it over a network
// that may delay, repeat and lose.
type worker struct {
	// clock is the worker's own. It needn't agree with that of any sender.
	clock       clock.Manual
	incarnation uint64 // drawn at random at each start of the process

	mu    sync.Mutex // guards fence
	fence *lease.Deduplicator[string]
	ran   int
}

func newWorker(incarnation uint64, started clock.Millis) *worker {
	w := &worker{incarnation: incarnation, fence: lease.NewDeduplicator[string](incarnation)}
	w.clock.Advance(started)
	return w
}

// dispatch is a message with a request, over the sender's own protocol.
type dispatch struct {
	key         lease.Key
	incarnation uint64
	lease       clock.Millis
}

// receive runs a request unless the fence refuses it. Begin is asked under the
// lock, right before the run: after that, not run is never said of it.
func (w *worker) receive(d dispatch) string {
	w.mu.Lock()
	verdict := w.fence.Accept(w.clock.Now(), d.key, d.incarnation, d.lease)
	if verdict != lease.Fresh {
		w.mu.Unlock()
		return map[lease.Verdict]string{
			lease.Stale: "stale, not run", lease.Revoked: "voided, not run", lease.Duplicate: "duplicate, dropped",
		}[verdict]
	}
	begun := w.fence.Begin(w.clock.Now(), d.key)
	w.mu.Unlock()
	if !begun {
		return "not run"
	}
	w.ran++ // the I/O, without the lock
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fence.Finish(d.key, "recorded")
	return "run"
}

// resolve says what became of a dispatch, and voids it if it hasn't begun.
func (w *worker) resolve(d dispatch) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	what, result := w.fence.Resolve(w.clock.Now(), d.key, d.incarnation, d.lease)
	switch what {
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

// answerTime is how long a sender waits for an answer before it settles.
const answerTime = clock.Second / 2

// sender gives each dispatch a lease in terms of the worker's clock, which it
// estimates from the times that it hears.
type sender struct {
	clock    clock.Manual
	estimate lease.ClockEstimate
	seq      uint64
}

func (s *sender) dispatch() dispatch {
	s.seq++
	return dispatch{
		key:         lease.Key{Entry: 1, Seq: s.seq, Attempt: 1},
		incarnation: s.estimate.Incarnation(),
		lease:       s.estimate.At(s.clock.Now()) + answerTime,
	}
}

// A payroll entry must be recorded once, whatever the network does.
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
	fmt.Println("runs:", w.ran+replaced.ran)
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
