package access

import (
	"cmp"
	"container/heap"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Others stands for the callers, services and upstreams beyond the memory limits.
const Others = "(other)"

// cellsPerCaller is the maximum average number of cells for each tracked caller: about three
// services with three upstreams each, and several outcomes.
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
	// Took is the sum of the times that the requests took.
	Took clock.Millis `json:"took"`
}

// CallerCount states how accurate the totals of one caller are.
type CallerCount struct {
	Caller string `json:"caller"`
	// Count is the number of requests counted under the caller's name.
	Count uint64 `json:"count"`
	// Missed is the maximum number of the caller's further requests, counted under Others.
	Missed uint64 `json:"missed"`
}

// cellKey identifies a cell of a caller's totals.
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

// trackedCaller is a caller with totals of its own.
type trackedCaller struct {
	name string
	// weight is the counter of the space-saving algorithm: the requests counted under the
	// caller's name, plus missed.
	weight    uint64
	missed    uint64
	cells     map[cellKey]cell
	heapIndex int
}

// tally keeps totals by caller in bounded memory with the space-saving algorithm (Metwally,
// Agrawal and El Abbadi, 2005). With n tracked callers, each caller that made more than 1/n
// of all requests is tracked, and the totals of no caller miss more than 1/n of all requests.
// All other requests are counted under Others, so that the sum of all totals is the number of
// records.
type tally struct {
	maxCallers int
	callers    map[string]*trackedCaller
	byWeight   callerHeap
	others     map[cellKey]cell
	cellCount  int
}

func newTally(maxCallers int) *tally {
	return &tally{
		maxCallers: maxCallers,
		callers:    make(map[string]*trackedCaller),
		others:     make(map[cellKey]cell),
	}
}

func (t *tally) add(r *Record) {
	c := t.track(r.Caller)
	c.weight++
	heap.Fix(&t.byWeight, c.heapIndex)
	key := cellKey{service: r.Service, upstream: r.Upstream, outcome: r.Outcome, reason: r.Reason}
	t.addCell(c.cells, key, cell{count: 1, took: r.Took})
}

// track returns the entry of a caller. A new entry replaces the one with the least weight if
// the maximum number of callers is reached.
func (t *tally) track(name string) *trackedCaller {
	if c := t.callers[name]; c != nil {
		return c
	}
	c := &trackedCaller{name: name, cells: make(map[cellKey]cell, 1)}
	if len(t.callers) >= t.maxCallers {
		evicted := heap.Pop(&t.byWeight).(*trackedCaller)
		delete(t.callers, evicted.name)
		t.cellCount -= len(evicted.cells)
		for key, v := range evicted.cells {
			t.addCell(t.others, key, v)
		}
		c.weight, c.missed = evicted.weight, evicted.weight
	}
	t.callers[name] = c
	heap.Push(&t.byWeight, c)
	return c
}

// addCell adds v to the cell of a key. If the maximum number of cells is reached, a new key
// keeps only its outcome.
func (t *tally) addCell(cells map[cellKey]cell, key cellKey, v cell) {
	if _, known := cells[key]; !known {
		if t.cellCount >= t.maxCallers*cellsPerCaller {
			key = cellKey{service: Others, upstream: Others, outcome: key.outcome}
		}
		if _, known := cells[key]; !known {
			t.cellCount++
		}
	}
	sum := cells[key]
	sum.count += v.count
	sum.took += v.took
	cells[key] = sum
}

// totals returns the cells that the filter selects, and the number of requests in cells whose
// service and upstream are unknown, to which the filter can't be applied.
func (t *tally) totals(f Filter) (found []Total, unattributed uint64) {
	found = make([]Total, 0, t.cellCount)
	collect := func(caller string, cells map[cellKey]cell) {
		for key, v := range cells {
			if key.service == Others && (f.Service != "" || f.Upstream != "") {
				unattributed += v.count
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
	return found, unattributed
}

// callerCounts returns the accuracy of the totals of the tracked callers that the filter
// selects.
func (t *tally) callerCounts(f Filter) []CallerCount {
	found := make([]CallerCount, 0, len(t.callers))
	for name, c := range t.callers {
		if match(f.Caller, name) {
			found = append(found, CallerCount{Caller: name, Count: c.weight - c.missed, Missed: c.missed})
		}
	}
	return found
}

// maxMissed returns the maximum number of requests that an untracked caller can have made;
// they are counted under Others.
func (t *tally) maxMissed() uint64 {
	if len(t.callers) < t.maxCallers {
		return 0
	}
	return t.byWeight[0].weight
}

// SortTotals sorts totals by descending count.
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

// SortCallers sorts callers by descending count.
func SortCallers(callers []CallerCount) {
	slices.SortFunc(callers, func(a, b CallerCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Caller, b.Caller))
	})
}

// callerHeap is a min-heap of callers by weight.
type callerHeap []*trackedCaller

func (h callerHeap) Len() int { return len(h) }

// Less orders equal weights by name, so that the same requests give the same totals on every
// run.
func (h callerHeap) Less(i, j int) bool {
	if h[i].weight != h[j].weight {
		return h[i].weight < h[j].weight
	}
	return h[i].name < h[j].name
}

func (h callerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *callerHeap) Push(x any) {
	c := x.(*trackedCaller)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *callerHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
