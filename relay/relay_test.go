package relay_test

import (
	"fmt"
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/relay"
)

func members(nodes, domains int) []relay.Member {
	all := make([]relay.Member, 0, nodes)
	for i := range nodes {
		all = append(all, relay.Member{Node: fmt.Sprintf("10.%d.%d.1:7620", i/250, i%250), Domain: fmt.Sprint("domain-", i%domains)})
	}
	return all
}

// reach returns, for each node that an update of a reader reaches over subscriptions, the number
// of hops. Nodes that are down neither receive nor forward.
func reach(t *relay.Topology, all []relay.Member, reader string, isDown map[string]bool) map[string]int {
	hops := map[string]int{reader: 0}
	for depth := 0; depth < 10; depth++ {
		for _, m := range all {
			if _, ok := hops[m.Node]; ok || isDown[m.Node] {
				continue
			}
			for _, parent := range t.Parents(m.Node) {
				if at, ok := hops[parent]; ok && at == depth && !isDown[parent] {
					hops[m.Node] = depth + 1
				}
			}
		}
	}
	return hops
}

// Guards against calls and links that grow with the fleet: with a reader for every 40 nodes,
// 983 nodes made eight times the calls of 24.
func TestTopologyIsBoundedAtAnySize(t *testing.T) {
	for _, tt := range []struct{ nodes, domains, maxSubscribers, maxHops int }{
		{24, 3, 23, 1}, {100, 4, 99, 1}, {300, 3, 60, 2}, {1000, 5, 110, 2}, {2000, 5, 160, 2}, {2400, 1, 150, 2}, {2400, 42, 150, 2}, {20000, 5, 500, 2},
	} {
		all := members(tt.nodes, tt.domains)
		topology := relay.New(all)
		if got := len(topology.Readers()); got != 3 {
			t.Errorf("%d nodes: got %d readers, want 3", tt.nodes, got)
		}
		subscribers := map[string]int{}
		for _, m := range all {
			for _, parent := range topology.Parents(m.Node) {
				subscribers[parent]++
			}
		}
		most := 0
		for _, count := range subscribers {
			most = max(most, count)
		}
		if most > tt.maxSubscribers {
			t.Errorf("%d nodes: got a node with %d subscribers, want at most %d", tt.nodes, most, tt.maxSubscribers)
		}
		if got := len(subscribers); tt.domains == 1 && got > 100 {
			t.Errorf("%d nodes: got %d nodes with subscribers, want at most 100", tt.nodes, got)
		}
		hops := reach(topology, all, topology.Readers()[0], nil)
		deepest := 0
		for _, count := range hops {
			deepest = max(deepest, count)
		}
		if len(hops) != tt.nodes || deepest > tt.maxHops {
			t.Errorf("%d nodes: got %d reached in %d hops, want all in %d", tt.nodes, len(hops), deepest, tt.maxHops)
		}
	}
}

// Guards against nodes that no update reaches when a reader and one relay of each group have
// ended.
func TestUpdatesReachAllNodesWithoutOneRelayOfEachGroup(t *testing.T) {
	all := members(1000, 5)
	topology := relay.New(all)
	isDown := map[string]bool{topology.Readers()[1]: true}
	for _, m := range all {
		if parents := topology.Parents(m.Node); !slices.Contains(topology.Readers(), parents[0]) {
			isDown[parents[0]] = true
		}
	}
	hops := reach(topology, all, topology.Readers()[0], isDown)
	if got, want := len(hops), len(all)-len(isDown); got != want {
		t.Errorf("got %d nodes reached while %d are down, want %d", got, len(isDown), want)
	}
}

// Guards against updates that cross failure domains once for each node.
func TestUpdatesCrossDomainsOnlyToRelays(t *testing.T) {
	all := members(1000, 5)
	topology := relay.New(all)
	domains := map[string]string{}
	for _, m := range all {
		domains[m.Node] = m.Domain
	}
	for _, m := range all {
		if slices.Contains(topology.Relays(), m.Node) {
			continue
		}
		for _, parent := range topology.Parents(m.Node) {
			if domains[parent] != m.Domain {
				t.Fatalf("%s of %s: got a relay of %s, want one of its own domain", m.Node, m.Domain, domains[parent])
			}
		}
	}
	readers := map[string]bool{}
	for _, reader := range topology.Readers() {
		readers[domains[reader]] = true
	}
	if got := len(readers); got != 3 {
		t.Errorf("got readers in %d domains, want 3", got)
	}
}

// Guards against views that differ by a node and then disagree on who reads the store.
func TestReadersAreStableAcrossViews(t *testing.T) {
	all := members(95, 4)
	readers := relay.New(all).Readers()
	for i, m := range all {
		view := relay.New(slices.Delete(slices.Clone(all), i, i+1)).Readers()
		for _, reader := range readers {
			if reader != m.Node && !slices.Contains(view, reader) {
				t.Errorf("without %s: got %v, want %s among them", m.Node, view, reader)
			}
		}
	}
	alone := relay.New(all[:1])
	if got, want := alone.Readers(), []string{all[0].Node}; !slices.Equal(got, want) {
		t.Errorf("got %v for a fleet of one node, want %v", got, want)
	}
	if got := alone.Parents(all[0].Node); len(got) != 0 {
		t.Errorf("got parents %v for a fleet of one node, want none", got)
	}
}
