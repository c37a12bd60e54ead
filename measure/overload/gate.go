package overload

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// gate is one upstream and its queue.
type gate struct {
	world      *world
	index      int
	slowFactor clock.Millis
	slots      *limit.Slots
	queued     map[uint64]*attempt
	// running and line are the state of an Endless queue.
	running        int
	unboundedQueue []*attempt
}

func newGate(w *world, i int) *gate {
	g := &gate{world: w, index: i, slowFactor: 1, queued: make(map[uint64]*attempt)}
	if i == 0 {
		g.slowFactor = clock.Millis(w.config.Slow)
	}
	g.slots = limit.NewSlots(limit.SlotsConfig{
		Slots: w.config.Slots, Queue: w.config.Waiting, Seed: w.config.Seed + uint64(i),
	})
	return g
}

// load is what the gate tells with every answer.
func (g *gate) load() int {
	if g.world.config.Queue == Unbounded {
		return g.running + len(g.unboundedQueue)
	}
	l := g.slots.Load()
	return l.InFlight + l.Waiting
}

// arrive takes an attempt off the link.
func (g *gate) arrive(a *attempt) {
	if g.world.config.Queue == Unbounded {
		g.unboundedQueue = append(g.unboundedQueue, a)
		g.startUnbounded()
		return
	}
	now := g.world.events.now
	offer := g.slots.AcquireUntil(now, a.ticket, a.request.deadline)
	switch offer.Result {
	case limit.Run:
		g.start(a)
	case limit.Wait:
		g.queued[a.ticket] = a
		g.world.events.after(a.request.deadline-now, g.expire)
	case limit.Full, limit.Late:
		g.refuse(a, offer.RetryAfter)
	}
}

func (g *gate) startUnbounded() {
	for g.running < g.world.config.Slots && len(g.unboundedQueue) > 0 {
		g.running++
		a := g.unboundedQueue[0]
		g.unboundedQueue = g.unboundedQueue[1:]
		g.start(a)
	}
}

// start runs an attempt to its end, or to its deadline if the gate cancels.
func (g *gate) start(a *attempt) {
	span := a.request.work * g.slowFactor
	if left := a.request.deadline - g.world.events.now; g.world.config.Queue == DeadlineBound && span > left {
		span = left
	}
	g.world.events.after(span, func() { g.end(a, span) })
}

// end frees the slot and answers.
func (g *gate) end(a *attempt, span clock.Millis) {
	now := g.world.events.now
	r := a.request
	whole := span == r.work*g.slowFactor
	g.world.recordSlotTime(span, whole && !r.done && now+a.hop < r.deadline)
	if g.world.config.Queue == Unbounded {
		g.running--
		g.startUnbounded()
	} else {
		if ticket, ok := g.slots.Release(now); ok {
			g.start(g.queued[ticket])
			delete(g.queued, ticket)
		}
		g.expire()
	}
	load := g.load()
	g.world.events.after(a.hop, func() { r.entry.answered(a, load, whole) })
}

// expire refuses the waiters whose turn comes too late.
func (g *gate) expire() {
	now := g.world.events.now
	for _, ticket := range g.slots.Expire(now) {
		a := g.queued[ticket]
		delete(g.queued, ticket)
		g.refuse(a, g.slots.RetryAfter(now))
	}
}

// refuse answers "not run".
func (g *gate) refuse(a *attempt, after clock.Millis) {
	load := g.load()
	g.world.result.Refusals++
	g.world.events.after(a.hop, func() { a.request.entry.refused(a, load, after) })
}
