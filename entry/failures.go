package entry

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
)

// maxFailureTimes is how many times of failed requests are retained. At ten failures a
// second they cover some seconds, longer than a backend server runs one request.
const maxFailureTimes = 64

// failureTimes retains when the latest failed requests of this entry failed.
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

// FailedWithin reports whether a request to this entry failed between from and to. The
// backend server beside the node makes its calls through this entry, so a call that
// failed while the backend server ran a request may be why that request failed. A call
// doesn't identify the request that it is part of, so calls of other requests excuse a
// failure, too. The runs of an upstream that itself fails last only some milliseconds, in
// which hardly any call fails.
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
