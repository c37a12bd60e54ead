package quota_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quota"
)

// partition is a set of pairs of nodes that can't reach each other until some time, while
// both reach other nodes.
type partition map[[2]string]clock.Millis

func (p partition) blocks(now clock.Millis, a, b string) bool {
	return p[[2]string{min(a, b), max(a, b)}] > now
}

// admitThrough admits a request while some pairs of nodes can't reach each other.
func (sim *simulator) admitThrough(now clock.Millis, p partition, at string, l quota.Limit) bool {
	return sim.admitBetween(now, at, l, func(a, b string) bool { return a == b || !p.blocks(now, a, b) })
}

// An account sends six times its quota at all nodes while a fifth of the pairs of nodes can't
// reach each other for eight seconds at a time. Guards against a second home that grants its
// part of the limit in addition to the whole limit that the first one still grants.
func TestFleetKeepsQuotasWhileLinksAreCut(t *testing.T) {
	const slack, overage, cutShare = 20, 1.25, 0.2
	for seed := range uint64(24) {
		sim := newSimulator(seed, []int{24, 88}[seed%2])
		random := rand.New(rand.NewPCG(seed, 7))
		l := quota.Limit{Rate: float64(20 + sim.random.IntN(100))}
		l.Burst = l.Rate
		cut := partition{}
		var admissions []clock.Millis
		for now := clock.Millis(0); now < 40*clock.Second; now++ {
			if now%(10*clock.Second) == clock.Second {
				for i, a := range sim.nodes {
					for _, b := range sim.nodes[:i] {
						if random.Float64() < cutShare {
							cut[[2]string{min(a, b), max(a, b)}] = now + 8*clock.Second
						}
					}
				}
			}
			for next := random.ExpFloat64() * 1000 / (6 * l.Rate); next < 1; next += random.ExpFloat64() * 1000 / (6 * l.Rate) {
				if sim.admitThrough(now, cut, sim.nodes[random.IntN(len(sim.nodes))], l) {
					admissions = append(admissions, now)
				}
			}
		}
		bound := int(overage*(5*l.Rate+l.Burst)) + slack
		if most := maxWithinSpan(admissions); most > bound {
			t.Errorf("seed %d, %d nodes, %.0f a second: got %d requests within 5 s, want %d at most", seed, len(sim.nodes), l.Rate, most, bound)
		}
	}
}

// An account sends six times its quota at all nodes while a third of them, its home among them, can
// reach each other but none of the others, whose tables don't name them any more after a while. Guards
// against two sides that grant the limit once each, or one and a half of it together.
func TestFleetKeepsQuotasWhileItIsSplit(t *testing.T) {
	testSplitFleet(t, 0)
}

// Guards against several homes on one side of such a split that grant in place of one another, as
// some pairs of nodes on the same side can't reach each other either.
func TestFleetKeepsQuotasWhileItIsSplitAndLinksAreCut(t *testing.T) {
	testSplitFleet(t, 0.3)
}

// testSplitFleet splits fleets. On each side a share of the pairs of nodes can't reach each other.
func testSplitFleet(t *testing.T, cutPairs float64) {
	t.Helper()
	const slack, overage, cutShare, cutFor, expiry = 20, 1.25, 0.3, 6 * clock.Second, 3500 * clock.Millis(1)
	for seed := range uint64(48) {
		sim := newSimulator(seed, []int{12, 24, 88}[seed%3])
		random := rand.New(rand.NewPCG(seed, 8))
		l := quota.Limit{Rate: float64(20 + sim.random.IntN(100))}
		l.Burst = l.Rate
		var island map[string]bool
		cut := partition{}
		splitAt := -cutFor
		var now clock.Millis
		reaches := func(a, b string) bool { return a == b || (island[a] == island[b] && !cut.blocks(now, a, b)) }
		var admissions []clock.Millis
		for ; now < 30*clock.Second; now++ {
			switch {
			case now%(12*clock.Second) == 2*clock.Second:
				splitAt, island = now, map[string]bool{sim.homes[0]: true}
				for i, a := range sim.nodes {
					island[a] = island[a] || random.Float64() < cutShare
					for _, b := range sim.nodes[:i] {
						if random.Float64() < cutPairs {
							cut[[2]string{min(a, b), max(a, b)}] = now + cutFor
						}
					}
				}
			case now == splitAt+expiry:
				sim.remove(island)
			case now == splitAt+cutFor:
				island = nil
				sim.remove(nil)
			}
			for next := random.ExpFloat64() * 1000 / (6 * l.Rate); next < 1; next += random.ExpFloat64() * 1000 / (6 * l.Rate) {
				if sim.admitBetween(now, sim.nodes[random.IntN(len(sim.nodes))], l, reaches) {
					admissions = append(admissions, now)
				}
			}
		}
		bound := int(overage*(5*l.Rate+l.Burst)) + slack
		if most := maxWithinSpan(admissions); most > bound {
			t.Errorf("seed %d, %d nodes, %.0f a second: got %d requests within 5 s, want %d at most", seed, len(sim.nodes), l.Rate, most, bound)
		}
	}
}
