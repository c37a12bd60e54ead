package quarantine_test

import (
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
)

// runScenario simulates 30 s with all faults.
func (sim *simulator) runScenario() {
	anyNode := func() int { return sim.random.IntN(len(sim.nodes)) }
	unique := 0
	sim.every(50, sim.maxSendInterval, func() { sim.send(anyNode(), sim.fatal, 3) })
	sim.every(5, 40, func() { sim.send(anyNode(), sim.popular, 3) })
	sim.every(5, 30, func() {
		unique++
		sim.send(anyNode(), quarantine.Request{Caller: "a", Method: "GET", URI: fmt.Sprintf("/%d", unique)}, 3)
	})
	sim.every(200, 1500, func() { sim.crashServer(sim.servers[sim.random.IntN(len(sim.servers))]) })
	sim.every(3000, 9000, func() { // a rack: several servers crash at the same instant
		for range max(len(sim.servers)/3, 1) {
			sim.crashServer(sim.servers[sim.random.IntN(len(sim.servers))])
		}
	})
	sim.every(300, 1500, func() { // starts or ends a period in which a server answers with failures
		s := sim.servers[sim.random.IntN(len(sim.servers))]
		s.isFailing = !s.isFailing
	})
	sim.every(2000, 2000, sim.exchangeWithPeers)
	sim.every(2000, 8000, func() { // a node restarts with an empty registry
		node := anyNode()
		sim.nodes[node], sim.announced[node], sim.restartedAt[node] = quarantine.NewRegistry(), 0, sim.now
		sim.rejoin(node)
	})
	sim.every(2000, 8000, func() { // a node is isolated
		node, duration := anyNode(), clock.Millis(sim.random.Int64N(6000))
		sim.isolatedUntil[node] = max(sim.isolatedUntil[node], sim.now+duration)
		sim.after(duration, func() { sim.rejoin(node) })
	})
	sim.runUntil(30 * clock.Second)
}

// violations returns a description of each property that a scenario broke.
func (sim *simulator) violations() (found []string) {
	if sim.lateSends > 3 {
		found = append(found, fmt.Sprintf("%d sends of the fatal request later than %v after the third of its %d crashes", sim.lateSends, settlingTime, sim.fatalCrashes))
	}
	if sim.refusedHarmless != "" {
		found = append(found, sim.refusedHarmless+" was refused")
	}
	return found
}

// Guards against sends of a fatal request after its third crash, and against refusals of
// harmless ones, while messages are lost, nodes restart or are isolated, and servers crash
// by themselves.
func TestOnlyFatalRequestIsQuarantined(t *testing.T) {
	for _, size := range []struct{ nodes, servers int }{{3, 4}, {6, 6}, {24, 9}, {113, 40}} {
		for seed := range uint64(12) {
			sim := newSimulator(seed, size.nodes, size.servers, disableNothing)
			sim.runScenario()
			for _, violation := range sim.violations() {
				t.Errorf("%d nodes, seed %d: %s", size.nodes, seed, violation)
			}
		}
	}
}

// Guards against a simulation that would pass without the mechanisms that it is to verify.
func TestSimulationDetectsDisabledMechanisms(t *testing.T) {
	for _, disabled := range []string{disableUpdates, disableExchange, disableClearing, disableVerdicts, disableFailureCheck} {
		t.Run(disabled, func(t *testing.T) {
			for seed := range uint64(12) {
				sim := newSimulator(seed, 24, 9, disabled)
				if disabled == disableExchange {
					sim.lossRate = 0.8
				}
				sim.runScenario()
				if len(sim.violations()) > 0 {
					return
				}
			}
			t.Errorf("got no violation in 12 scenarios without %s, want one", disabled)
		})
	}
}
