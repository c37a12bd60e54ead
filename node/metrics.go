package node

import (
	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/metrics"
)

// Links returns how many peers this node has and how many links are open now.
func (n *Node) Links() metrics.LinkCount {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := metrics.LinkCount{Peers: len(n.peers), Accepted: n.links.OpenLinks(), Subscribers: n.links.Subscribers()}
	for _, p := range n.peers {
		if p.link.Ready() {
			count.Dialled++
		}
		if p.isSubscribed {
			count.Subscriptions++
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

// serviceRetries returns the use of the retry budget of the given service, or of all services
// if the name is empty. It leaves out services without a bound here whose budget decided on
// no retry.
func (n *Node) serviceRetries(service string) []access.ServiceRetries {
	n.mu.Lock()
	t := n.table
	n.mu.Unlock()
	if t == nil {
		return nil
	}
	gates := map[string]metrics.GateState{}
	for _, g := range n.GateStates() {
		sum := gates[g.Service]
		sum.Retries += g.Retries
		sum.RetryBound += g.RetryBound
		gates[g.Service] = sum
	}
	var all []access.ServiceRetries
	for i := range t.Services {
		name := t.Services[i].Name
		if service != "" && service != name {
			continue
		}
		r := access.ServiceRetries{Service: name, Used: gates[name].Retries, Bound: gates[name].RetryBound, RetryCounts: n.metrics.RetryCounts(name)}
		if r.Bound > 0 || r.RetryCounts != (access.RetryCounts{}) {
			all = append(all, r)
		}
	}
	return all
}
