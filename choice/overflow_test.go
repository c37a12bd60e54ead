package choice_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
)

// changeOf returns what an entry of the own domain adds to the utilization of another one, given
// the utilization of all domains as the entry sees it.
type changeOf func(now clock.Millis, own, other int, seen []float64) float64

const (
	simDomains   = 3
	simUpstreams = 6 // in each domain
	simSlots     = 8
	simRun       = 300.0
	simSpan      = 60_000
	// simTries is the number of gates that a request tries before it waits at one.
	simTries = 3
	// Loads of the own domain and of others are this old when an entry uses them.
	simNearDelay, simFarDelay = 100, 600
)

type simEvent struct {
	at       float64
	upstream int // -1 for an arrival
	domain   int
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulate plays domains whose demand varies by 0.55 within 13 s, each with another phase. It
// returns the mean wait for a slot, in ms, and the share of requests that left their domain.
func simulate(seed uint64, mean float64, change changeOf) (wait, crossed float64) {
	random := rand.New(rand.NewPCG(seed, 9))
	const total = simDomains * simUpstreams
	var loads, near, far [total]int
	var queues [total][]float64
	rankers := [simDomains]*choice.Ranker{}
	for d := range rankers {
		rankers[d] = choice.NewRanker(seed + uint64(d))
	}
	events := &simEvents{}
	for d := range simDomains {
		heap.Push(events, simEvent{at: random.Float64(), upstream: -1, domain: d})
	}
	runTime := func() float64 { return simRun * math.Exp(0.4*random.NormFloat64()-0.08) }
	nextNear, nextFar, requests := 0.0, 0.0, 0
	for events.Len() > 0 {
		e := heap.Pop(events).(simEvent)
		if e.at > nextNear {
			near, nextNear = loads, e.at+simNearDelay
		}
		if e.at > nextFar {
			far, nextFar = loads, e.at+simFarDelay
		}
		if e.upstream >= 0 {
			if loads[e.upstream]--; len(queues[e.upstream]) > 0 {
				wait += e.at - queues[e.upstream][0]
				queues[e.upstream] = queues[e.upstream][1:]
				heap.Push(events, simEvent{at: e.at + runTime(), upstream: e.upstream})
			}
			continue
		}
		if e.at > simSpan {
			continue
		}
		rate := mean * simUpstreams * simSlots / simRun * (1 + 0.55*math.Sin(2*math.Pi*(e.at/13_000+float64(e.domain)/simDomains)))
		heap.Push(events, simEvent{at: e.at + random.ExpFloat64()/rate, upstream: -1, domain: e.domain})
		seen := make([]float64, simDomains)
		for i := range total {
			view := far[i]
			if i/simUpstreams == e.domain {
				view = near[i]
			}
			seen[i/simUpstreams] += float64(view) / (simUpstreams * simSlots)
		}
		options := make([]choice.Option, total)
		for i := range options {
			d := i / simUpstreams
			options[i] = choice.Option{Load: far[i], Slots: simSlots, Near: d == e.domain, Usable: true}
			if d == e.domain {
				options[i].Load = near[i]
			} else {
				options[i].Load = max(far[i]+int(math.Round(simSlots*change(clock.Millis(e.at), e.domain, d, seen))), 0)
			}
		}
		i, _ := rankers[e.domain].Choose(options, 1)
		for tries := 1; loads[i] >= simSlots && tries < simTries; tries++ {
			options[i].Usable = false // its gate has refused the request
			i, _ = rankers[e.domain].Choose(options, 1)
		}
		requests++
		if i/simUpstreams != e.domain {
			crossed++
		}
		near[i]++ // the entry knows its own requests
		if loads[i]++; loads[i] > simSlots {
			queues[i] = append(queues[i], e.at)
			continue
		}
		heap.Push(events, simEvent{at: e.at + runTime(), upstream: i})
	}
	return wait / float64(requests), crossed / float64(requests)
}

// forecasting returns the change by Overflow.
func forecasting() changeOf {
	names := [simDomains]string{"a", "b", "c"}
	entries := [simDomains]*choice.Overflow{}
	for d := range entries {
		entries[d] = choice.NewOverflow(names[d])
	}
	return func(now clock.Millis, own, other int, seen []float64) float64 {
		entries[own].Observe(now, names[own], seen[own])
		entries[own].Observe(now, names[other], seen[other])
		return entries[own].Change(now, names[other])
	}
}

// Domains whose demand varies in turn must send requests to the one that is about to have free
// capacity. By loads as they were some time ago, they send them to one that has just filled up.
func TestForecastOverflow(t *testing.T) {
	const seeds = 10
	methods := []struct {
		name   string
		change func() changeOf
	}{
		{"known load", func() changeOf { return func(clock.Millis, int, int, []float64) float64 { return 0 } }},
		{"known load with hysteresis", func() changeOf {
			return func(_ clock.Millis, own, other int, seen []float64) float64 {
				if seen[other] <= seen[own]-0.1 {
					return 0
				}
				return 0.1
			}
		}},
		{"forecast with hysteresis", forecasting},
	}
	for _, mean := range []float64{0.75, 0.85} {
		waits, crossed := make([]float64, len(methods)), make([]float64, len(methods))
		for i, m := range methods {
			for seed := range uint64(seeds) {
				w, c := simulate(seed, mean, m.change())
				waits[i], crossed[i] = waits[i]+w/seeds, crossed[i]+c/seeds
			}
			t.Logf("mean utilization %.2f, %s: wait %.2f ms, %.3f of requests cross", mean, m.name, waits[i], crossed[i])
		}
		if waits[2] > waits[0] || crossed[2] > crossed[0] {
			t.Errorf("mean utilization %.2f: got a wait of %.2f ms and %.3f that cross, want at most the %.2f ms and %.3f of the known load", mean, waits[2], crossed[2], waits[0], crossed[0])
		}
	}
}

// Domains with like loads must not send requests to each other on each small difference, nor an
// overflow end and begin again with it.
func TestOverflowHasHysteresis(t *testing.T) {
	o := choice.NewOverflow("a")
	if got := o.Change(0, "b"); got != 0 {
		t.Errorf("got change %v without observations, want 0", got)
	}
	steps := []struct {
		own, other float64
		isTarget   bool
	}{{0.8, 0.75, false}, {0.8, 0.6, true}, {0.8, 0.75, true}, {0.8, 0.85, false}, {0.8, 0.75, false}}
	for i, step := range steps {
		var got float64
		for n := range 400 { // long enough for a trend to end
			now := clock.Millis(i*400+n) * 100
			o.Observe(now, "a", step.own)
			o.Observe(now, "b", step.other)
			got = o.Change(now, "b")
		}
		want := 0.1
		if step.isTarget {
			want = 0
		}
		if math.Abs(got-want) > 0.01 {
			t.Errorf("step %d: got change %.3f, want %.1f", i, got, want)
		}
	}
}
