package episodes

// blind is round robin with a second try.
type blind struct {
	world *world
	next  []int
	busy  []int
	lines [][]*request
}

func newBlind(w *world) *blind {
	return &blind{
		world: w,
		next:  make([]int, w.config.Entries),
		busy:  make([]int, w.config.Upstreams),
		lines: make([][]*request, w.config.Upstreams),
	}
}

func (b *blind) start(r *request) {
	i := (b.next[r.entry] + r.entry) % b.world.config.Upstreams
	b.next[r.entry]++
	b.world.after(hop, func() { b.offer(r, i) })
}

func (b *blind) offer(r *request, i int) {
	if b.busy[i] >= b.world.config.Slots {
		b.lines[i] = append(b.lines[i], r)
		return
	}
	b.busy[i]++
	b.world.run(r, i, func(ok bool) { b.ended(r, i, ok) })
}

func (b *blind) ended(r *request, i int, ok bool) {
	b.busy[i]--
	if !ok && r.kind.Repeatable && r.ran < 2 {
		b.start(r)
	} else {
		b.world.finish(r, ok, false)
	}
	for len(b.lines[i]) > 0 {
		next := b.lines[i][0]
		b.lines[i] = b.lines[i][1:]
		if b.world.now < next.deadline() {
			b.offer(next, i)
			return
		}
		b.world.finish(next, false, false)
	}
}

// perfect is one queue by rank before all upstreams that don't fail now.
type perfect struct {
	world *world
	busy  []int
	line  []*request
}

func newPerfect(w *world) *perfect {
	return &perfect{world: w, busy: make([]int, w.config.Upstreams)}
}

func (p *perfect) start(r *request) {
	place := len(p.line)
	for place > 0 && p.line[place-1].kind.Priority > r.kind.Priority {
		place--
	}
	p.line = append(p.line[:place], append([]*request{r}, p.line[place:]...)...)
	p.serve()
}

// serve gives free slots of sound upstreams to the first in line whose answer can
// come in time.
func (p *perfect) serve() {
	for len(p.line) > 0 {
		r := p.line[0]
		if p.world.now+r.work > r.deadline() {
			p.line = p.line[1:]
			p.world.finish(r, false, true)
			continue
		}
		i, ok := p.free()
		if !ok {
			return
		}
		p.line = p.line[1:]
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

func (p *perfect) free() (int, bool) {
	for i, u := range p.world.upstreams {
		if !u.at(p.world.now) && p.busy[i] < p.world.config.Slots {
			return i, true
		}
	}
	return 0, false
}
