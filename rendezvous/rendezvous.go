// Package rendezvous ranks nodes by rendezvous hashing (highest random weight): processes that
// know the same nodes compute the same ranking without communication, and when a node joins or
// leaves, the others keep their order.
package rendezvous

import "hash/fnv"

// Score returns a node's weight for a key; the node with the highest weight comes first. The
// result is the same in every process.
func Score(key, node string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // Write of a hash.Hash never returns an error
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(node))
	return Mix(hash.Sum64())
}

// Fraction returns a number from 0 to below 1 that is the same in every process. The numbers of many
// nodes are spread evenly.
func Fraction(key, node string) float64 {
	const bits = 53 // of a float64's mantissa
	return float64(Score(key, node)>>(64-bits)) / (1 << bits)
}

// Mix distributes a number over all its bits with the SplitMix64 function, because the FNV hashes
// of addresses that differ only in their last digit are close together.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
