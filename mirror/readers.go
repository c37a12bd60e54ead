package mirror

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/rendezvous"
)

const (
	// maxReaders is the number of nodes of a group that read the store ahead of the
	// others. One is enough; the others take over if it ends or can't reach the store.
	maxReaders = 3
	// groupSize limits the number of nodes that keep links to one reader: with 300 nodes
	// in one group, a reader had 1,250 connections and used 70 MB.
	groupSize = 128
)

// Readers returns the nodes of the group of self that read the store ahead of the others.
// All nodes of the group keep links to them. Each node computes the readers by a
// rendezvous hash of the nodes that it knows; where the views of nodes differ, there are
// a few more readers. Readers are an optimization: when they fail or their updates are
// lost, the other nodes read the store as late as they would without readers.
func Readers(self string, nodes []string) []string {
	groups := groupCount(nodes)
	return groupReaders(score(self)%groups, groups, nodes)
}

// AllReaders returns the readers of all groups. An update sent to them reaches every
// node.
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

func groupReaders(index, groups uint64, nodes []string) []string {
	group := slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return score(node)%groups != index })
	slices.SortFunc(group, func(a, b string) int { return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b)) })
	return group[:min(maxReaders, len(group))]
}

// score returns the hash by which nodes are grouped and ordered.
func score(node string) uint64 {
	return rendezvous.Score("", node)
}
