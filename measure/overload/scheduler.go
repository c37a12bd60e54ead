package overload

import (
	"container/heap"

	"fuchsiapick.example/fuchsiapick/clock"
)

// event is a function that is called at a time.
type event struct {
	at    clock.Millis
	order int
	do    func()
}

// queue is a heap of events by time, then by the order in which they were added.
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

// scheduler is the virtual clock and its pending events.
type scheduler struct {
	now   clock.Millis
	added int
	queue queue
}

// after schedules a call of do after span.
func (s *scheduler) after(span clock.Millis, do func()) {
	s.added++
	heap.Push(&s.queue, event{at: s.now + span, order: s.added, do: do})
}

// run calls all events in order until none is left.
func (s *scheduler) run() {
	for len(s.queue) > 0 {
		next, ok := heap.Pop(&s.queue).(event)
		if !ok {
			return
		}
		s.now = next.at
		next.do()
	}
}
