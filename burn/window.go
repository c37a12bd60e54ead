package burn

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Kind names one of the two promises of an objective.
type Kind string

// The kinds.
const (
	Availability Kind = "availability"
	Latency      Kind = "latency"
)

// Cause is what spent budget.
type Cause struct {
	Kind     Kind   `json:"kind"`
	Upstream string `json:"upstream"`
	Reason   string `json:"reason"`
}

// Spent counts the bad requests of one cause.
type Spent struct {
	Cause

	Count uint64 `json:"count"`
}

// Point counts the requests of one slice of a window.
type Point struct {
	// Slice is 0 for the newest, still filling slice and 12 for the oldest.
	Slice  int    `json:"slice"`
	Total  uint64 `json:"total"`
	Failed uint64 `json:"failed"`
	Slow   uint64 `json:"slow"`
}

// Window counts a service's requests over a span back from now.
type Window struct {
	Span clock.Millis `json:"span"`
	// Covered is the part of Span that the longest-lived node counted, Least
	// the part that the youngest did.
	Covered clock.Millis `json:"covered"`
	Least   clock.Millis `json:"least"`
	// Total counts requests but for those that failed by a caller's fault.
	Total  uint64 `json:"total"`
	Failed uint64 `json:"failed"`
	Slow   uint64 `json:"slow"`
	// Causes is sorted, the largest first; what a bound left out is in Other.
	Causes []Spent `json:"causes"`
	// Series holds the slices that had requests, the newest first.
	Series []Point `json:"series"`
}

// Good returns the requests that got a good answer, fast or slow.
func (w *Window) Good() uint64 {
	return w.Total - w.Failed
}

// sum adds up a window. Slices are kept by number, causes by themselves.
type sum struct {
	Window

	causes map[Cause]uint64
	slices [parts + 1]Point
}

func newSum(span, covered, least clock.Millis) *sum {
	return &sum{
		Window: Window{Span: span, Covered: covered, Least: least},
		causes: make(map[Cause]uint64),
	}
}

// point adds the requests of a slice.
func (s *sum) point(p Point) {
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

// bucket adds a bucket that is so many slices old. What its causes leave out,
// for want of room, is counted as Other.
func (s *sum) bucket(b *bucket, age int) {
	p := Point{Slice: age, Total: uint64(b.total), Failed: uint64(b.failed), Slow: uint64(b.slow)}
	s.point(p)
	failed, slow := p.Failed, p.Slow
	for c, n := range b.causes {
		s.spend(c, uint64(n))
		if c.Kind == Availability {
			failed -= uint64(n)
		} else {
			slow -= uint64(n)
		}
	}
	s.spend(Cause{Kind: Availability, Upstream: Other, Reason: Other}, failed)
	s.spend(Cause{Kind: Latency, Upstream: Other, Reason: Other}, slow)
}

func (s *sum) spend(c Cause, n uint64) {
	if n > 0 {
		s.causes[c] += n
	}
}

// window returns the sum, in order.
func (s *sum) window() Window {
	w := s.Window
	w.Causes = make([]Spent, 0, len(s.causes))
	for c, n := range s.causes {
		w.Causes = append(w.Causes, Spent{Cause: c, Count: n})
	}
	slices.SortFunc(w.Causes, func(a, b Spent) int {
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

// Merge adds up the windows that nodes counted for one service. Nodes cut
// their slices by their own clocks, so that slices match within one slice.
func Merge(nodes ...[]Window) []Window {
	var sums []*sum
	for _, windows := range nodes {
		for _, w := range windows {
			at := slices.IndexFunc(sums, func(s *sum) bool { return s.Span == w.Span })
			if at < 0 {
				at = len(sums)
				sums = append(sums, newSum(w.Span, w.Covered, w.Least))
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

func (s *sum) merge(from Window) {
	s.Covered = max(s.Covered, from.Covered)
	s.Least = min(s.Least, from.Least)
	for _, c := range from.Causes {
		s.spend(c.Cause, c.Count)
	}
	for _, p := range from.Series {
		s.point(p)
	}
}
