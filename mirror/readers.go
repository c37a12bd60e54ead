package mirror

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/rendezvous"
)

const (
	// maxReaders is how many nodes of a group read ahead of the others: one is
	// enough, and the next is there when it dies, or can't reach the store.
	maxReaders = 3
	// groupSize bounds the nodes that keep links to one reader: with all of 300 in one
	// group a reader had 1,250 connections and 70 MB.
	groupSize = 128
)

// Readers returns the nodes that read the store ahead of the others of a node's group,
// who keep links to them. Each node works them out for itself, by a rendezvous hash of
// the nodes it knows; where views differ there are some more. Nothing depends on them:
// when they are gone, or their news are lost, others read as late as without them.
func Readers(self string, nodes []string) []string {
	groups := groupCount(nodes)
	return groupReaders(score(self)%groups, groups, nodes)
}

// AllReaders returns the readers of all groups: what these are told reaches every node.
func AllReaders(nodes []string) []string {
	groups := groupCount(nodes)
	all := make([]string, 0, maxReaders*groups)
	for group := range groups {
		all = append(all, groupReaders(group, groups, nodes)...)
	}
	return all
}

func groupCount(nodes []string) uint64 {
	groups := uint64(1)
	for int(groups)*groupSize < len(nodes) {
		groups *= 2
	}
	return groups
}

func groupReaders(number, groups uint64, nodes []string) []string {
	group := slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return score(node)%groups != number })
	slices.SortFunc(group, func(a, b string) int { return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b)) })
	return group[:min(maxReaders, len(group))]
}

// score is a node's place in the order.
func score(node string) uint64 {
	return rendezvous.Score("", node)
}
