package entry

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync"

	"fuchsiapick.example/fuchsiapick/table"
)

// Splitter deals the requests of routes with several services out in proportion
// to the weights. It steps through the unit interval by the golden ratio: after
// any number of requests each share is off by a request or two, where a draw at
// random would be off by the square root of their number.
type Splitter struct {
	mu     sync.Mutex
	random *rand.Rand
	points map[string]float64 // by route; they outlive table edits
}

// goldenStep is the fractional part of the golden ratio.
const goldenStep = 0.6180339887498949

// maxSplitRoutes bounds the routes that are remembered; what is beyond begins anew.
const maxSplitRoutes = 10_000

// NewSplitter returns a spread that begins at points of its own.
func NewSplitter(seed uint64) *Splitter {
	return &Splitter{random: rand.New(rand.NewPCG(seed, 1)), points: map[string]float64{}}
}

// PickService returns the service that the route's next request goes to. It stays
// with its share also where that is short of room: the operators' proportions
// would otherwise shift with the load.
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

// nextPoint returns the route's next point, from 0 up to 1.
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
