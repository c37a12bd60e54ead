package burn

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Kind names one of the two targets of an objective.
type Kind string

// The kinds of targets.
const (
	Availability Kind = "availability"
	Latency      Kind = "latency"
)

// Cause is why a request was bad: the target it missed, its upstream and the reason.
type Cause struct {
	Kind     Kind   `json:"kind"`
	Upstream string `json:"upstream"`
	Reason   string `json:"reason"`
}

// CauseCount counts the bad requests of one cause.
type CauseCount struct {
	Cause

	Count uint64 `json:"count"`
}

// Point counts the requests of one bucket of a window.
type Point struct {
	// Slice is the bucket's age: 0 for the newest, still filling bucket, 12 for the oldest.
	Slice  int    `json:"slice"`
	Total  uint64 `json:"total"`
	Failed uint64 `json:"failed"`
	Slow   uint64 `json:"slow"`
}

// Window counts a service's requests over the last Span.
type Window struct {
	Span clock.Millis `json:"span"`
	// Covered is the part of Span that the node with the longest uptime counted,
	// MinCovered the part that the node with the shortest uptime counted.
	Covered    clock.Millis `json:"covered"`
	MinCovered clock.Millis `json:"least"`
	// Total counts all requests but those that failed through their caller's fault.
	Total  uint64 `json:"total"`
	Failed uint64 `json:"failed"`
	Slow   uint64 `json:"slow"`
	// Causes is sorted, the largest count first. Requests counted without their cause are
	// under Other.
	Causes []CauseCount `json:"causes"`
	// Series holds the buckets that have requests, the newest first.
	Series []Point `json:"series"`
}

// Good returns the requests that got a good answer, fast or slow.
func (w *Window) Good() uint64 {
	return w.Total - w.Failed
}

// windowSum adds up the buckets of a window, or the windows of several nodes. It keeps
// slices by their age (Point.Slice) and counts by their cause.
type windowSum struct {
	Window

	causes map[Cause]uint64
	slices [bucketsPerWindow + 1]Point
}

func newSum(span, covered, minCovered clock.Millis) *windowSum {
	return &windowSum{
		Window: Window{Span: span, Covered: covered, MinCovered: minCovered},
		causes: make(map[Cause]uint64),
	}
}

// addPoint adds the requests of one point.
func (s *windowSum) addPoint(p Point) {
	s.Total += p.Total
	s.Failed += p.Failed
	s.Slow += p.Slow
	if p.Slice >= 0 && p.Slice < len(s.slices) {
		at := &s.slices[p.Slice]
		at.Total += p.Total
		at.Failed += p.Failed
		at.Slow += p.Slow
	}
}

// addBucket adds a bucket; age is the number of buckets that are newer. Bad requests that
// the bucket counted without their cause are added as Other.
func (s *windowSum) addBucket(b *bucket, age int) {
	p := Point{Slice: age, Total: uint64(b.total), Failed: uint64(b.failed), Slow: uint64(b.slow)}
	s.addPoint(p)
	failed, slow := p.Failed, p.Slow
	for c, n := range b.causes {
		s.addCause(c, uint64(n))
		if c.Kind == Availability {
			failed -= uint64(n)
		} else {
			slow -= uint64(n)
		}
	}
	s.addCause(Cause{Kind: Availability, Upstream: Other, Reason: Other}, failed)
	s.addCause(Cause{Kind: Latency, Upstream: Other, Reason: Other}, slow)
}

func (s *windowSum) addCause(c Cause, n uint64) {
	if n > 0 {
		s.causes[c] += n
	}
}

// window returns the sum with sorted causes and series.
func (s *windowSum) window() Window {
	w := s.Window
	w.Causes = make([]CauseCount, 0, len(s.causes))
	for c, n := range s.causes {
		w.Causes = append(w.Causes, CauseCount{Cause: c, Count: n})
	}
	slices.SortFunc(w.Causes, func(a, b CauseCount) int {
		return cmp.Or(
			cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Upstream, b.Upstream),
			cmp.Compare(a.Reason, b.Reason),
			cmp.Compare(a.Kind, b.Kind),
		)
	})
	w.Series = []Point{}
	for i, p := range s.slices {
		if p.Total > 0 {
			p.Slice = i
			w.Series = append(w.Series, p)
		}
	}
	return w
}

// Merge adds up the windows that nodes counted for one service. Each node's buckets follow
// its own clock, so merged buckets may be offset by up to one bucket.
func Merge(nodes ...[]Window) []Window {
	var sums []*windowSum
	for _, windows := range nodes {
		for _, w := range windows {
			at := slices.IndexFunc(sums, func(s *windowSum) bool { return s.Span == w.Span })
			if at < 0 {
				at = len(sums)
				sums = append(sums, newSum(w.Span, w.Covered, w.MinCovered))
			}
			sums[at].merge(w)
		}
	}
	merged := make([]Window, 0, len(sums))
	for _, s := range sums {
		merged = append(merged, s.window())
	}
	return merged
}

func (s *windowSum) merge(from Window) {
	s.Covered = max(s.Covered, from.Covered)
	s.MinCovered = min(s.MinCovered, from.MinCovered)
	for _, c := range from.Causes {
		s.addCause(c.Cause, c.Count)
	}
	for _, p := range from.Series {
		s.addPoint(p)
	}
}
