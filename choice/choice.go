// Package choice chooses the upstream for a request: the less loaded of two weighted random
// choices, from the entry's own failure domain while an upstream there has a free slot.
package choice

import (
	"math"
	"math/rand/v2"
)

// Candidate is one upstream as an entry sees it at the time of the choice.
type Candidate struct {
	// Domain is the failure domain of the upstream.
	Domain string
	// Weight is its weight from the table; 0 means no new requests.
	Weight int
	// Slots is the number of requests that it serves concurrently.
	Slots int
	// InFlight is the larger of the entry's own requests at the upstream and the load
	// last received from its gate.
	InFlight int
	// Share is the fraction of its normal load, from 0 to 1, that slow start allows.
	Share float64
	// Usable is false if the upstream is ejected and the floor allows that, if it is
	// leaving, or if the path to it is lost.
	Usable bool
}

// Config configures a Chooser.
type Config struct {
	// Domain is the entry's own failure domain.
	Domain string
	// Seed seeds the random choices, so that they can be reproduced.
	Seed uint64
}

// Chooser chooses upstreams. It is not safe for concurrent use.
type Chooser struct {
	domain string
	random *rand.Rand
	// tiers and weights are scratch space that is indexed like the candidates.
	tiers   []tier
	weights []float64
}

// tier ranks candidates: the choice is made from the lowest tier that has any.
type tier uint8

const (
	// near candidates are in the entry's own failure domain and have a free slot.
	near tier = iota
	// far candidates are in another failure domain and have a free slot.
	far
	// full candidates have no free slot, or slow start skips them for this choice.
	full
	// excluded candidates may not be chosen.
	excluded
)

// New returns a Chooser.
func New(c Config) *Chooser {
	return &Chooser{
		domain: c.Domain,
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}
}

// Choose returns the index of the candidate to send the request to. It returns false if no
// candidate is usable, has weight and slots, and is not reported by tried. A nil tried
// reports none. Choose allocates only if there are more candidates than in any earlier call.
func (c *Chooser) Choose(candidates []Candidate, tried func(i int) bool) (int, bool) {
	best := c.assignTiers(candidates, tried)
	if best == excluded {
		return 0, false
	}
	total := 0.0
	for i := range candidates {
		if c.tiers[i] == best {
			total += c.weights[i]
		}
	}
	first := c.pickWeighted(best, total)
	c.tiers[first] = excluded
	rest := total - c.weights[first]
	second := c.pickWeighted(best, rest)
	if second < 0 || load(&candidates[first]) <= load(&candidates[second]) {
		return first, true
	}
	return second, true
}

// assignTiers fills tiers and weights, and returns the lowest tier found.
func (c *Chooser) assignTiers(candidates []Candidate, tried func(i int) bool) tier {
	c.tiers = c.tiers[:0]
	c.weights = c.weights[:0]
	best := excluded
	for i := range candidates {
		t := c.tierOf(&candidates[i])
		if t != excluded && tried != nil && tried(i) {
			t = excluded
		}
		best = min(best, t)
		c.tiers = append(c.tiers, t)
		c.weights = append(c.weights, capacity(&candidates[i]))
	}
	return best
}

func (c *Chooser) tierOf(u *Candidate) tier {
	switch {
	case !u.Usable || u.Weight <= 0 || u.Slots <= 0:
		return excluded
	case u.InFlight >= maxInFlight(u) || !c.passesSlowStart(u):
		return full
	case u.Domain == c.domain:
		return near
	default:
		return far
	}
}

// passesSlowStart reports whether slow start lets the upstream take part in this choice. It
// returns true at random, with a probability of Share. Comparing loads isn't enough: an
// upstream that is alone in its failure domain would get all requests of that domain.
func (c *Chooser) passesSlowStart(u *Candidate) bool {
	return u.Share >= 1 || c.random.Float64() < u.Share
}

// pickWeighted returns the index of a random candidate of the tier, with a probability in
// proportion to its weight, or -1 if there is none. total is the sum of the tier's weights.
func (c *Chooser) pickWeighted(t tier, total float64) int {
	point := c.random.Float64() * total
	last := -1
	for i, other := range c.tiers {
		if other != t {
			continue
		}
		last = i
		point -= c.weights[i]
		if point < 0 {
			break
		}
	}
	return last
}

// maxInFlight returns the number of requests in flight at which the upstream is full.
func maxInFlight(u *Candidate) int {
	return int(math.Ceil(float64(u.Slots) * share(u)))
}

func capacity(u *Candidate) float64 {
	return float64(u.Weight) * float64(u.Slots)
}

// load returns the upstream's requests in flight, relative to the capacity that slow start
// allows.
func load(u *Candidate) float64 {
	return float64(u.InFlight) / (capacity(u) * share(u))
}

// minShare keeps the load of an upstream at the start of its slow start finite, so that it
// can still be compared with that of others.
const minShare = 0.01

func share(u *Candidate) float64 {
	return min(max(u.Share, minShare), 1)
}
