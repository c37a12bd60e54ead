package entry

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
)

// maxFailureTimes is how many instants of failed requests are remembered: at ten a
// second some seconds, longer than a backend server runs one request.
const maxFailureTimes = 64

// failureTimes remembers when requests that came to this entry failed last.
type failureTimes struct {
	mu    sync.Mutex
	times [maxFailureTimes]clock.Millis
	next  int
}

func (f *failureTimes) record(now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.times[f.next] = max(now, 1)
	f.next = (f.next + 1) % maxFailureTimes
}

// FailedWithin reports whether a request that came to this entry failed within a
// span. The backend server beside the node makes its calls through this entry:
// one that failed while it ran a request may be why that failed. A call doesn't
// say which request it is part of, so others' failures excuse it, too; the runs
// of an upstream that is failing itself last some milliseconds, in which hardly
// any falls.
func (e *Entry) FailedWithin(from, to clock.Millis) bool {
	e.failureTimes.mu.Lock()
	defer e.failureTimes.mu.Unlock()
	for _, at := range e.failureTimes.times {
		if at >= max(from, 1) && at <= to {
			return true
		}
	}
	return false
}
