package quota_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quota"
)

// Guards against a home that grants its own node the whole limit while it is isolated and the next
// home grants a part of it to the others, then all of it once their tables don't name the home: the
// account sends six times its quota, a third of it at its home, and a third of the nodes is isolated,
// too.
func TestFleetKeepsQuotasWhileTheHomeIsIsolated(t *testing.T) {
	const slack, overage, cut, expiry = 20, 1.25, 6 * clock.Second, 3 * clock.Second
	for seed := range uint64(24) {
		sim := newSimulator(seed, []int{6, 24, 106}[seed%3])
		l := quota.Limit{Rate: float64(20 + sim.random.IntN(100))}
		l.Burst = l.Rate
		home := quota.Homes("hotel", sim.nodes)[0]
		var admissions []clock.Millis
		for now := clock.Millis(0); now < 40*clock.Second; now++ {
			if now%(10*clock.Second) == 2*clock.Second {
				sim.isolate(now, 1./3)
				sim.isolatedUntil[home] = now + cut
			}
			if now == sim.isolatedUntil[home]-expiry {
				sim.remove(map[string]bool{home: true})
			}
			if now == sim.isolatedUntil[home] {
				sim.remove(nil)
			}
			if now%(20*clock.Second) == 11*clock.Second {
				sim.kill(now, 0.3)
			}
			demand := 6 * l.Rate
			for next := sim.random.ExpFloat64() * 1000 / demand; next < 1; next += sim.random.ExpFloat64() * 1000 / demand {
				at := home
				if sim.random.IntN(3) > 0 {
					at = sim.nodes[sim.random.IntN(len(sim.nodes))]
				}
				if sim.downUntil[at] <= now && sim.admit(now, at, l) {
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
