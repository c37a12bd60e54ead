package retry

import "fuchsiapick.example/fuchsiapick/clock"

// windowBuckets is the number of buckets in a window. Buckets start at fixed instants, so a
// sliding window doesn't coincide with whole buckets. To keep the bound in every window all
// the same, sums adds up retries over up to one bucket more than the window, and requests
// over up to one bucket less.
const windowBuckets = 100

// window counts requests and retries over a sliding window of time.
type window struct {
	bucketWidth clock.Millis
	requests    [windowBuckets + 1]float64
	retries     [windowBuckets + 1]float64
	// newestBucket is the number of the bucket now being filled, counted from the
	// clock's origin.
	newestBucket int64
}

func newWindow(length clock.Millis) *window {
	return &window{bucketWidth: max(length/windowBuckets, 1)}
}

// advance clears the buckets that have left the window and returns the index of the
// newest one.
func (w *window) advance(now clock.Millis) int {
	number := int64(now / w.bucketWidth)
	for w.newestBucket < number {
		w.newestBucket = max(w.newestBucket+1, number-windowBuckets)
		w.requests[w.newestBucket%(windowBuckets+1)] = 0
		w.retries[w.newestBucket%(windowBuckets+1)] = 0
	}
	return int(w.newestBucket % (windowBuckets + 1))
}

func (w *window) addRequest(now clock.Millis) {
	w.requests[w.advance(now)]++
}

func (w *window) addRetry(now clock.Millis) {
	w.retries[w.advance(now)]++
}

// sums returns the requests and the retries from which the bound and its use are
// computed: retries include the oldest bucket, requests don't.
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

// oldestRetryAge returns the time since the start of the oldest bucket that has a retry,
// 0 if none has.
func (w *window) oldestRetryAge(now clock.Millis) clock.Millis {
	w.advance(now)
	for number := max(w.newestBucket-windowBuckets, 0); number <= w.newestBucket; number++ {
		if w.retries[number%(windowBuckets+1)] > 0 {
			return now - clock.Millis(number)*w.bucketWidth
		}
	}
	return 0
}
