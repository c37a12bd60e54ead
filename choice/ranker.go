package choice

import (
	"math/rand/v2"
)

// Option is one upstream that a Ranker may choose, with what determines the expected cost
// of sending the request to it.
type Option struct {
	// Risk is the probability that the upstream fails the request.
	Risk float64
	// Load is the number of requests at the upstream, Slots the number that it serves
	// concurrently.
	Load, Slots int
	// Capacity is the load with which the upstream counts as fully loaded: fewer requests than
	// Slots if it is slow or slows down. 0 stands for Slots.
	Capacity float64
	// Near is true if the upstream is in the entry's own failure domain.
	Near bool
	// Usable is true if the upstream may be chosen.
	Usable bool
}

// Costs, as fractions of the value of one request.
const (
	// negligibleRisk is the risk below which upstreams count as equally healthy. With
	// some hundred outcomes a smaller difference is random, and following it would send
	// all requests to one upstream.
	negligibleRisk = 0.05
	// busyCost is the cost of the last free slot: some upstreams slow down when they are
	// nearly full.
	busyCost = 0.08
	// queueCost is the cost of a queue as long as the number of slots: an answer that
	// waits for one service time is often late, and then worth half or less.
	queueCost = 0.5
	// farCost is the cost of traffic between failure domains, and of 1 ms each way.
	farCost = 0.1
	// costJitter varies the choices of entries that have the same view.
	costJitter = 0.04
)

// probedFarCost replaces farCost if the gates have just answered a capacity probe, so that
// their figures are current.
const probedFarCost = 0.04

// ProbedCost returns the cost of sending a request to an upstream whose gate has just
// answered a capacity probe with its risk and reserves a slot.
func ProbedCost(risk float64, near bool, t Transfer) float64 {
	if near {
		return risk
	}
	return risk + probedFarCost + t.Cost()
}

// Ranker chooses the option with the lowest cost. It is not safe for concurrent use.
type Ranker struct {
	random *rand.Rand
}

// NewRanker returns a Ranker. The same seed gives the same choices.
func NewRanker(seed uint64) *Ranker {
	return &Ranker{random: rand.New(rand.NewPCG(seed, 2))}
}

// Choose returns the index of the usable option with the lowest cost, and false if none is
// usable. weight is the cost of a failure: 1 for a request that can't be repeated, less for
// one that can.
func (r *Ranker) Choose(options []Option, weight float64) (int, bool) {
	return r.ChooseWithTransfer(options, weight, Transfer{})
}

// ChooseWithTransfer is like Choose for a request that transfers bytes to an upstream of another
// failure domain.
func (r *Ranker) ChooseWithTransfer(options []Option, weight float64, t Transfer) (int, bool) {
	distance := farCost + t.Cost()
	best, lowestCost := -1, 0.0
	for i := range options {
		if !options[i].Usable {
			continue
		}
		cost := costOf(&options[i], weight, distance) + costJitter*r.random.Float64()
		if best < 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	return best, best >= 0
}

// costOf returns the expected cost of an option. distance is the cost of another failure domain.
func costOf(o *Option, weight, distance float64) float64 {
	cost := weight * max(o.Risk-negligibleRisk, 0)
	if !o.Near {
		cost += distance
	}
	if o.Capacity > 0 {
		return cost + costOfLoad(o)
	}
	utilization := float64(o.Load) / float64(max(o.Slots, 1))
	if utilization < 1 {
		return cost + busyCost*utilization
	}
	return cost + busyCost + queueCost*(utilization-1+1/float64(max(o.Slots, 1)))
}

// costOfLoad is the cost of the load of an upstream whose capacity is known. A request that
// finds a free slot starts immediately, however slow the upstream is; one that doesn't waits
// for the longer the slower it is.
func costOfLoad(o *Option) float64 {
	if o.Load < o.Slots {
		return busyCost * float64(o.Load) / o.Capacity
	}
	return busyCost*float64(max(o.Slots, 1))/o.Capacity + queueCost*float64(o.Load-o.Slots+1)/o.Capacity
}
