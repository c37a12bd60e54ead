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

func (w *Window) add(b *bucket, age int) {
	p := Point{Slice: age, Total: uint64(b.total), Failed: uint64(b.failed), Slow: uint64(b.slow)}
	w.Total += p.Total
	w.Failed += p.Failed
	w.Slow += p.Slow
	w.Series = append(w.Series, p)
	failed, slow := p.Failed, p.Slow
	for c, n := range b.causes {
		w.spend(c, uint64(n))
		if c.Kind == Availability {
			failed -= uint64(n)
		} else {
			slow -= uint64(n)
		}
	}
	w.spend(Cause{Kind: Availability, Upstream: Other, Reason: Other}, failed)
	w.spend(Cause{Kind: Latency, Upstream: Other, Reason: Other}, slow)
}

func (w *Window) spend(c Cause, n uint64) {
	if n == 0 {
		return
	}
	for i := range w.Causes {
		if w.Causes[i].Cause == c {
			w.Causes[i].Count += n
			return
		}
	}
	w.Causes = append(w.Causes, Spent{Cause: c, Count: n})
}

func (w *Window) sort() {
	slices.SortFunc(w.Causes, func(a, b Spent) int {
		return cmp.Or(
			cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Upstream, b.Upstream),
			cmp.Compare(a.Reason, b.Reason),
			cmp.Compare(a.Kind, b.Kind),
		)
	})
}

// Merge adds up the windows that nodes counted for one service. Nodes cut
// their slices by their own clocks, so that slices match within one slice.
func Merge(into, from []Window) []Window {
	for _, w := range from {
		at := slices.IndexFunc(into, func(x Window) bool { return x.Span == w.Span })
		if at < 0 {
			into = append(into, Window{Span: w.Span, Least: w.Least, Causes: []Spent{}, Series: []Point{}})
			at = len(into) - 1
		}
		into[at].merge(w)
	}
	return into
}

func (w *Window) merge(from Window) {
	w.Covered = max(w.Covered, from.Covered)
	w.Least = min(w.Least, from.Least)
	w.Total += from.Total
	w.Failed += from.Failed
	w.Slow += from.Slow
	for _, s := range from.Causes {
		w.spend(s.Cause, s.Count)
	}
	w.sort()
	for _, p := range from.Series {
		w.plot(p)
	}
	slices.SortFunc(w.Series, func(a, b Point) int { return cmp.Compare(a.Slice, b.Slice) })
}

func (w *Window) plot(p Point) {
	for i := range w.Series {
		if w.Series[i].Slice == p.Slice {
			w.Series[i].Total += p.Total
			w.Series[i].Failed += p.Failed
			w.Series[i].Slow += p.Slow
			return
		}
	}
	w.Series = append(w.Series, p)
}
