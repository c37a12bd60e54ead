package measure

import (
	"math/rand/v2"
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

const (
	// hop is the time that a reply takes from a gate to an entry.
	hop clock.Millis = 1
	// queueFactor bounds the requests that wait at a gate, in slots.
	queueFactor = 2
	// probeEvery is the span between two probes of a gate.
	probeEvery = clock.Second
	// repeatableShare of the requests may be sent again.
	repeatableShare = 0.8
	// grace after a spell, a set aside is not yet a false one.
	grace = 5 * clock.Second
)

// run is one service in virtual time.
type run struct {
	size     Size
	scenario Scenario
	rule     Rule
	random   *rand.Rand
	seed     uint64

	now       clock.Millis
	queue     queue
	upstreams []*upstream
	entries   []*entry
	spells    []*progress
	callers   []string
	open      int
	figures   Figures
}

// Run plays the scenario once.
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
		if r.open == 0 && !scenario.Whole {
			break
		}
	}
	r.finish()
	return r.figures
}

func (r *run) prepare() {
	for i := range r.size.Upstreams {
		r.upstreams = append(r.upstreams, &upstream{gate: r.verdict(i)})
		r.queue.add(event{at: probeEvery * clock.Millis(i+1) / clock.Millis(r.size.Upstreams), kind: probes, request: request{upstream: i}})
		if r.scenario.Blip > 0 {
			r.queue.add(event{at: r.spread(r.scenario.Blip), kind: blips, request: request{upstream: i}})
		}
	}
	for range r.size.Entries {
		e := newEntry(r.size)
		if r.rule.AtEntry {
			for i := range r.size.Upstreams {
				e.verdicts = append(e.verdicts, r.verdict(i))
			}
		}
		r.entries = append(r.entries, e)
	}
	for i := range r.size.Callers {
		r.callers = append(r.callers, "caller-"+strconv.Itoa(i))
	}
	for _, s := range r.scenario.Spells {
		r.spells = append(r.spells, &progress{Spell: s})
		if !s.Spared {
			r.open++
		}
	}
	r.queue.add(event{kind: arrives})
	if r.scenario.Poison > 0 {
		r.queue.add(event{at: onset, kind: poisons})
	}
}

func (r *run) verdict(i int) Verdict {
	r.seed++
	return r.rule.New(r.seed<<16 + uint64(i))
}

// spread draws an exponential span, of at least a millisecond.
func (r *run) spread(mean clock.Millis) clock.Millis {
	return max(1, clock.Millis(r.random.ExpFloat64()*float64(mean)))
}

func (r *run) handle(e event) {
	switch e.kind {
	case arrives:
		r.arrive()
	case poisons:
		r.poison()
	case turnsOverdue:
		r.observe(e.request, health.Overdue, r.now-e.sent)
		r.remind(e)
	case ends:
		r.end(e.request)
	case replies:
		r.entries[e.entry].hear(r.now, e.request)
	case probes:
		r.probe(e.upstream)
	case blips:
		r.upstreams[e.upstream].blip = r.now + r.scenario.BlipSpan
		r.queue.add(event{at: r.now + r.spread(r.scenario.Blip), kind: blips, request: e.request})
	}
}

// arrive takes one request at a random entry, and draws when the next comes.
// Arrivals are Poisson: those within one millisecond share its instant.
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
	r.queue.add(event{at: r.now + whole, kind: arrives})
	q := request{
		entry:      r.random.IntN(len(r.entries)),
		caller:     r.callers[r.random.IntN(len(r.callers))],
		repeatable: r.random.Float64() < repeatableShare,
	}
	r.beginSpells()
	if i, ok := r.pick(q); ok {
		q.upstream = i
		r.give(q)
	}
}

func (r *run) surging() bool {
	return r.now >= r.scenario.SurgeFrom && r.now < r.scenario.SurgeTo
}

// poison sends one request of the bad caller to its victim.
func (r *run) poison() {
	rate := r.size.Rate * r.scenario.Poison
	r.queue.add(event{at: r.now + r.spread(clock.Millis(float64(clock.Second)/rate)), kind: poisons})
	r.give(request{caller: "poison", upstream: r.scenario.Victim, entry: r.random.IntN(len(r.entries))})
}

func (r *run) beginSpells() {
	for _, p := range r.spells {
		u := r.upstreams[p.Upstream]
		if r.now < p.From || r.now >= p.To || u.spell == p {
			continue
		}
		u.spell = p
		if p.Fault.Replaced {
			u.gate = r.verdict(p.Upstream)
		}
	}
}

func (r *run) probe(i int) {
	u := r.upstreams[i]
	ok := !u.spell.active(r.now) || r.scenario.ProbesPass ||
		r.random.Float64() >= u.spell.Fault.Fails+u.spell.Fault.Hangs
	u.gate.Probed(r.now, ok)
	r.queue.add(event{at: r.now + probeEvery, kind: probes, request: request{upstream: i}})
}
