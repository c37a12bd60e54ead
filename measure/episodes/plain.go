package episodes

// roundRobin is round robin with a second try.
type roundRobin struct {
	world  *world
	next   []int
	busy   []int
	queues [][]*request
}

func newRoundRobin(w *world) *roundRobin {
	return &roundRobin{
		world:  w,
		next:   make([]int, w.config.Entries),
		busy:   make([]int, w.config.Upstreams),
		queues: make([][]*request, w.config.Upstreams),
	}
}

func (b *roundRobin) start(r *request) {
	i := (b.next[r.entry] + r.entry) % b.world.config.Upstreams
	b.next[r.entry]++
	b.world.after(hop, func() { b.offer(r, i) })
}

func (b *roundRobin) offer(r *request, i int) {
	if b.busy[i] >= b.world.config.Slots {
		b.queues[i] = append(b.queues[i], r)
		return
	}
	b.busy[i]++
	b.world.run(r, i, func(ok bool) { b.ended(r, i, ok) })
}

func (b *roundRobin) ended(r *request, i int, ok bool) {
	b.busy[i]--
	if !ok && r.kind.Repeatable && r.ran < 2 {
		b.start(r)
	} else {
		b.world.finish(r, ok, false)
	}
	for len(b.queues[i]) > 0 {
		next := b.queues[i][0]
		b.queues[i] = b.queues[i][1:]
		if b.world.now < next.deadline() {
			b.offer(next, i)
			return
		}
		b.world.finish(next, false, false)
	}
}

// oracle is one queue by rank before all upstreams that don't fail now.
type oracle struct {
	world *world
	busy  []int
	queue []*request
}

func newOracle(w *world) *oracle {
	return &oracle{world: w, busy: make([]int, w.config.Upstreams)}
}

func (p *oracle) start(r *request) {
	place := len(p.queue)
	for place > 0 && p.queue[place-1].kind.Priority > r.kind.Priority {
		place--
	}
	p.queue = append(p.queue[:place], append([]*request{r}, p.queue[place:]...)...)
	p.serve()
}

// serve gives free slots of sound upstreams to the first in line whose answer can
// come in time.
func (p *oracle) serve() {
	for len(p.queue) > 0 {
		r := p.queue[0]
		if p.world.now+r.work > r.deadline() {
			p.queue = p.queue[1:]
			p.world.finish(r, false, true)
			continue
		}
		i, ok := p.free()
		if !ok {
			return
		}
		p.queue = p.queue[1:]
		p.busy[i]++
		p.world.run(r, i, func(ok bool) {
			p.busy[i]--
			if !ok && r.kind.Repeatable && r.ran < 2 {
				p.start(r)
			} else {
				p.world.finish(r, ok, false)
			}
			p.serve()
		})
	}
}

func (p *oracle) free() (int, bool) {
	for i, u := range p.world.upstreams {
		if !u.isFailing(p.world.now) && p.busy[i] < p.world.config.Slots {
			return i, true
		}
	}
	return 0, false
}
