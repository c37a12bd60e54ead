package episodes

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// line is a request's wait at several gates at once.
type line struct {
	r       *request
	over    bool
	left    int // gates that may still give a slot
	asked   []int
	tickets map[int]uint64
	granted map[int]bool
}

// place is a request's place in one gate's queue.
type place struct {
	line *line
	at   int
}

// several chooses gates to ask.
func (b *brief) several(r *request, most int) []int {
	spent := map[int]bool{}
	for i := range r.tried {
		spent[i] = true
	}
	full := r.full
	r.full = map[int]bool{} // they may have a slot by now
	defer func() { r.full = full }()
	var chosen []int
	for len(chosen) < most {
		i, ok := b.choose(r, spent, false)
		if !ok {
			break
		}
		spent[i] = true
		chosen = append(chosen, i)
	}
	return chosen
}

// survey asks several gates for a free slot and takes that of the soundest.
func (b *brief) survey(r *request) bool {
	asked := b.several(r, mostSurveyed)
	left, held, lowest := len(asked), -1, 0.0
	for _, i := range asked {
		b.world.after(hop, func() {
			b.contact(r.entry, i)
			risk := b.filters[i].Probability(b.world.now)
			isFree := b.trials[i].Admit(b.world.now, risk, false) && b.free(r, i)
			b.tell(r.entry, i)
			b.world.after(hop, func() {
				left--
				switch {
				case isFree && held < 0:
					held, lowest = i, risk
				case isFree && risk < lowest:
					b.letGo(held)
					held, lowest = i, risk
				case isFree:
					b.letGo(i)
				}
				switch {
				case left > 0:
				case held < 0:
					b.start(r)
				default:
					r.tried[held] = true
					b.world.after(hop, func() { b.run(r, held) })
				}
			})
		})
	}
	return len(asked) > 0
}

// letGo gives a slot back that was kept.
func (b *brief) letGo(i int) {
	b.world.after(hop, func() { b.release(i) })
}

// wait queues a request at several gates; the first slot is taken.
func (b *brief) wait(r *request, span clock.Millis) bool {
	l := &line{r: r, tickets: map[int]uint64{}, granted: map[int]bool{}}
	l.asked = b.several(r, mostPlaces)
	for _, i := range l.asked {
		b.tickets++
		l.tickets[i] = b.tickets
		l.left++
		b.world.after(hop, func() { b.enqueue(l, i, span) })
	}
	if l.left > 0 {
		b.world.after(span+2*hop, func() { b.giveUp(l) })
	}
	return l.left > 0
}

func (b *brief) enqueue(l *line, i int, span clock.Millis) {
	now := b.world.now
	b.contact(l.r.entry, i)
	b.noteSender(l.r, i)
	if l.over || !b.trials[i].Admit(now, b.filters[i].Probability(now), l.r.kind.Repeatable) {
		b.decline(l, i)
		return
	}
	ask := limit.Ask{Ticket: l.tickets[i], Deadline: l.r.deadline(), Until: now + span, Priority: l.r.kind.Priority}
	switch b.slots[i].Ask(now, ask).Answer {
	case limit.Run:
		b.grant(l, i)
	case limit.Wait:
		b.places[ask.Ticket] = place{l, i}
		b.world.after(span+1, func() { b.expire(i) })
		b.expire(i)
	default:
		b.decline(l, i)
	}
}

// decline tells a request that a gate has no slot for it.
func (b *brief) decline(l *line, i int) {
	b.tell(l.r.entry, i)
	b.world.after(hop, func() {
		if l.left--; l.left == 0 && !l.over {
			l.over = true
			b.start(l.r)
		}
	})
}

// grant keeps a slot for a request, which takes it unless it has another.
func (b *brief) grant(l *line, i int) {
	l.granted[i] = true
	b.world.after(hop, func() {
		if l.over {
			b.letGo(i)
			return
		}
		l.over = true
		b.waive(l)
		l.r.tried[i] = true
		b.world.after(hop, func() { b.run(l.r, i) })
	})
}

func (b *brief) giveUp(l *line) {
	if l.over {
		return
	}
	l.over = true
	b.waive(l)
	b.start(l.r)
}

// waive takes a request out of the queues in which it still stands.
func (b *brief) waive(l *line) {
	for _, i := range l.asked {
		b.world.after(hop, func() {
			if !l.granted[i] {
				delete(b.places, l.tickets[i])
				b.slots[i].Withdraw(l.tickets[i])
			}
		})
	}
}

// release frees a slot and gives it to the next in line.
func (b *brief) release(i int) {
	ticket, ok := b.slots[i].Release(b.world.now)
	if p, found := b.places[ticket]; ok && found {
		delete(b.places, ticket)
		b.grant(p.line, i)
	}
	b.expire(i)
}
