package capacity

import (
	"container/heap"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/choice"
)

// crossDomainMeasures returns the measures of the share of requests that leave the
// failure domain of their entry. They run in virtual time.
func crossDomainMeasures() []Measure {
	loads := []int{10, 30, 50, 70, 90}
	return []Measure{
		{
			Role: "entry", Name: "requests that cross domains, upstreams in domains at random", Unit: unitPercent,
			Against: "% of slots in use", Sizes: loads, Curve: true,
			Cost: func(n int) (float64, error) { return crossDomainPercent(n, upstreamsPerService, true), nil },
		},
		{
			Role: "entry", Name: "requests that cross domains, upstreams spread evenly", Unit: unitPercent,
			Against: "% of slots in use", Sizes: loads, Curve: true,
			Cost: func(n int) (float64, error) { return crossDomainPercent(n, upstreamsPerService, false), nil },
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
	// crossDomainRequests is the number of simulated requests per point. A share of 1% is
	// then accurate to within a tenth of its value.
	crossDomainRequests = 40_000
)

// completion is the end of a request at an upstream, in units of the mean service time.
type completion struct {
	at       float64
	upstream int
}

// completions is a heap of completions, the earliest one first.
type completions []completion

// Len implements heap.Interface.
func (c completions) Len() int { return len(c) }

// Less implements heap.Interface.
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }

// Swap implements heap.Interface.
func (c completions) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *completions) Push(x any) {
	if added, ok := x.(completion); ok {
		*c = append(*c, added)
	}
}

// Pop implements heap.Interface.
func (c *completions) Pop() any {
	last := len(*c) - 1
	removed := (*c)[last]
	*c = (*c)[:last]
	return removed
}

// crossDomainPercent simulates a service whose callers are spread evenly over the failure
// domains, with exponentially distributed times between arrivals and service times. load
// is the percentage of the slots in use. crossDomainPercent returns the percentage of
// requests that crossed domains. The entries know the current load of every upstream
// without delay.
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
	now, crossed := 0.0, 0
	for range crossDomainRequests {
		now += random.ExpFloat64() / rate
		for len(running) > 0 && running[0].at <= now {
			done := heap.Pop(&running).(completion)
			candidates[done.upstream].InFlight--
		}
		domain := random.IntN(Domains)
		i, _ := choosers[domain].Choose(candidates, nil)
		if candidates[i].Domain != linkAddress(domain) {
			crossed++
		}
		candidates[i].InFlight++
		heap.Push(&running, completion{at: now + random.ExpFloat64(), upstream: i})
	}
	return float64(crossed) * percent / crossDomainRequests
}
