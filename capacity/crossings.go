package capacity

import (
	"container/heap"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/choice"
)

// crossings measures, in virtual time, the requests that leave the failure
// domain of their entry.
func crossings() []Measure {
	load := []int{10, 30, 50, 70, 90}
	return []Measure{
		{
			Role: "entry", Name: "requests that cross domains, upstreams in domains at random", Unit: unitPercent,
			Against: "% of slots in use", Sizes: load, Curve: true,
			Cost: func(n int) (float64, error) { return crossed(n, perService, true), nil },
		},
		{
			Role: "entry", Name: "requests that cross domains, upstreams spread evenly", Unit: unitPercent,
			Against: "% of slots in use", Sizes: load, Curve: true,
			Cost: func(n int) (float64, error) { return crossed(n, perService, false), nil },
		},
		{
			Role: "entry", Name: "requests that cross domains at half load, upstreams spread evenly", Unit: unitPercent,
			Against: "upstreams of the service", Sizes: []int{42, 84, 126, 168, 252}, Curve: true,
			Cost: func(n int) (float64, error) { return crossed(halfLoad, n, false), nil },
		},
	}
}

const (
	slots    = 7
	halfLoad = 50
	percent  = 100
	// crossingRuns is the requests of one point: a share of 1 in 100 is then
	// within a tenth of itself.
	crossingRuns = 40_000
)

// ending is the end of a request at an upstream, in service times.
type ending struct {
	at       float64
	upstream int
}

type endings []ending

// Len implements heap.Interface.
func (e endings) Len() int { return len(e) }

// Less implements heap.Interface.
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap implements heap.Interface.
func (e endings) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *endings) Push(x any) {
	if one, ok := x.(ending); ok {
		*e = append(*e, one)
	}
}

// Pop implements heap.Interface.
func (e *endings) Pop() any {
	last := len(*e) - 1
	one := (*e)[last]
	*e = (*e)[:last]
	return one
}

// crossed plays a service whose callers are spread evenly over the domains,
// with arrivals and service times of exponential spans, and returns the
// percentage of requests that crossed domains. Entries see every load at once.
func crossed(load, upstreams int, atRandom bool) float64 {
	random := rand.New(rand.NewPCG(1, 0))
	candidates := make([]choice.Candidate, upstreams)
	for i := range candidates {
		domain := i % Domains
		if atRandom {
			domain = random.IntN(Domains)
		}
		candidates[i] = choice.Candidate{Domain: address(domain), Weight: 1, Slots: slots, Share: 1, Usable: true}
	}
	choosers := make([]*choice.Chooser, Domains)
	for i := range choosers {
		choosers[i] = choice.New(choice.Config{Domain: address(i), Seed: uint64(i)})
	}
	rate := float64(upstreams*slots*load) / percent
	var running endings
	now, far := 0.0, 0
	for range crossingRuns {
		now += random.ExpFloat64() / rate
		for len(running) > 0 && running[0].at <= now {
			done := heap.Pop(&running).(ending)
			candidates[done.upstream].InFlight--
		}
		domain := random.IntN(Domains)
		i, _ := choosers[domain].Choose(candidates, nil)
		if candidates[i].Domain != address(domain) {
			far++
		}
		candidates[i].InFlight++
		heap.Push(&running, ending{at: now + random.ExpFloat64(), upstream: i})
	}
	return float64(far) * percent / crossingRuns
}
