package episodes

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// multiWait is a request's wait at several gates at once.
type multiWait struct {
	r       *request
	done    bool
	pending int // gates that may still give a slot
	gates   []int
	tickets map[int]uint64
	granted map[int]bool
}

// waiter is a request's place in one gate's queue.
type waiter struct {
	wait *multiWait
	at   int
}

// chooseSeveral chooses gates to ask.
func (b *shortEpisodes) chooseSeveral(r *request, most int) []int {
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

// probeCandidates asks several gates for a free slot and takes that of the soundest.
func (b *shortEpisodes) probeCandidates(r *request) bool {
	asked := b.chooseSeveral(r, maxProbedGates)
	left, held, lowest := len(asked), -1, 0.0
	for _, i := range asked {
		b.world.after(hop, func() {
			b.openLink(r.entry, i)
			risk := b.filters[i].Probability(b.world.now)
			isFree := b.trials[i].Admit(b.world.now, risk, false) && b.tryAcquire(r, i)
			b.publish(r.entry, i)
			b.world.after(hop, func() {
				left--
				switch {
				case isFree && held < 0:
					held, lowest = i, risk
				case isFree && risk < lowest:
					b.releaseReservation(held)
					held, lowest = i, risk
				case isFree:
					b.releaseReservation(i)
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

// releaseReservation gives a slot back that was kept.
func (b *shortEpisodes) releaseReservation(i int) {
	b.world.after(hop, func() { b.release(i) })
}

// wait queues a request at several gates; the first slot is taken.
func (b *shortEpisodes) wait(r *request, span clock.Millis) bool {
	l := &multiWait{r: r, tickets: map[int]uint64{}, granted: map[int]bool{}}
	l.gates = b.chooseSeveral(r, maxQueuedGates)
	for _, i := range l.gates {
		b.tickets++
		l.tickets[i] = b.tickets
		l.pending++
		b.world.after(hop, func() { b.enqueue(l, i, span) })
	}
	if l.pending > 0 {
		b.world.after(span+2*hop, func() { b.endWait(l) })
	}
	return l.pending > 0
}

func (b *shortEpisodes) enqueue(l *multiWait, i int, span clock.Millis) {
	now := b.world.now
	b.openLink(l.r.entry, i)
	b.recordSender(l.r, i)
	if l.done || !b.trials[i].Admit(now, b.filters[i].Probability(now), l.r.kind.Repeatable) {
		b.decline(l, i)
		return
	}
	ask := limit.Request{Ticket: l.tickets[i], Deadline: l.r.deadline(), Until: now + span, Priority: l.r.kind.Priority}
	switch b.slots[i].Acquire(now, ask).Result {
	case limit.Run:
		b.reserve(l, i)
	case limit.Wait:
		b.waiters[ask.Ticket] = waiter{l, i}
		b.world.after(span+1, func() { b.expire(i) })
		b.expire(i)
	default:
		b.decline(l, i)
	}
}

// decline tells a request that a gate has no slot for it.
func (b *shortEpisodes) decline(l *multiWait, i int) {
	b.publish(l.r.entry, i)
	b.world.after(hop, func() {
		if l.pending--; l.pending == 0 && !l.done {
			l.done = true
			b.start(l.r)
		}
	})
}

// reserve keeps a slot for a request, which takes it unless it has another.
func (b *shortEpisodes) reserve(l *multiWait, i int) {
	l.granted[i] = true
	b.world.after(hop, func() {
		if l.done {
			b.releaseReservation(i)
			return
		}
		l.done = true
		b.cancelWaits(l)
		l.r.tried[i] = true
		b.world.after(hop, func() { b.run(l.r, i) })
	})
}

func (b *shortEpisodes) endWait(l *multiWait) {
	if l.done {
		return
	}
	l.done = true
	b.cancelWaits(l)
	b.start(l.r)
}

// cancelWaits takes a request out of the queues in which it still stands.
func (b *shortEpisodes) cancelWaits(l *multiWait) {
	for _, i := range l.gates {
		b.world.after(hop, func() {
			if !l.granted[i] {
				delete(b.waiters, l.tickets[i])
				b.slots[i].Cancel(l.tickets[i])
			}
		})
	}
}

// release frees a slot and gives it to the next in line.
func (b *shortEpisodes) release(i int) {
	ticket, ok := b.slots[i].Release(b.world.now)
	if p, found := b.waiters[ticket]; ok && found {
		delete(b.waiters, ticket)
		b.reserve(p.wait, i)
	}
	b.expire(i)
}
