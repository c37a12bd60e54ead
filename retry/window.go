package retry

import "fuchsiapick.example/fuchsiapick/clock"

// windowParts is how many parts a window is counted in. A span that slides is
// then longer than what is counted by a part at most, which the bound allows
// for: retries are summed over a part more, requests over a part less.
const windowParts = 20

// window counts requests and retries in the last span of time.
type window struct {
	share, extra float64
	part         clock.Millis
	requests     [windowParts + 1]float64
	retries      [windowParts + 1]float64
	// newest is the number, since the clock's origin, of the part being counted.
	newest int64
}

func newWindow(span clock.Millis, share, extra float64) *window {
	if span <= 0 {
		return nil
	}
	return &window{share: share, extra: extra, part: max(span/windowParts, 1)}
}

// advance empties the parts that have left the span.
func (w *window) advance(now clock.Millis) int {
	number := int64(now / w.part)
	for w.newest < number {
		w.newest = max(w.newest+1, number-windowParts)
		w.requests[w.newest%(windowParts+1)] = 0
		w.retries[w.newest%(windowParts+1)] = 0
	}
	return int(w.newest % (windowParts + 1))
}

func (w *window) request(now clock.Millis) {
	w.requests[w.advance(now)]++
}

// retry counts a retry and returns the part that it is counted in.
func (w *window) retry(now clock.Millis) int64 {
	w.retries[w.advance(now)]++
	return w.newest
}

// giveBack takes a retry out of the part that it was counted in.
func (w *window) giveBack(now clock.Millis, part int64) {
	w.advance(now)
	if part >= w.newest-windowParts {
		w.retries[part%(windowParts+1)]--
	}
}

// allows reports whether one more retry stays within a part of the bound.
func (w *window) allows(now clock.Millis, part float64) bool {
	newest := w.advance(now)
	oldest := (newest + 1) % (windowParts + 1)
	requests, retries := 0.0, 0.0
	for i := range w.requests {
		retries += w.retries[i]
		if i != oldest {
			requests += w.requests[i]
		}
	}
	return retries+1 <= part*(w.share*requests+w.extra)
}
