// Package relay decides which nodes of a fleet read the platform's store, and over which nodes
// their updates reach all others. It answers the load that a fleet puts on the store: the calls
// must not grow with the number of nodes.
//
// All nodes compute the same topology from the instances that they know. Where their views
// differ, a node subscribes to a relay that receives updates itself, or reads the store: a
// topology saves calls, and no copy depends on it.
package relay

import (
	"cmp"
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/rendezvous"
)

const (
	// maxReaders is the number of nodes that read the store ahead of the others, and of relays
	// of a group. One is enough; the others take over if it ends or can't be reached.
	maxReaders = 3
	// maxFlat is the largest fleet whose nodes all subscribe to the readers. A larger one is
	// divided into groups.
	maxFlat = 128
)

// Member is a node of the fleet.
type Member struct {
	// Node is the node's link address.
	Node   string
	Domain string
}

// Topology is how updates spread over a fleet: from the readers to the relays of each group, and
// from these to the group's other nodes. A group lies in one failure domain, so that an update
// crosses domains once for each relay. Group sizes grow with the square root of the fleet's
// size, and so do the subscribers of a reader and of a relay.
type Topology struct {
	readers []string
	// relays holds, by node, the relays of the node's group.
	relays map[string][]string
	all    []string
}

// New returns the topology of a fleet. It doesn't retain members.
func New(members []Member) *Topology {
	t := &Topology{relays: make(map[string][]string, len(members))}
	ranked := rank(members)
	byDomain := map[string][]string{}
	for i := range ranked {
		byDomain[ranked[i].Domain] = append(byDomain[ranked[i].Domain], ranked[i].Node)
	}
	t.readers = chooseReaders(ranked)
	if len(ranked) <= maxFlat {
		t.addGroup(t.readers, ranked)
		t.all = slices.Sorted(slices.Values(t.readers))
		return t
	}
	size := groupSize(len(ranked))
	for _, nodes := range byDomain {
		t.addDomain(nodes, size)
	}
	t.all = t.findRelays()
	return t
}

// rank returns the members in the order of their hashes.
func rank(members []Member) []Member {
	type scored struct {
		score  uint64
		member Member
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{score(m.Node), m})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.member.Node, b.member.Node))
	})
	ranked := make([]Member, 0, len(members))
	for i := range all {
		if i == 0 || all[i].member.Node != all[i-1].member.Node {
			ranked = append(ranked, all[i].member)
		}
	}
	return ranked
}

// chooseReaders returns the first nodes of different domains, and further ones if there are
// fewer domains than readers.
func chooseReaders(ranked []Member) []string {
	var readers []string
	isTaken := map[string]bool{}
	for pass := range 2 {
		for _, m := range ranked {
			if len(readers) == maxReaders {
				return readers
			}
			if slices.Contains(readers, m.Node) || (pass == 0 && isTaken[m.Domain]) {
				continue
			}
			isTaken[m.Domain] = true
			readers = append(readers, m.Node)
		}
	}
	return readers
}

// groupSize returns the largest size of a group with which a reader has about as many relays as
// subscribers as a relay has nodes.
func groupSize(nodes int) int {
	return int(math.Ceil(math.Sqrt(maxReaders * float64(nodes))))
}

// addDomain divides a domain's nodes into groups. Their number is a power of two, so that views
// that differ by a few nodes seldom divide a domain differently.
func (t *Topology) addDomain(nodes []string, size int) {
	groups := 1
	for groups*size < len(nodes) {
		groups *= 2
	}
	divided := make([][]Member, groups)
	for _, node := range nodes {
		index := score(node) % uint64(groups)
		divided[index] = append(divided[index], Member{Node: node})
	}
	for _, group := range divided {
		t.addGroup(t.chooseRelays(group), group)
	}
}

// chooseRelays returns the first nodes of a group. Readers have all relays as subscribers, and
// are none themselves.
func (t *Topology) chooseRelays(group []Member) []string {
	relays := make([]string, 0, maxReaders)
	for _, m := range group {
		if len(relays) < maxReaders && !t.IsReader(m.Node) {
			relays = append(relays, m.Node)
		}
	}
	return relays
}

func (t *Topology) addGroup(relays []string, group []Member) {
	for i := range group {
		t.relays[group[i].Node] = relays
	}
}

func (t *Topology) findRelays() []string {
	all := slices.Clone(t.readers)
	for node, relays := range t.relays {
		if slices.Contains(relays, node) {
			all = append(all, node)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Readers returns the nodes that read the store ahead of all others.
func (t *Topology) Readers() []string {
	return t.readers
}

// IsReader reports whether a node reads the store ahead of the others.
func (t *Topology) IsReader(node string) bool {
	return slices.Contains(t.readers, node)
}

// Contains reports whether a node is in the topology.
func (t *Topology) Contains(node string) bool {
	_, ok := t.relays[node]
	return ok
}

// Relays returns the nodes that have subscribers, sorted. Whatever all of them send to their subscribers
// reaches every node.
func (t *Topology) Relays() []string {
	return t.all
}

// Parents returns the nodes to whose updates a node subscribes, at most three: the readers for a
// reader and for a relay, otherwise the relays of its group. A node that is not in the topology
// subscribes to the readers.
func (t *Topology) Parents(node string) []string {
	relays := t.relays[node]
	if len(relays) == 0 || slices.Contains(relays, node) || t.IsReader(node) {
		relays = t.readers
	}
	return slices.DeleteFunc(slices.Clone(relays), func(other string) bool { return other == node })
}

// score returns the hash by which nodes are grouped and ordered.
func score(node string) uint64 {
	return rendezvous.Score("", node)
}
