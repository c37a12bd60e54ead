package capacity

import (
	"container/heap"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/choice"
)

// crossDomain measures, in virtual time, the requests that leave the failure
// domain of their entry.
func crossDomain() []Measure {
	load := []int{10, 30, 50, 70, 90}
	return []Measure{
		{
			Role: "entry", Name: "requests that cross domains, upstreams in domains at random", Unit: unitPercent,
			Against: "% of slots in use", Sizes: load, Curve: true,
			Cost: func(n int) (float64, error) { return crossDomainPercent(n, perService, true), nil },
		},
		{
			Role: "entry", Name: "requests that cross domains, upstreams spread evenly", Unit: unitPercent,
			Against: "% of slots in use", Sizes: load, Curve: true,
			Cost: func(n int) (float64, error) { return crossDomainPercent(n, perService, false), nil },
		},
		{
			Role: "entry", Name: "requests that cross domains at half load, upstreams spread evenly", Unit: unitPercent,
			Against: "upstreams of the service", Sizes: []int{42, 84, 126, 168, 252}, Curve: true,
			Cost: func(n int) (float64, error) { return crossDomainPercent(halfLoad, n, false), nil },
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

// completion is the end of a request at an upstream, in service times.
type completion struct {
	at       float64
	upstream int
}

type completions []completion

// Len implements heap.Interface.
func (e completions) Len() int { return len(e) }

// Less implements heap.Interface.
func (e completions) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap implements heap.Interface.
func (e completions) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *completions) Push(x any) {
	if one, ok := x.(completion); ok {
		*e = append(*e, one)
	}
}

// Pop implements heap.Interface.
func (e *completions) Pop() any {
	last := len(*e) - 1
	one := (*e)[last]
	*e = (*e)[:last]
	return one
}

// crossDomainPercent plays a service whose callers are spread evenly over the domains,
// with arrivals and service times of exponential spans, and returns the
// percentage of requests that crossed domains. Entries see every load at once.
func crossDomainPercent(load, upstreams int, atRandom bool) float64 {
	random := rand.New(rand.NewPCG(1, 0))
	candidates := make([]choice.Candidate, upstreams)
	for i := range candidates {
		domain := i % Domains
		if atRandom {
			domain = random.IntN(Domains)
		}
		candidates[i] = choice.Candidate{Domain: linkAddress(domain), Weight: 1, Slots: slots, Share: 1, Usable: true}
	}
	choosers := make([]*choice.Chooser, Domains)
	for i := range choosers {
		choosers[i] = choice.New(choice.Config{Domain: linkAddress(i), Seed: uint64(i)})
	}
	rate := float64(upstreams*slots*load) / percent
	var running completions
	now, far := 0.0, 0
	for range crossingRuns {
		now += random.ExpFloat64() / rate
		for len(running) > 0 && running[0].at <= now {
			done := heap.Pop(&running).(completion)
			candidates[done.upstream].InFlight--
		}
		domain := random.IntN(Domains)
		i, _ := choosers[domain].Choose(candidates, nil)
		if candidates[i].Domain != linkAddress(domain) {
			far++
		}
		candidates[i].InFlight++
		heap.Push(&running, completion{at: now + random.ExpFloat64(), upstream: i})
	}
	return float64(far) * percent / crossingRuns
}
