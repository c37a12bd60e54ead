package choice_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/choice"
)

const (
	unevenUpstreams = 19
	unevenSlots     = 5
	unevenEntries   = 20
	unevenSpan      = 120_000
	// unevenDelay is the age of the loads that entries know of the requests of others.
	unevenDelay = 250
)

// playUneven plays a service whose upstreams differ in speed by up to 2.7, and returns the ratio
// of the busiest to the mean, in requests by speed, and the mean time of a request in ms.
// capacity returns the capacity that entries count for a speed.
func playUneven(seed uint64, utilization float64, capacity func(speed float64) float64) (ratio, took float64) {
	random := rand.New(rand.NewPCG(seed, 10))
	var speeds [unevenUpstreams]float64
	var loads, known, served [unevenUpstreams]int
	var own [unevenEntries][unevenUpstreams]int
	var slots [unevenUpstreams][unevenSlots]float64 // when each slot is free again
	total := 0.0
	for i := range speeds {
		speeds[i] = 0.6 + float64(i)/(unevenUpstreams-1)
		total += speeds[i] * unevenSlots
	}
	rankers := [unevenEntries]*choice.Ranker{}
	for e := range rankers {
		rankers[e] = choice.NewRanker(seed*unevenEntries + uint64(e))
	}
	events := &simEvents{}
	now, refreshAt, requests := 0.0, 0.0, 0
	for now < unevenSpan {
		now += random.ExpFloat64() * simRun / (utilization * total)
		for events.Len() > 0 && (*events)[0].at <= now {
			e := heap.Pop(events).(simEvent)
			loads[e.upstream]--
			own[e.domain][e.upstream]--
		}
		if now > refreshAt {
			known, refreshAt = loads, now+unevenDelay
		}
		entry := random.IntN(unevenEntries)
		options := make([]choice.Option, unevenUpstreams)
		for i := range options {
			options[i] = choice.Option{Load: max(known[i], own[entry][i]), Slots: unevenSlots, Capacity: capacity(speeds[i]), Near: true, Usable: true}
		}
		i, _ := rankers[entry].Choose(options, 1)
		for tries := 1; loads[i] >= unevenSlots && tries < simTries; tries++ {
			options[i].Usable = false // its gate has refused the request
			i, _ = rankers[entry].Choose(options, 1)
		}
		first := 0
		for n := range slots[i] {
			if slots[i][n] < slots[i][first] {
				first = n
			}
		}
		end := max(now, slots[i][first]) + simRun/speeds[i]*math.Exp(0.4*random.NormFloat64()-0.08)
		slots[i][first] = end
		heap.Push(events, simEvent{at: end, upstream: i, domain: entry})
		loads[i]++
		own[entry][i]++
		served[i]++
		requests++
		took += end - now
	}
	busiest := 0.0
	for i := range speeds {
		busiest = max(busiest, float64(served[i])/(speeds[i]*unevenSlots))
	}
	return busiest / (float64(requests) / total), took / float64(requests)
}

// Upstreams that counted with their slots got the same load whatever their speed, so that the
// slow ones were the busiest of their service and their requests waited.
func TestCapacityEvensOutSpeeds(t *testing.T) {
	const seeds, maxRatio = 10, 1.25
	methods := []struct {
		name     string
		capacity func(speed float64) float64
	}{
		{"slots", func(float64) float64 { return 0 }},
		{"slots x root of the speed", func(speed float64) float64 { return unevenSlots * math.Sqrt(speed) }},
		{"slots x speed", func(speed float64) float64 { return unevenSlots * speed }},
	}
	for _, utilization := range []float64{0.6, 0.8} {
		ratios, times := make([]float64, len(methods)), make([]float64, len(methods))
		for i, m := range methods {
			for seed := range uint64(seeds) {
				ratio, took := playUneven(seed, utilization, m.capacity)
				ratios[i], times[i] = ratios[i]+ratio/seeds, times[i]+took/seeds
			}
			t.Logf("utilization %.1f, %s: busiest to mean %.3f, mean time %.1f ms", utilization, m.name, ratios[i], times[i])
		}
		if got := ratios[2]; got > maxRatio || got > ratios[0] || times[2] > times[0] {
			t.Errorf("utilization %.1f: got busiest to mean %.3f and %.1f ms, want %.2f at most, and at most the %.3f and %.1f ms of slots", utilization, got, times[2], maxRatio, ratios[0], times[0])
		}
	}
}
