package entry

import (
	"maps"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// profileTTL is the age up to which an upstream's profile counts in full.
	profileTTL = 10 * clock.Second
	// profileFade is the time after profileTTL in which a profile loses its weight. A sudden
	// change would move the load of all entries at once.
	profileFade = 10 * clock.Second
)

// upstreamCapacity is what the gate of an upstream has learned about it.
type upstreamCapacity struct {
	speed       float64
	concurrency int
	receivedAt  clock.Millis
}

// requests returns how many requests at the upstream count as full load, at least minCapacity
// of its slots: the concurrent requests with which it doesn't slow down, times its speed.
func (c upstreamCapacity) requests(now clock.Millis, slots int) float64 {
	weight := float64(profileTTL+profileFade-(now-c.receivedAt)) / float64(profileFade)
	weight = min(max(weight, 0), 1)
	concurrency := float64(slots)
	if c.concurrency > 0 && c.concurrency < slots {
		concurrency += weight * float64(c.concurrency-slots)
	}
	return max(concurrency*(1+weight*(c.speed-1)), minCapacity*float64(slots))
}

// minCapacity is the least share of its slots that an upstream counts with. One that counted
// with less would get no request from which its gate could learn that it has recovered.
const minCapacity = 0.2

// maxProfileSpeed bounds the speed in a profile. The gates of this release send less.
const maxProfileSpeed = 16

// UpdateProfile records what a gate has learned about its upstream.
func (e *Entry) UpdateProfile(p *wire.UpstreamProfile) {
	if s, ok := e.serviceOf(p.Upstream); ok {
		s.updateProfile(e.config.Now(), p)
	}
}

// updateProfile records the profile of an upstream. It ignores one with a speed that can't be
// used, such as a NaN.
func (s *service) updateProfile(now clock.Millis, p *wire.UpstreamProfile) {
	if !(p.Speed > 0 && p.Speed <= maxProfileSpeed) {
		return
	}
	s.shares.update(now, p.Upstream, p.Shares)
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byName[p.Upstream]
	if !ok {
		return
	}
	if s.shed == nil {
		s.shed = map[*member]shedShare{}
	}
	s.shed[m] = shedShare{share: p.Shed, receivedAt: now}
	if s.capacities == nil {
		s.capacities = map[*member]upstreamCapacity{}
	}
	s.capacities[m] = upstreamCapacity{speed: p.Speed, concurrency: max(p.Concurrency, 0), receivedAt: now}
}

// capacityOf returns the capacity with which a member takes part in the choice, 0 for its
// slots. The caller holds s.mu.
func (s *service) capacityOf(now clock.Millis, m *member) float64 {
	if s.config.Placement != table.PlaceByCost {
		return 0
	}
	c, ok := s.capacities[m]
	if !ok {
		return float64(m.upstream.Slots)
	}
	return c.requests(now, m.upstream.Slots)
}

// pruneCapacities drops the profiles of members that the table no longer names, or whose
// process is another. The caller holds s.mu.
func (s *service) pruneCapacities() {
	maps.DeleteFunc(s.capacities, func(m *member, _ upstreamCapacity) bool { return s.byName[m.upstream.Name] != m })
}
