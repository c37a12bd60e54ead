package mirror

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// mostReaders is how many nodes read ahead of the others: one is enough, and the next
// is there when it dies, or can't reach the store.
const mostReaders = 3

// Readers returns the nodes that read the store ahead of the others, who keep links to
// them. Each node works them out for itself, by a rendezvous hash of the nodes it
// knows; where views differ there are some more. Nothing depends on them: when they
// are gone, or their news are lost, others read as late as without them.
func Readers(nodes []string) []string {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b)) })
	return sorted[:min(mostReaders, len(sorted))]
}

// score is a node's place in the order.
func score(node string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node)) // a hash's Write never fails
	return mix(hash.Sum64())
}

// mix spreads a hash over all its bits (the finalizer of SplitMix64); FNV leaves those
// of addresses that differ in their last digit close together.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
