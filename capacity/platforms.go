package capacity

import (
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/reading"
)

// platforms measures how many nodes call the platform.
func platforms() []Measure {
	return []Measure{
		{
			Role: "platform", Name: "nodes that watch a key, each with a view of all", Unit: unitCount, Against: "nodes",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) { return watchers(n, n), nil },
		},
		{
			Role: "platform", Name: "nodes that watch a key, each with a view of 32", Unit: unitCount, Against: "nodes",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) { return watchers(n, viewed), nil },
		},
		{
			Role: "platform", Name: "calls for a key that each node polls, a second", Unit: unitCount, Against: "nodes",
			Sizes: nodeCounts(), Curve: true,
			Cost: func(n int) (float64, error) {
				plan := reading.Share(reading.ShareConfig{}, reading.View{Self: address(0), Fleet: n}, "table")
				return float64(n) / plan.Poll.Seconds(), nil
			},
		},
	}
}

// viewed is how many links a node has open where links are subset by service.
const viewed = 32

func address(i int) string { return ip(i) + ":7000" }

// watchers counts the nodes that watch a key when each sees so many others.
func watchers(nodes, view int) float64 {
	random := rand.New(rand.NewPCG(1, 0))
	all := make([]string, 0, nodes)
	for i := range nodes {
		all = append(all, address(i))
	}
	count := 0.0
	for i := range nodes {
		peers := all
		if view < nodes {
			peers = make([]string, 0, view)
			for range view {
				peers = append(peers, all[random.IntN(nodes)])
			}
		}
		if reading.Share(reading.ShareConfig{}, reading.View{Self: all[i], Peers: peers, Fleet: nodes}, "table").Direct {
			count++
		}
	}
	return count
}
