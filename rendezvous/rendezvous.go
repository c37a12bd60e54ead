// Package rendezvous ranks nodes by highest random weight: all that know the same nodes rank
// them alike without a word, and where a node joins or leaves, the others keep their order.
package rendezvous

import "hash/fnv"

// Score is a node's weight for a key. It is the same in every process.
func Score(key, node string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // a hash's Write never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(node))
	return Mix(hash.Sum64())
}

// Mix spreads a number over all its bits, as SplitMix64 does: FNV leaves those of addresses
// that differ in their last digit close together.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
