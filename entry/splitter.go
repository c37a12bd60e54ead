package entry

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync"

	"fuchsiapick.example/fuchsiapick/table"
)

// Splitter divides the requests of routes with several services in proportion to the
// services' weights. It steps through the unit interval by the golden ratio: after any
// number of requests each share is off by a request or two, whereas a random choice would
// be off by the square root of their number.
type Splitter struct {
	mu     sync.Mutex
	random *rand.Rand
	points map[string]float64 // by route; kept across table updates
}

// goldenStep is the fractional part of the golden ratio.
const goldenStep = 0.6180339887498949

// maxSplitRoutes bounds the routes that have a point. When it is exceeded, all points are
// discarded and start afresh.
const maxSplitRoutes = 10_000

// NewSplitter returns a splitter whose routes start at points drawn from seed.
func NewSplitter(seed uint64) *Splitter {
	return &Splitter{random: rand.New(rand.NewPCG(seed, 1)), points: map[string]float64{}}
}

// PickService returns the service for the route's next request. It follows the weights
// even if a service is short of slots, because otherwise load would shift the proportions
// that operators set.
func (s *Splitter) PickService(r *table.Route) string {
	if len(r.Shares) == 0 {
		return r.Service
	}
	total := 0
	for _, share := range r.Shares {
		total += max(share.Weight, 0)
	}
	rest := s.nextPoint(r) * float64(total)
	for _, share := range r.Shares {
		rest -= float64(max(share.Weight, 0))
		if rest < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// nextPoint returns the route's next point, in [0, 1).
func (s *Splitter) nextPoint(r *table.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strings.ToLower(r.Host) + r.Prefix
	point, ok := s.points[key]
	if !ok {
		if len(s.points) >= maxSplitRoutes {
			clear(s.points)
		}
		point = s.random.Float64()
	}
	_, point = math.Modf(point + goldenStep)
	s.points[key] = point
	return point
}
