package access

import (
	"cmp"
	"container/heap"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Others stands for the callers, services and upstreams beyond a bound.
const Others = "(other)"

// cellsPerCaller is how many cells of totals there may be for each caller kept
// apart, on average: some three services of three upstreams, and outcomes.
const cellsPerCaller = 16

// Total counts the requests of one caller to one service that ended at one
// upstream with one outcome and reason.
type Total struct {
	Caller   string  `json:"caller"`
	Service  string  `json:"service"`
	Upstream string  `json:"upstream"`
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason"`
	Count    uint64  `json:"count"`
	// Took is the sum of the requests' spans.
	Took clock.Millis `json:"took"`
}

// CallerCount says how exact the totals of one caller are.
type CallerCount struct {
	Caller string `json:"caller"`
	// Count is how many of its requests stand under its name.
	Count uint64 `json:"count"`
	// Missed is how many more at most stand under Others.
	Missed uint64 `json:"missed"`
}

// cellKey is what totals are kept by within a caller.
type cellKey struct {
	service  string
	upstream string
	outcome  Outcome
	reason   string
}

type cell struct {
	count uint64
	took  clock.Millis
}

// trackedCaller is a caller whose totals are kept apart.
type trackedCaller struct {
	name string
	// weight is the space-saving counter: the caller's requests under its
	// name, plus missed.
	weight    uint64
	missed    uint64
	cells     map[cellKey]cell
	heapIndex int
}

// tally keeps totals by caller in bounded memory by the space-saving
// algorithm (Metwally, Agrawal and El Abbadi, 2005). With n callers kept
// apart, each caller that made more than 1/n of all requests is among them,
// and none misses more than 1/n of all requests. What isn't kept apart is
// under Others, so that the sum of all totals is the number of records.
type tally struct {
	bound    int
	callers  map[string]*trackedCaller
	byWeight callerHeap
	others   map[cellKey]cell
	cells    int
}

func newTally(callers int) *tally {
	return &tally{
		bound:   callers,
		callers: make(map[string]*trackedCaller),
		others:  make(map[cellKey]cell),
	}
}

func (t *tally) add(r *Record) {
	c := t.track(r.Caller)
	c.weight++
	heap.Fix(&t.byWeight, c.heapIndex)
	key := cellKey{service: r.Service, upstream: r.Upstream, outcome: r.Outcome, reason: r.Reason}
	t.put(c.cells, key, cell{count: 1, took: r.Took})
}

// track returns the caller's entry; it takes the place of the lightest one if
// there is no room.
func (t *tally) track(name string) *trackedCaller {
	if c := t.callers[name]; c != nil {
		return c
	}
	c := &trackedCaller{name: name, cells: make(map[cellKey]cell, 1)}
	if len(t.callers) >= t.bound {
		out := heap.Pop(&t.byWeight).(*trackedCaller)
		delete(t.callers, out.name)
		t.cells -= len(out.cells)
		for key, v := range out.cells {
			t.put(t.others, key, v)
		}
		c.weight, c.missed = out.weight, out.weight
	}
	t.callers[name] = c
	heap.Push(&t.byWeight, c)
	return c
}

// put adds to a cell. Beyond the bound on cells only the outcome is kept.
func (t *tally) put(cells map[cellKey]cell, key cellKey, v cell) {
	if _, known := cells[key]; !known {
		if t.cells >= t.bound*cellsPerCaller {
			key = cellKey{service: Others, upstream: Others, outcome: key.outcome}
		}
		if _, known := cells[key]; !known {
			t.cells++
		}
	}
	sum := cells[key]
	sum.count += v.count
	sum.took += v.took
	cells[key] = sum
}

// totals returns the cells that the filter lets pass, and how many requests
// stand in cells that it can't judge.
func (t *tally) totals(f Filter) (found []Total, unplaced uint64) {
	found = make([]Total, 0, t.cells)
	collect := func(caller string, cells map[cellKey]cell) {
		for key, v := range cells {
			if key.service == Others && (f.Service != "" || f.Upstream != "") {
				unplaced += v.count
				continue
			}
			total := Total{
				Caller: caller, Service: key.service, Upstream: key.upstream,
				Outcome: key.outcome, Reason: key.reason, Count: v.count, Took: v.took,
			}
			if f.matches(caller, key.service, key.upstream) {
				found = append(found, total)
			}
		}
	}
	for name, c := range t.callers {
		collect(name, c.cells)
	}
	collect(Others, t.others)
	return found, unplaced
}

// callerCounts returns how exact the totals of the callers kept apart are.
func (t *tally) callerCounts(f Filter) []CallerCount {
	found := make([]CallerCount, 0, len(t.callers))
	for name, c := range t.callers {
		if match(f.Caller, name) {
			found = append(found, CallerCount{Caller: name, Count: c.weight - c.missed, Missed: c.missed})
		}
	}
	return found
}

// maxMissed is how many requests at most of a caller not kept apart are under
// Others.
func (t *tally) maxMissed() uint64 {
	if len(t.callers) < t.bound {
		return 0
	}
	return t.byWeight[0].weight
}

// SortTotals puts the largest totals first.
func SortTotals(totals []Total) {
	slices.SortFunc(totals, func(a, b Total) int {
		return cmp.Or(
			cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Caller, b.Caller),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Upstream, b.Upstream),
			cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
}

// SortCallers puts the callers with the most requests first.
func SortCallers(callers []CallerCount) {
	slices.SortFunc(callers, func(a, b CallerCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Caller, b.Caller))
	})
}

// callerHeap is a heap with the caller of the least weight first.
type callerHeap []*trackedCaller

func (l callerHeap) Len() int { return len(l) }

// Less settles equal weights by name, so that the same requests give the same
// totals on every run.
func (l callerHeap) Less(i, j int) bool {
	if l[i].weight != l[j].weight {
		return l[i].weight < l[j].weight
	}
	return l[i].name < l[j].name
}

func (l callerHeap) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].heapIndex, l[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (l *callerHeap) Push(x any) {
	c := x.(*trackedCaller)
	c.heapIndex = len(*l)
	*l = append(*l, c)
}

// Pop implements heap.Interface.
func (l *callerHeap) Pop() any {
	last := len(*l) - 1
	c := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return c
}
