package measure

import (
	"container/heap"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

type eventKind uint8

const (
	arrives eventKind = iota
	poisons
	turnsOverdue
	ends
	replies
	probes
	blips
)

// event is something that happens to a request, or to an upstream by itself.
type event struct {
	at       clock.Millis
	sequence int
	kind     eventKind
	request
}

// request is one request on its way.
type request struct {
	upstream, entry int
	caller          string
	repeatable      bool
	sent, until     clock.Millis
	result          health.Result
	// endIgnored says that its end tells the gate nothing more.
	endIgnored   bool
	stillOverdue bool
	// baseline is what the gate tells with the reply.
	baseline health.Baseline
}

// queue orders events by time, and those of one instant by their making.
// It uses the events again, for a run makes tens of thousands.
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

// Push is for container/heap.
func (q *queue) Push(x any) {
	if e, ok := x.(*event); ok {
		q.events = append(q.events, e)
	}
}

// Pop is for container/heap.
func (q *queue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events = q.events[:last]
	return e
}

func (q *queue) add(e event) {
	e.sequence = q.sequence
	q.sequence++
	held := &event{}
	if last := len(q.spare) - 1; last >= 0 {
		held = q.spare[last]
		q.spare = q.spare[:last]
	}
	*held = e
	heap.Push(q, held)
}

func (q *queue) next() event {
	held, ok := heap.Pop(q).(*event)
	if !ok {
		return event{}
	}
	q.spare = append(q.spare, held)
	return *held
}
