package overload

import (
	"fmt"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// world is the state of one run.
type world struct {
	config  Config
	random  *rand.Rand
	events  events
	entries []*entry
	gates   []*gate
	result  Result
	tickets uint64
}

// request is one caller's.
type request struct {
	entry *entry
	// work is the time it holds a slot of an upstream that isn't slow.
	work     clock.Millis
	arrived  clock.Millis
	deadline clock.Millis
	tried    []bool
	tries    int
	// returns counts how often its caller came back.
	returns int
	done    bool
}

// attempt is one message of a request to a gate.
type attempt struct {
	request *request
	gate    *gate
	ticket  uint64
	hop     clock.Millis
	// done says that the entry no longer counts it as outstanding.
	done bool
}

func newWorld(c Config) *world {
	c.Slow = max(c.Slow, 1)
	w := &world{config: c, random: rand.New(rand.NewPCG(c.Seed, 1))}
	for i := range c.Upstreams {
		w.gates = append(w.gates, newGate(w, i))
	}
	for i := range c.Entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	return w
}

// domain spreads entries and upstreams over the failure domains.
func (w *world) domain(i int) string {
	return fmt.Sprint("d", i%max(w.config.Domains, 1))
}

// arrivals schedules the callers: a Poisson stream and the burst.
func (w *world) arrivals() {
	c := w.config
	gap := float64(c.Service) / (c.Load * float64(c.Upstreams*c.Slots))
	for at := w.random.ExpFloat64() * gap; at < float64(c.Span); at += w.random.ExpFloat64() * gap {
		w.events.after(clock.Millis(at), w.arrive)
	}
	for range c.Burst {
		w.events.after(c.Span/5+clock.Millis(w.random.Int64N(int64(c.Service))), w.arrive)
	}
}

// arrive lets one caller ask any entry.
func (w *world) arrive() {
	w.result.Requests++
	r := &request{
		entry: w.entries[w.random.IntN(len(w.entries))],
		work:  1 + clock.Millis(w.random.ExpFloat64()*float64(w.config.Service-1)),
	}
	w.begin(r)
}

// begin starts a request, also one whose caller comes back.
func (w *world) begin(r *request) {
	r.arrived = w.events.now
	deadline := w.events.now + w.config.Deadline
	r.deadline = deadline
	r.tried = make([]bool, len(w.gates))
	r.tries = 0
	r.done = false
	w.events.after(w.config.Deadline, func() { w.expire(r, deadline) })
	r.entry.begin(r)
}

// expire ends a request that got no answer in time. The deadline names the
// begin it belongs to: the caller may have come back since.
func (w *world) expire(r *request, deadline clock.Millis) {
	if !r.done && r.deadline == deadline {
		r.done = true
		w.result.Late++
	}
}

// serve ends a request with its answer.
func (w *world) serve(r *request) {
	r.done = true
	w.result.Served++
	w.result.Waits = append(w.result.Waits, w.events.now-r.arrived-r.work)
}

// maxReturns bounds how often a caller comes back.
const maxReturns = 10

// refuse ends a request as not run; its caller may come back.
func (w *world) refuse(r *request, after clock.Millis) {
	r.done = true
	if w.config.RetryAfter == Never || r.returns >= maxReturns {
		w.result.Refused++
		return
	}
	whole := (after + clock.Second - 1) / clock.Second * clock.Second
	switch w.config.RetryAfter {
	case Constant:
		after = clock.Second
	case Rounded:
		after = whole
	case Jittered:
		after = whole + clock.Millis(w.random.Int64N(int64(clock.Second)))
	case Never, Computed:
	}
	r.returns++
	w.events.after(after, func() { w.begin(r) })
}

// recordSlotTime counts the slot time of an attempt that ends now, but for the tail
// after Span, in which no more work is offered.
func (w *world) recordSlotTime(span clock.Millis, useful bool) {
	if w.events.now > w.config.Span {
		return
	}
	if useful {
		w.result.Useful += float64(span)
	} else {
		w.result.Wasted += float64(span)
	}
}
