package measure

import (
	"container/heap"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

type eventKind uint8

const (
	arrivalEvent eventKind = iota
	poisonEvent
	overdueEvent
	endEvent
	replyEvent
	probeEvent
	blipEvent
)

// event is a scheduled event of a request, or of an upstream (probes and blips).
type event struct {
	at       clock.Millis
	sequence int
	kind     eventKind
	request
}

// request is one request. It runs from sent to until.
type request struct {
	upstream, entry int
	caller          string
	repeatable      bool
	sent, until     clock.Millis
	result          health.Result
	// endIgnored means that the end of the request is not reported to the detector,
	// because the request was reported as overdue before.
	endIgnored bool
	// stillOverdue means that the request was reported as overdue before and has
	// still not ended.
	stillOverdue bool
	// baseline is the gate's own baseline, which the reply carries.
	baseline health.Baseline
}

// queue is a heap of events, ordered by time and then by the order in which they were
// added. It reuses the memory of past events, since a run creates tens of thousands.
type queue struct {
	events   []*event
	spare    []*event
	sequence int
}

func (q *queue) Len() int { return len(q.events) }

func (q *queue) Less(i, k int) bool {
	if q.events[i].at != q.events[k].at {
		return q.events[i].at < q.events[k].at
	}
	return q.events[i].sequence < q.events[k].sequence
}

func (q *queue) Swap(i, k int) { q.events[i], q.events[k] = q.events[k], q.events[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(*event); ok {
		q.events = append(q.events, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events = q.events[:last]
	return e
}

func (q *queue) add(e event) {
	e.sequence = q.sequence
	q.sequence++
	stored := &event{}
	if last := len(q.spare) - 1; last >= 0 {
		stored = q.spare[last]
		q.spare = q.spare[:last]
	}
	*stored = e
	heap.Push(q, stored)
}

// next removes and returns the earliest event.
func (q *queue) next() event {
	stored, ok := heap.Pop(q).(*event)
	if !ok {
		return event{}
	}
	q.spare = append(q.spare, stored)
	return *stored
}
