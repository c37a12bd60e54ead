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

// admitThrough admits a request as a node does whose links to some homes are cut: it asks the
// first home that it can reach. A home that isn't the account's first asks that one, directly
// or through a later home, before it grants a part of the limit.
func (sim *simulator) admitThrough(now clock.Millis, p partition, at string, l quota.Limit) bool {
	homes := quota.Homes("hotel", sim.nodes)
	reaches := func(a, b string) bool { return a == b || !p.blocks(now, a, b) }
	for i, home := range homes {
		if home == at && i > 0 || !reaches(at, home) {
			continue
		}
		granting, limit := home, l.Fallback()
		if reaches(home, homes[0]) {
			granting, limit = homes[0], l
		} else {
			for _, via := range homes[i+1:] {
				if !reaches(home, via) {
					continue
				}
				if reaches(via, homes[0]) {
					granting, limit = homes[0], l
					break
				}
			}
		}
		hint, hintHome := sim.history[at].Hint(now)
		g := sim.allocators[granting].Grant(now, quota.Request{Account: "hotel", Limit: limit, Count: 1, Hint: hint, HintHome: hintHome})
		sim.history[at].RecordGrant(now, l, g)
		return g.Granted == 1
	}
	return sim.history[at].AdmitWithoutHome(now, l, sim.random.Float64())
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
		if most := maxWithin(admissions, 5*clock.Second); most > bound {
			t.Errorf("seed %d, %d nodes, %.0f a second: got %d requests within 5 s, want %d at most", seed, len(sim.nodes), l.Rate, most, bound)
		}
	}
}
