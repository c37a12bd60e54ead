package capacity

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
)

// platforms measures how often a fleet calls the platform.
func platforms() []Measure {
	return []Measure{
		{
			Role: "platform", Name: "calls a second, each node hears the others", Unit: unitCount, Against: "nodes",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) { return calls(n, true), nil },
		},
		{
			Role: "platform", Name: "calls a second, no node hears another", Unit: unitCount, Against: "nodes",
			Sizes: nodeCounts(), Curve: true,
			Cost: func(n int) (float64, error) { return calls(n, false), nil },
		},
	}
}

const (
	// callsSpan is how long a fleet is played.
	callsSpan = 20 * clock.Second
	// callsHop is from the start of a call until the other nodes have its news.
	callsHop = 20 * clock.Millis(1)
	// callsFresh is what today's operators ask for.
	callsFresh = 2 * clock.Second
)

// calls plays a fleet in virtual time and counts its calls to the platform.
func calls(nodes int, isHeard bool) float64 {
	all := make([]*mirror.PollSchedule, nodes)
	for i := range all {
		all[i] = mirror.NewPollSchedule(mirror.PollConfig{MaxStaleness: callsFresh, Seed: uint64(i)})
		all[i].SetFleetSize(nodes, false)
	}
	began := make(map[clock.Millis]bool) // calls under way, by their start
	count := 0
	for now := clock.Millis(1); now <= callsSpan; now++ {
		isTold := isHeard && began[now-callsHop]
		for _, p := range all {
			if isTold {
				p.Refreshed(now - callsHop)
			}
			if now >= p.Due() {
				count++
				began[now] = true
				p.Answered(now)
			}
		}
	}
	return float64(count) / callsSpan.Seconds()
}

// linkAddress is the link address of a node in measures.
func linkAddress(i int) string { return ip(i) + ":7000" }
