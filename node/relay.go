package node

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"
)

const (
	// maxNeighbours is how many peers a node that is cut from the platform keeps
	// links to: with a third of the fleet cut likewise, 1 in 27 nodes has only
	// such neighbours, and the neighbours of these have others.
	maxNeighbours = 3
	// relayInterval is how often it looks whether it is cut off.
	relayInterval = time.Second
)

// keepNeighbourLinks keeps links to a few peers while the platform doesn't answer. A node
// that no caller uses would otherwise have none, and hear of no edit until the
// platform is back.
func (n *Node) keepNeighbourLinks() {
	for _, p := range n.neighbours() {
		p.link.EnsureLink()
	}
}

// neighbours returns the peers to keep links to, none while the platform
// answers. Each node has an order of its own, so that the links of all spread
// over the fleet.
func (n *Node) neighbours() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.platformUnavailable {
		return nil
	}
	all := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int {
		return cmp.Compare(n.rank(a), n.rank(b))
	})
	return all[:min(maxNeighbours, len(all))]
}

func (n *Node) rank(p *peer) uint64 {
	return maphash.String(n.neighbourSeed, p.link.Address())
}
