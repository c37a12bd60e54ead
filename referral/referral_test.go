package referral_test

import (
	"fmt"
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/referral"
)

// fleet is a fleet in which all nodes start at once and ask one after the other.
type fleet struct {
	books   map[string]*referral.Book
	domains map[string]string
	isDown  map[string]bool
	// parents holds the node that serves each node, asked the questions of all nodes.
	parents map[string]string
	asked   int
	order   []string
}

func newFleet(nodes, domains int) *fleet {
	f := &fleet{books: map[string]*referral.Book{}, domains: map[string]string{}, isDown: map[string]bool{}, parents: map[string]string{}}
	for i := range nodes {
		node, domain := fmt.Sprint("node-", i), fmt.Sprint("domain-", i%domains)
		f.books[node], f.domains[node] = referral.NewBook(domain), domain
		f.order = append(f.order, node)
	}
	return f
}

// join searches for the node that serves a node. It returns false if there is none.
func (f *fleet) join(node string, seeds []string, number uint64) bool {
	search := referral.NewSearch(seeds, number)
	for {
		candidate, ok := search.Next()
		if !ok {
			return false
		}
		f.asked++
		if f.isDown[candidate] {
			search.Failed(candidate)
			continue
		}
		refer := f.books[candidate].Place(clock.Millis(1), node, f.domains[node], search.Unreachable())
		if refer == nil {
			f.parents[node] = candidate
			return true
		}
		search.Referred(refer)
	}
}

// depth returns the number of nodes between a node and its seed.
func (f *fleet) depth(node string) int {
	parent, ok := f.parents[node]
	if !ok {
		return 0
	}
	return 1 + f.depth(parent)
}

// Guards against a start of the whole fleet in which every node reads the store: 983 lists took
// the store's link three seconds.
func TestFleetThatStartsAtOnceFormsShallowTrees(t *testing.T) {
	for _, tt := range []struct{ nodes, domains, maxDepth, maxQuestions int }{{100, 5, 5, 5}, {983, 5, 8, 8}, {2000, 5, 9, 9}} {
		f := newFleet(tt.nodes, tt.domains)
		seeds := f.order[:3]
		for i, node := range f.order[3:] {
			if !f.join(node, seeds, uint64(i)) {
				t.Fatalf("%d nodes: got no node that serves %s", tt.nodes, node)
			}
		}
		served, deepest := map[string]int{}, 0
		for node, parent := range f.parents {
			served[parent]++
			deepest = max(deepest, f.depth(node))
		}
		for node, count := range served {
			if want := 4 + tt.domains - 1; count > want {
				t.Errorf("%d nodes: got %d nodes served by %s, want at most %d", tt.nodes, count, node, want)
			}
		}
		if deepest > tt.maxDepth {
			t.Errorf("%d nodes: got %d levels, want at most %d", tt.nodes, deepest, tt.maxDepth)
		}
		if got := float64(f.asked) / float64(tt.nodes); got > float64(tt.maxQuestions) {
			t.Errorf("%d nodes: got %.1f questions a node, want at most %d", tt.nodes, got, tt.maxQuestions)
		}
	}
}

// Guards against a tree whose subtree is lost with its root: nodes that are referred to a node
// that is down must be served by another.
func TestUnreachableNodesAreReplaced(t *testing.T) {
	f := newFleet(60, 1)
	seeds := f.order[:3]
	for i, node := range f.order[3:15] {
		f.join(node, seeds, uint64(i))
	}
	for _, node := range append(f.order[3:15:15], seeds[1]) {
		f.isDown[node] = true
	}
	for i, node := range f.order[15:] {
		if !f.join(node, seeds, uint64(i)) {
			t.Fatalf("got no node that serves %s", node)
		}
		if parent := f.parents[node]; f.isDown[parent] {
			t.Errorf("%s: got %s as its parent, which is down", node, parent)
		}
	}
}

// Guards against a node that waits forever when all seeds are down.
func TestSearchEndsWithoutSeeds(t *testing.T) {
	f := newFleet(4, 1)
	for _, seed := range f.order[:3] {
		f.isDown[seed] = true
	}
	if f.join(f.order[3], f.order[:3], 1) {
		t.Error("got a parent, want none while all seeds are down")
	}
	if f.join(f.order[3], nil, 1) {
		t.Error("got a parent, want none without seeds")
	}
}

// Guards against referrals long after a start: a node that restarts alone gets the copy from
// the first node that it asks.
func TestPlacementsExpire(t *testing.T) {
	b := referral.NewBook("palermo")
	for i := range 4 {
		if got := b.Place(0, fmt.Sprint("node-", i), "palermo", nil); got != nil {
			t.Fatalf("got a referral to %v, want node %d served", got, i)
		}
	}
	if got, want := b.Place(1, "late", "palermo", nil), []string{"node-0", "node-1", "node-2", "node-3"}; !slices.Equal(got, want) {
		t.Errorf("got a referral to %v, want %v", got, want)
	}
	if got := b.Place(clock.Minute, "late", "palermo", nil); got != nil {
		t.Errorf("got a referral to %v a minute later, want the node served", got)
	}
}
