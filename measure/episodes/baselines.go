package episodes

// roundRobin implements the policy RoundRobin.
type roundRobin struct {
	sim    *simulation
	next   []int
	busy   []int
	queues [][]*request
}

func newRoundRobin(sim *simulation) *roundRobin {
	return &roundRobin{
		sim:    sim,
		next:   make([]int, sim.config.Entries),
		busy:   make([]int, sim.config.Upstreams),
		queues: make([][]*request, sim.config.Upstreams),
	}
}

func (rr *roundRobin) start(r *request) {
	i := (rr.next[r.entry] + r.entry) % rr.sim.config.Upstreams
	rr.next[r.entry]++
	rr.sim.after(hopDelay, func() { rr.offer(r, i) })
}

func (rr *roundRobin) offer(r *request, i int) {
	if rr.busy[i] >= rr.sim.config.Slots {
		rr.queues[i] = append(rr.queues[i], r)
		return
	}
	rr.busy[i]++
	rr.sim.run(r, i, func(ok bool) { rr.ended(r, i, ok) })
}

func (rr *roundRobin) ended(r *request, i int, ok bool) {
	rr.busy[i]--
	if !ok && r.kind.Repeatable && r.ran < 2 {
		rr.start(r)
	} else {
		rr.sim.finish(r, ok, false)
	}
	for len(rr.queues[i]) > 0 {
		next := rr.queues[i][0]
		rr.queues[i] = rr.queues[i][1:]
		if rr.sim.now < next.deadline() {
			rr.offer(next, i)
			return
		}
		rr.sim.finish(next, false, false)
	}
}

// oracle implements the policy Oracle.
type oracle struct {
	sim   *simulation
	busy  []int
	queue []*request
}

func newOracle(sim *simulation) *oracle {
	return &oracle{sim: sim, busy: make([]int, sim.config.Upstreams)}
}

func (o *oracle) start(r *request) {
	position := len(o.queue)
	for position > 0 && o.queue[position-1].kind.Priority > r.kind.Priority {
		position--
	}
	o.queue = append(o.queue[:position], append([]*request{r}, o.queue[position:]...)...)
	o.serve()
}

// serve runs queued requests in free slots of upstreams that are not failing. It refuses
// those that can't be answered before their deadline.
func (o *oracle) serve() {
	for len(o.queue) > 0 {
		r := o.queue[0]
		if o.sim.now+r.work > r.deadline() {
			o.queue = o.queue[1:]
			o.sim.finish(r, false, true)
			continue
		}
		i, ok := o.free()
		if !ok {
			return
		}
		o.queue = o.queue[1:]
		o.busy[i]++
		o.sim.run(r, i, func(ok bool) {
			o.busy[i]--
			if !ok && r.kind.Repeatable && r.ran < 2 {
				o.start(r)
			} else {
				o.sim.finish(r, ok, false)
			}
			o.serve()
		})
	}
}

// free returns an upstream that is not failing and has a free slot, or false if there is
// none.
func (o *oracle) free() (int, bool) {
	for i, u := range o.sim.upstreams {
		if !u.isFailing(o.sim.now) && o.busy[i] < o.sim.config.Slots {
			return i, true
		}
	}
	return 0, false
}
