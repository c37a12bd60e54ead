package node

import "fuchsiapick.example/fuchsiapick/metrics"

// Links returns how many peers this node has and how many links are open now.
func (n *Node) Links() metrics.LinkCount {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := metrics.LinkCount{Peers: len(n.peers), Accepted: n.links.OpenLinks()}
	for _, p := range n.peers {
		if p.link.Ready() {
			count.Dialled++
		}
	}
	return count
}

// GateStates returns the state of each gate of this node, for metrics.
func (n *Node) GateStates() []metrics.GateState {
	gates := n.allGates()
	states := make([]metrics.GateState, 0, len(gates))
	for _, g := range gates {
		states = append(states, g.MetricsState())
	}
	return states
}
