package node

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"
)

const (
	// maxNeighbours is how many peers a node that can't reach the platform keeps links to. If
	// a third of the fleet can't reach it, 1 in 27 nodes has only such neighbours, which have
	// other neighbours in turn.
	maxNeighbours = 3
	// linkCheckInterval is how often a node checks which peers it has to keep links to.
	linkCheckInterval = time.Second
)

// keepNeighbourLinks keeps links to a few peers while the platform doesn't answer. A node
// that no caller uses would otherwise have no links, and receive no edit of the table until
// the platform answers again.
func (n *Node) keepNeighbourLinks() {
	for _, p := range n.neighbours() {
		p.link.EnsureLink()
	}
}

// neighbours returns the peers to keep links to, or none while the platform answers. Each node
// sorts its peers in a random order of its own, so that the links are spread over the fleet.
func (n *Node) neighbours() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.platformUnavailable {
		return nil
	}
	peers := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *peer) int {
		return cmp.Compare(n.rank(a), n.rank(b))
	})
	return peers[:min(maxNeighbours, len(peers))]
}

// rank returns the position of a peer in this node's order of neighbours; lower values come
// first.
func (n *Node) rank(p *peer) uint64 {
	return maphash.String(n.neighbourSeed, p.link.Address())
}
