package quota

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/rendezvous"
)

// MaxHomes is the maximum number of nodes that can be the home of an account. Each is used
// only if all earlier ones in the list are unreachable. It is unlikely that this many nodes
// are unreachable at the same time.
const MaxHomes = 6

// Homes returns the nodes that may grant an account's requests, its home first. Nodes with
// the same list of nodes return the same homes. When a node joins or leaves, the homes of
// few accounts change.
func Homes(account string, nodes []string) []string {
	type scoredNode struct {
		node  string
		score uint64
	}
	candidates := make([]scoredNode, 0, len(nodes))
	for _, node := range nodes {
		candidates = append(candidates, scoredNode{node, rendezvous.Score(account, node)})
	}
	slices.SortFunc(candidates, func(a, b scoredNode) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	homes := make([]string, 0, MaxHomes)
	for _, candidate := range candidates[:min(len(candidates), MaxHomes)] {
		homes = append(homes, candidate.node)
	}
	return homes
}
