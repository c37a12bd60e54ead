package node

import "fuchsiapick.example/fuchsiapick/metrics"

// Links counts the links that are open now.
func (n *Node) Links() metrics.LinkCount {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := metrics.LinkCount{Peers: len(n.peers), Accepted: n.links.OpenLinks()}
	for _, p := range n.peers {
		if p.link.Ready() {
			c.Dialled++
		}
	}
	return c
}

// GateStates tells how the gates beside this node do.
func (n *Node) GateStates() []metrics.GateState {
	gates := n.allGates()
	all := make([]metrics.GateState, 0, len(gates))
	for _, g := range gates {
		all = append(all, g.MetricsState())
	}
	return all
}
