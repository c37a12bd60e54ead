package overload

import (
	"container/heap"

	"fuchsiapick.example/fuchsiapick/clock"
)

// event is something that happens at an instant.
type event struct {
	at    clock.Millis
	order int
	do    func()
}

// queue is a heap of events by instant, then by the order they were added in.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// events is virtual time.
type events struct {
	now   clock.Millis
	added int
	queue queue
}

// after schedules a call.
func (e *events) after(span clock.Millis, do func()) {
	e.added++
	heap.Push(&e.queue, event{at: e.now + span, order: e.added, do: do})
}

// run plays all events until none is left.
func (e *events) run() {
	for len(e.queue) > 0 {
		next, ok := heap.Pop(&e.queue).(event)
		if !ok {
			return
		}
		e.now = next.at
		next.do()
	}
}
