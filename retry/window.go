package retry

import "fuchsiapick.example/fuchsiapick/clock"

// windowBuckets is how many parts a window is counted in. A span that slides is
// then longer than what is counted by a part at most, which the bound allows
// for: retries are summed over a part more, requests over a part less.
const windowBuckets = 100

// window counts requests and retries in the last span of time.
type window struct {
	bucketWidth clock.Millis
	requests    [windowBuckets + 1]float64
	retries     [windowBuckets + 1]float64
	// newest is the number, since the clock's origin, of the part being counted.
	newest int64
}

func newWindow(span clock.Millis) *window {
	return &window{bucketWidth: max(span/windowBuckets, 1)}
}

// advance empties the parts that have left the span.
func (w *window) advance(now clock.Millis) int {
	number := int64(now / w.bucketWidth)
	for w.newest < number {
		w.newest = max(w.newest+1, number-windowBuckets)
		w.requests[w.newest%(windowBuckets+1)] = 0
		w.retries[w.newest%(windowBuckets+1)] = 0
	}
	return int(w.newest % (windowBuckets + 1))
}

func (w *window) addRequest(now clock.Millis) {
	w.requests[w.advance(now)]++
}

func (w *window) addRetry(now clock.Millis) {
	w.retries[w.advance(now)]++
}

// sums returns the requests and the retries that the bound compares.
func (w *window) sums(now clock.Millis) (requests, retries float64) {
	newest := w.advance(now)
	oldest := (newest + 1) % (windowBuckets + 1)
	for i := range w.requests {
		retries += w.retries[i]
		if i != oldest {
			requests += w.requests[i]
		}
	}
	return requests, retries
}

// oldestRetryAge is how long ago the part with the oldest retry began, 0 without one.
func (w *window) oldestRetryAge(now clock.Millis) clock.Millis {
	w.advance(now)
	for number := max(w.newest-windowBuckets, 0); number <= w.newest; number++ {
		if w.retries[number%(windowBuckets+1)] > 0 {
			return now - clock.Millis(number)*w.bucketWidth
		}
	}
	return 0
}
