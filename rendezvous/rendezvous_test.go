package rendezvous_test

import (
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/rendezvous"
)

// Addresses that differ only in their last digit have similar FNV hashes. Without mixing, the
// same node would come first for the keys of many and carry their load.
func TestKeysSpreadOverSimilarNodes(t *testing.T) {
	const nodes, keys = 30, 9000
	counts := make([]int, nodes)
	for k := range keys {
		first, highest := 0, uint64(0)
		for n := range nodes {
			score := rendezvous.Score(fmt.Sprintf("account-%d", k), fmt.Sprintf("10.0.0.%d:7000", n))
			if score > highest {
				first, highest = n, score
			}
		}
		counts[first]++
	}
	for n, got := range counts {
		if want := keys / nodes; got < want*7/10 || got > want*13/10 {
			t.Errorf("node %d: got %d keys of %d, want about %d", n, got, keys, want)
		}
	}
}

// Nodes of different builds must compute the same ranking, so the scores must not change.
func TestScoresAreStable(t *testing.T) {
	if got, want := rendezvous.Score("hotel", "10.0.0.1:7000"), uint64(0xb39ce1559837b87f); got != want {
		t.Errorf("got %#x, want %#x", got, want)
	}
}
