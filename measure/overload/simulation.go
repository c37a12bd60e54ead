package overload

import (
	"fmt"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// simulation is the state of one run.
type simulation struct {
	config    Config
	random    *rand.Rand
	scheduler scheduler
	entries   []*entry
	gates     []*gate
	result    Result
	tickets   uint64
}

// request is one request of a caller.
type request struct {
	entry *entry
	// serviceTime is how long the request holds a slot at an upstream that is not slow.
	serviceTime clock.Millis
	arrived     clock.Millis
	deadline    clock.Millis
	tried       []bool
	tries       int
	// returns counts how often the caller sent the request again after a refusal.
	returns int
	done    bool
}

// attempt is one dispatch of a request to a gate. hopDelay is the one-way network delay
// between the entry and the gate.
type attempt struct {
	request  *request
	gate     *gate
	ticket   uint64
	hopDelay clock.Millis
	// done means that the entry no longer counts the attempt as in flight.
	done bool
}

func newSimulation(c Config) *simulation {
	c.Slow = max(c.Slow, 1)
	s := &simulation{config: c, random: rand.New(rand.NewPCG(c.Seed, 1))}
	for i := range c.Upstreams {
		s.gates = append(s.gates, newGate(s, i))
	}
	for i := range c.Entries {
		s.entries = append(s.entries, newEntry(s, i))
	}
	return s
}

// domain returns the failure domain of the entry or upstream i. Indexes are spread over
// the domains in turn.
func (s *simulation) domain(i int) string {
	return fmt.Sprint("d", i%max(s.config.Domains, 1))
}

// scheduleArrivals schedules all arrivals: a Poisson process and the burst.
func (s *simulation) scheduleArrivals() {
	c := s.config
	gap := float64(c.Service) / (c.Load * float64(c.Upstreams*c.Slots))
	for at := s.random.ExpFloat64() * gap; at < float64(c.Span); at += s.random.ExpFloat64() * gap {
		s.scheduler.after(clock.Millis(at), s.arrive)
	}
	for range c.Burst {
		s.scheduler.after(c.Span/5+clock.Millis(s.random.Int64N(int64(c.Service))), s.arrive)
	}
}

// arrive creates a request and sends it to a random entry.
func (s *simulation) arrive() {
	s.result.Requests++
	r := &request{
		entry:       s.entries[s.random.IntN(len(s.entries))],
		serviceTime: 1 + clock.Millis(s.random.ExpFloat64()*float64(s.config.Service-1)),
	}
	s.begin(r)
}

// begin starts a request, either a new one or one that its caller sends again, with a new
// deadline.
func (s *simulation) begin(r *request) {
	r.arrived = s.scheduler.now
	deadline := s.scheduler.now + s.config.Deadline
	r.deadline = deadline
	r.tried = make([]bool, len(s.gates))
	r.tries = 0
	r.done = false
	s.scheduler.after(s.config.Deadline, func() { s.expire(r, deadline) })
	r.entry.begin(r)
}

// expire ends a request that was not answered before the deadline. It does nothing if the
// caller has sent the request again since, which has given it another deadline.
func (s *simulation) expire(r *request, deadline clock.Millis) {
	if !r.done && r.deadline == deadline {
		r.done = true
		s.result.Late++
	}
}

// serve ends a request that was answered.
func (s *simulation) serve(r *request) {
	r.done = true
	s.result.Served++
	s.result.Waits = append(s.result.Waits, s.scheduler.now-r.arrived-r.serviceTime)
}

// maxReturns limits how often a caller sends a refused request again.
const maxReturns = 10

// refuse ends a request as not run. Unless RetryAfter is Never, the caller sends the request
// again, up to maxReturns times.
func (s *simulation) refuse(r *request, after clock.Millis) {
	r.done = true
	if s.config.RetryAfter == Never || r.returns >= maxReturns {
		s.result.Refused++
		return
	}
	wholeSeconds := (after + clock.Second - 1) / clock.Second * clock.Second
	switch s.config.RetryAfter {
	case Constant:
		after = clock.Second
	case Rounded:
		after = wholeSeconds
	case Jittered:
		after = wholeSeconds + clock.Millis(s.random.Int64N(int64(clock.Second)))
	case Never, Computed:
	}
	r.returns++
	s.scheduler.after(after, func() { s.begin(r) })
}

// recordSlotTime adds the slot time of an attempt that ends now to the result. It ignores
// attempts that end after Span, when no new requests arrive.
func (s *simulation) recordSlotTime(span clock.Millis, useful bool) {
	if s.scheduler.now > s.config.Span {
		return
	}
	if useful {
		s.result.Useful += float64(span)
	} else {
		s.result.Wasted += float64(span)
	}
}
