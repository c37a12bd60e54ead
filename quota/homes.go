package quota

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/rendezvous"
)

// MaxHomes is how many nodes are asked for an account one after the other, where those
// before can't be reached: few of these are lost together.
const MaxHomes = 6

// Homes returns the nodes that may grant an account's requests, its home first. All nodes
// that know the same nodes name the same ones, and where one joins or leaves, the homes of
// few accounts change.
func Homes(account string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}
	all := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, scored{node, rendezvous.Score(account, node)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	homes := make([]string, 0, MaxHomes)
	for _, one := range all[:min(len(all), MaxHomes)] {
		homes = append(homes, one.node)
	}
	return homes
}
