package entry

import (
	"math"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/floor"
	"fuchsiapick.example/fuchsiapick/table"
)

// recentLoad is the maximum age of an upstream's load that counts for its domain: two
// heartbeats.
const recentLoad = clock.Second

// domainSum is the load and the capacity of a domain's upstreams, in requests.
type domainSum struct {
	load, capacity float64
}

// observeDomains records the loads of the failure domains for the forecast, if the service is
// placed by cost. Upstreams that aren't in use don't count: those that fail fast look idle. The
// caller holds s.mu, and has updated s.uses.
func (s *service) observeDomains(now clock.Millis) {
	if s.config.Placement != table.PlaceByCost {
		s.overflow = nil
		return
	}
	if s.overflow == nil {
		s.overflow = choice.NewOverflow(s.domain)
	}
	sums := map[string]domainSum{}
	for i, m := range s.members {
		if (s.uses[i] != floor.Normal && s.uses[i] != floor.Forced) || now-m.updatedAt > recentLoad {
			continue
		}
		sum := sums[m.upstream.Domain]
		sum.load += float64(max(m.inFlight, m.state.InFlight+m.state.Waiting))
		sum.capacity += s.capacityOf(now, m)
		sums[m.upstream.Domain] = sum
	}
	for domain, sum := range sums {
		if sum.capacity > 0 {
			s.overflow.Observe(now, domain, sum.load/sum.capacity)
		}
	}
}

// loadOf returns the requests at a member as the choice counts them: what the entry knows and,
// in another failure domain, what the forecast adds. The caller holds s.mu.
func (s *service) loadOf(now clock.Millis, m *member) int {
	load := max(m.inFlight, choice.DecayLoad(m.state.InFlight+m.state.Waiting, now-m.updatedAt))
	if s.overflow == nil || m.upstream.Domain == s.domain {
		return load
	}
	change := s.overflow.Change(now, m.upstream.Domain) * s.capacityOf(now, m)
	return max(load+int(math.Round(change)), m.inFlight, 0)
}
