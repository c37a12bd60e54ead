package rendezvous_test

import (
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/rendezvous"
)

// Addresses that differ in their last digit must not come first for the same keys: one node
// would carry the work of many.
func TestKeysSpreadOverLikeNodes(t *testing.T) {
	const nodes, keys = 30, 9000
	counts := make([]int, nodes)
	for k := range keys {
		best, most := 0, uint64(0)
		for n := range nodes {
			score := rendezvous.Score(fmt.Sprintf("account-%d", k), fmt.Sprintf("10.0.0.%d:7000", n))
			if score > most {
				best, most = n, score
			}
		}
		counts[best]++
	}
	for n, got := range counts {
		if want := keys / nodes; got < want*7/10 || got > want*13/10 {
			t.Errorf("node %d: got %d keys of %d, want about %d", n, got, keys, want)
		}
	}
}

// Nodes of two builds must agree on who comes first.
func TestScoresStayTheSame(t *testing.T) {
	if got, want := rendezvous.Score("hotel", "10.0.0.1:7000"), uint64(0xb39ce1559837b87f); got != want {
		t.Errorf("got %#x, want %#x", got, want)
	}
}
