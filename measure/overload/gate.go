package overload

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// gate is the gate of one upstream, with its slots and queue.
type gate struct {
	sim        *simulation
	index      int
	slowFactor clock.Millis
	slots      *limit.Slots
	queued     map[uint64]*attempt
	// running and unboundedQueue are the state of an Unbounded queue.
	running        int
	unboundedQueue []*attempt
}

func newGate(sim *simulation, i int) *gate {
	g := &gate{sim: sim, index: i, slowFactor: 1, queued: make(map[uint64]*attempt)}
	if i == 0 {
		g.slowFactor = clock.Millis(sim.config.Slow)
	}
	g.slots = limit.NewSlots(limit.SlotsConfig{
		Slots: sim.config.Slots, Queue: sim.config.Waiting, Seed: sim.config.Seed + uint64(i),
	})
	return g
}

// load returns the number of requests that run or wait at the gate, which every answer
// reports.
func (g *gate) load() int {
	if g.sim.config.Queue == Unbounded {
		return g.running + len(g.unboundedQueue)
	}
	l := g.slots.Load(g.sim.scheduler.now)
	return l.InFlight + l.Waiting
}

// arrive runs, queues or refuses an attempt.
func (g *gate) arrive(a *attempt) {
	if g.sim.config.Queue == Unbounded {
		g.unboundedQueue = append(g.unboundedQueue, a)
		g.startUnbounded()
		return
	}
	now := g.sim.scheduler.now
	offer := g.slots.AcquireUntil(now, a.ticket, a.request.deadline)
	switch offer.Result {
	case limit.Run:
		g.start(a)
	case limit.Wait:
		g.queued[a.ticket] = a
		g.sim.scheduler.after(a.request.deadline-now, g.expire)
	case limit.Full, limit.Late, limit.Paced:
		g.refuse(a, offer.RetryAfter)
	}
}

// startUnbounded starts attempts of the unbounded queue while slots are free.
func (g *gate) startUnbounded() {
	for g.running < g.sim.config.Slots && len(g.unboundedQueue) > 0 {
		g.running++
		a := g.unboundedQueue[0]
		g.unboundedQueue = g.unboundedQueue[1:]
		g.start(a)
	}
}

// start runs an attempt to its end or, if the queue is DeadlineBound, to its deadline.
func (g *gate) start(a *attempt) {
	span := a.request.serviceTime * g.slowFactor
	if left := a.request.deadline - g.sim.scheduler.now; g.sim.config.Queue == DeadlineBound && span > left {
		span = left
	}
	g.sim.scheduler.after(span, func() { g.end(a, span) })
}

// end frees the slot of an attempt, starts the next one and sends the answer.
func (g *gate) end(a *attempt, span clock.Millis) {
	now := g.sim.scheduler.now
	r := a.request
	isComplete := span == r.serviceTime*g.slowFactor
	g.sim.recordSlotTime(span, isComplete && !r.done && now+a.hopDelay < r.deadline)
	if g.sim.config.Queue == Unbounded {
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
	g.sim.scheduler.after(a.hopDelay, func() { r.entry.answered(a, load, isComplete) })
}

// expire refuses the waiting attempts that can no longer start in time.
func (g *gate) expire() {
	now := g.sim.scheduler.now
	for _, ticket := range g.slots.Expire(now) {
		a := g.queued[ticket]
		delete(g.queued, ticket)
		g.refuse(a, g.slots.RetryAfter(now))
	}
}

// refuse sends the answer "not run".
func (g *gate) refuse(a *attempt, after clock.Millis) {
	load := g.load()
	g.sim.result.Refusals++
	g.sim.scheduler.after(a.hopDelay, func() { a.request.entry.refused(a, load, after) })
}
