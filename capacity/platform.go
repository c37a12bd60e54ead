package capacity

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
)

// platformMeasures returns the measures of how often a fleet calls the platform.
func platformMeasures() []Measure {
	return []Measure{
		{
			Role: "platform", Name: "calls a second, each node hears the others", Unit: unitCount, Against: "nodes",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) { return pollRate(n, true), nil },
		},
		{
			Role: "platform", Name: "calls a second, no node hears another", Unit: unitCount, Against: "nodes",
			Sizes: nodeCounts(), Curve: true,
			Cost: func(n int) (float64, error) { return pollRate(n, false), nil },
		},
	}
}

const (
	// simulatedTime is the duration of a simulation.
	simulatedTime = 20 * clock.Second
	// updateDelay is the time from the start of a call until the other nodes receive the
	// update that follows from it.
	updateDelay = 20 * clock.Millis(1)
	// maxStaleness is the limit that today's operators require.
	maxStaleness = 2 * clock.Second
)

// pollRate simulates a fleet in virtual time and returns its calls to the platform per
// second. If receivesUpdates is true, each node receives the updates of the others.
func pollRate(nodes int, receivesUpdates bool) float64 {
	schedules := make([]*mirror.PollSchedule, nodes)
	for i := range schedules {
		schedules[i] = mirror.NewPollSchedule(mirror.PollConfig{MaxStaleness: maxStaleness, Seed: uint64(i)})
		schedules[i].SetFleetSize(nodes, false)
	}
	callStarts := make(map[clock.Millis]bool)
	calls := 0
	for now := clock.Millis(1); now <= simulatedTime; now++ {
		hasUpdate := receivesUpdates && callStarts[now-updateDelay]
		for _, p := range schedules {
			if hasUpdate {
				p.Refreshed(now - updateDelay)
			}
			if now >= p.Due() {
				calls++
				callStarts[now] = true
				p.Answered(now)
			}
		}
	}
	return float64(calls) / simulatedTime.Seconds()
}

// linkAddress returns the link address of a simulated node.
func linkAddress(i int) string { return ip(i) + ":7000" }
