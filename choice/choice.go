// Package choice picks the upstream for a request: weighted least load of two
// choices, the entry's own failure domain first while it has room.
package choice

import (
	"math"
	"math/rand/v2"
)

// Candidate is one upstream as an entry sees it at the moment of the choice.
type Candidate struct {
	// Domain is the failure domain the upstream is in.
	Domain string
	// Weight is its share of work from the table; 0 means no new work.
	Weight int
	// Slots is how many requests it serves at once.
	Slots int
	// InFlight is the larger of the entry's own requests at the upstream and
	// the load last heard from its gate.
	InFlight int
	// Share is the part of its work, from 0 to 1, that slow start grants it.
	Share float64
	// Usable says that floor and path leave it in use.
	Usable bool
}

// Config is what a Chooser is made from.
type Config struct {
	// Domain is the entry's own failure domain.
	Domain string
	// Seed makes the choices repeatable.
	Seed uint64
}

// Chooser picks upstreams. It is not safe for concurrent use.
type Chooser struct {
	domain string
	random *rand.Rand
	// tiers and weights are scratch space, indexed by candidate.
	tiers   []tier
	weights []float64
}

// tier ranks candidates: a choice is made among the lowest tier that has any.
type tier uint8

const (
	// near candidates are in the entry's own failure domain and have room.
	near tier = iota
	// far candidates are in another failure domain and have room.
	far
	// full candidates have no free slot, or are held back by slow start.
	full
	// excluded candidates may not be picked.
	excluded
)

// New makes a Chooser.
func New(c Config) *Chooser {
	return &Chooser{
		domain: c.Domain,
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}
}

// Choose returns the index of the candidate to send to, and false if there is
// none that is usable, has weight and slots, and wasn't tried before. A nil
// tried means that none was. It allocates only while the number of candidates
// grows beyond any seen before.
func (c *Chooser) Choose(candidates []Candidate, tried func(i int) bool) (int, bool) {
	best := c.rank(candidates, tried)
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

// rank fills tiers and weights and returns the lowest tier found.
func (c *Chooser) rank(candidates []Candidate, tried func(i int) bool) tier {
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

// passesSlowStart holds back an upstream in slow start from all but its share of the
// choices. Load alone would not do: an upstream that is alone in its failure
// domain would get all of that domain's work.
func (c *Chooser) passesSlowStart(u *Candidate) bool {
	return u.Share >= 1 || c.random.Float64() < u.Share
}

// pickWeighted returns a candidate of the tier, with a chance in proportion to its
// weight, or -1 if there is none. Total is the sum of the tier's weights.
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

// maxInFlight is how many requests the upstream may hold before it counts as full.
func maxInFlight(u *Candidate) int {
	return int(math.Ceil(float64(u.Slots) * share(u)))
}

func capacity(u *Candidate) float64 {
	return float64(u.Weight) * float64(u.Slots)
}

// load is the upstream's requests relative to what it may take now.
func load(u *Candidate) float64 {
	return float64(u.InFlight) / (capacity(u) * share(u))
}

// minShare keeps the load of an upstream at the very start of its slow start
// finite, so that it can still be told from a more loaded one.
const minShare = 0.01

func share(u *Candidate) float64 {
	return min(max(u.Share, minShare), 1)
}
