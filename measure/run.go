package measure

import (
	"math/rand/v2"
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

const (
	// hopDelay is the time that a reply takes from a gate to an entry.
	hopDelay clock.Millis = 1
	// queueFactor is the length of a gate's queue, in requests per slot.
	queueFactor = 2
	// probeInterval is the time between two health checks of an upstream.
	probeInterval = clock.Second
	// repeatableShare is the share of requests that may be sent more than once.
	repeatableShare = 0.8
	// falseEjectionGrace is how long after the end of a fault an ejection does not
	// count as false.
	falseEjectionGrace = 5 * clock.Second
)

// run is the state of one service in virtual time.
type run struct {
	size     Size
	scenario Scenario
	rule     Rule
	random   *rand.Rand
	seed     uint64

	now          clock.Millis
	queue        queue
	upstreams    []*upstream
	entries      []*entry
	faultWindows []*detection
	callers      []string
	undetected   int
	figures      Figures
}

// Run runs the scenario once and returns its figures. The same seed gives the same
// figures.
func Run(size Size, scenario Scenario, rule Rule, seed uint64) Figures {
	r := &run{
		size: size, scenario: scenario, rule: rule, seed: seed,
		random: rand.New(rand.NewPCG(seed, 0x5eed)),
	}
	r.prepare()
	for r.queue.Len() > 0 {
		e := r.queue.next()
		if e.at >= scenario.Length {
			break
		}
		r.now = e.at
		r.handle(e)
		if r.undetected == 0 && !scenario.RunToEnd {
			break
		}
	}
	r.finish()
	return r.figures
}

func (r *run) prepare() {
	for i := range r.size.Upstreams {
		r.upstreams = append(r.upstreams, &upstream{gate: r.newDetector(i)})
		r.queue.add(event{at: probeInterval * clock.Millis(i+1) / clock.Millis(r.size.Upstreams), kind: probeEvent, request: request{upstream: i}})
		if r.scenario.Blip > 0 {
			r.queue.add(event{at: r.exponential(r.scenario.Blip), kind: blipEvent, request: request{upstream: i}})
		}
	}
	for range r.size.Entries {
		e := newEntry(r.size)
		if r.rule.AtEntry {
			for i := range r.size.Upstreams {
				e.detectors = append(e.detectors, r.newDetector(i))
			}
		}
		r.entries = append(r.entries, e)
	}
	for i := range r.size.Callers {
		r.callers = append(r.callers, "caller-"+strconv.Itoa(i))
	}
	for _, s := range r.scenario.FaultWindows {
		r.faultWindows = append(r.faultWindows, &detection{FaultWindow: s})
		if !s.NoEjection {
			r.undetected++
		}
	}
	r.queue.add(event{kind: arrivalEvent})
	if r.scenario.Poison > 0 {
		r.queue.add(event{at: onset, kind: poisonEvent})
	}
}

func (r *run) newDetector(i int) Detector {
	r.seed++
	return r.rule.New(r.seed<<16 + uint64(i))
}

// exponential draws a duration from the exponential distribution with the given mean,
// and returns at least one millisecond.
func (r *run) exponential(mean clock.Millis) clock.Millis {
	return max(1, clock.Millis(r.random.ExpFloat64()*float64(mean)))
}

func (r *run) handle(e event) {
	switch e.kind {
	case arrivalEvent:
		r.arrive()
	case poisonEvent:
		r.poison()
	case overdueEvent:
		r.observe(e.request, health.Overdue, r.now-e.sent)
		r.repeatOverdue(e)
	case endEvent:
		r.end(e.request)
	case replyEvent:
		r.entries[e.entry].receiveBaseline(r.now, e.request)
	case probeEvent:
		r.probe(e.upstream)
	case blipEvent:
		r.upstreams[e.upstream].blipUntil = r.now + r.scenario.BlipLength
		r.queue.add(event{at: r.now + r.exponential(r.scenario.Blip), kind: blipEvent, request: e.request})
	}
}

// arrive handles the arrival of one request at a random entry and schedules the next
// arrival. Arrivals are a Poisson process rounded to milliseconds, so several may share
// one timestamp.
func (r *run) arrive() {
	rate := r.size.Rate * float64(r.size.Upstreams)
	if r.surging() {
		rate *= r.scenario.Surge
	}
	gap := r.random.ExpFloat64() * float64(clock.Second) / rate
	whole := clock.Millis(gap)
	if r.random.Float64() < gap-float64(whole) {
		whole++
	}
	r.queue.add(event{at: r.now + whole, kind: arrivalEvent})
	q := request{
		entry:      r.random.IntN(len(r.entries)),
		caller:     r.callers[r.random.IntN(len(r.callers))],
		repeatable: r.random.Float64() < repeatableShare,
	}
	r.startFaultWindows()
	if i, ok := r.pick(q); ok {
		q.upstream = i
		r.deliver(q)
	}
}

func (r *run) surging() bool {
	return r.now >= r.scenario.SurgeFrom && r.now < r.scenario.SurgeTo
}

// poison sends one request of the bad caller to its victim and schedules the caller's
// next one.
func (r *run) poison() {
	rate := r.size.Rate * r.scenario.Poison
	r.queue.add(event{at: r.now + r.exponential(clock.Millis(float64(clock.Second)/rate)), kind: poisonEvent})
	r.deliver(request{caller: "poison", upstream: r.scenario.Victim, entry: r.random.IntN(len(r.entries))})
}

// startFaultWindows assigns each fault window that has begun to its upstream.
func (r *run) startFaultWindows() {
	for _, p := range r.faultWindows {
		u := r.upstreams[p.Upstream]
		if r.now < p.From || r.now >= p.To || u.faultWindow == p {
			continue
		}
		u.faultWindow = p
		if p.Fault.Replaced {
			u.gate = r.newDetector(p.Upstream)
		}
	}
}

// probe records the result of one health check of the upstream i at its gate and
// schedules the next probe.
func (r *run) probe(i int) {
	u := r.upstreams[i]
	ok := !u.faultWindow.active(r.now) || r.scenario.ProbesPass ||
		r.random.Float64() >= u.faultWindow.Fault.Fails+u.faultWindow.Fault.Hangs
	u.gate.RecordProbe(r.now, ok)
	r.queue.add(event{at: r.now + probeInterval, kind: probeEvent, request: request{upstream: i}})
}
