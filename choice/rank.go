package choice

import (
	"math/rand/v2"
)

// Option is one upstream among those that a Ranker compares by what sending to it
// may cost the request.
type Option struct {
	// Risk is the probability that it fails the request.
	Risk float64
	// Load is the requests at it, of Slots that it serves at once.
	Load, Slots int
	// Near is true in the entry's own failure domain.
	Near bool
	// Usable says that it may be chosen.
	Usable bool
}

// Costs in parts of a request's worth.
const (
	// negligibleRisk is the risk below which upstreams are held for equally sound:
	// with some hundred outcomes a difference below it is chance, and to follow
	// it would send all work to one upstream.
	negligibleRisk = 0.05
	// busyCost is that of the last free slot: some upstreams slow down when
	// they are nearly full.
	busyCost = 0.08
	// waitCost is that of a queue as long as the slots: an answer that waits
	// for one service time is often late, and worth half or less then.
	waitCost = 0.5
	// farCost is that of bytes between failure domains, and of 1 ms each way.
	farCost = 0.1
	// costJitter spreads the choices of entries that see the same.
	costJitter = 0.04
)

// probedFarCost is farCost where gates were asked and their figures are new.
const probedFarCost = 0.04

// ProbedCost is that of sending to an upstream whose gate has just told its risk and
// keeps a slot.
func ProbedCost(risk float64, near bool) float64 {
	if near {
		return risk
	}
	return risk + probedFarCost
}

// Ranker chooses the option that costs least. It is not safe for concurrent use.
type Ranker struct {
	random *rand.Rand
}

// NewRanker returns a Ranker whose choices repeat with the seed.
func NewRanker(seed uint64) *Ranker {
	return &Ranker{random: rand.New(rand.NewPCG(seed, 2))}
}

// Choose returns the index of the cheapest usable option, and false without one.
// Weight is what a failure costs: 1 for a request that can't be sent again, less
// for one that can.
func (r *Ranker) Choose(options []Option, weight float64) (int, bool) {
	best, lowest := -1, 0.0
	for i := range options {
		if !options[i].Usable {
			continue
		}
		cost := costOf(&options[i], weight) + costJitter*r.random.Float64()
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, best >= 0
}

func costOf(o *Option, weight float64) float64 {
	cost := weight * max(o.Risk-negligibleRisk, 0)
	if !o.Near {
		cost += farCost
	}
	use := float64(o.Load) / float64(max(o.Slots, 1))
	if use < 1 {
		return cost + busyCost*use
	}
	return cost + busyCost + waitCost*(use-1+1/float64(max(o.Slots, 1)))
}
