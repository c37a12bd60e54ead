package node

import "fuchsiapick.example/fuchsiapick/access"

// accountShares returns the shares of accounts at this node's gates, with the refusals that its
// entry has counted in totals.
func (n *Node) accountShares(f access.Filter, totals []access.Total) []access.AccountShare {
	var uses []access.AccountShare
	for _, g := range n.allGates() {
		state := g.MetricsState()
		if !f.MatchesUpstream(access.UpstreamState{Service: state.Service, Name: state.Upstream}) {
			continue
		}
		for _, u := range g.Shares() {
			uses = append(uses, access.AccountShare{Service: state.Service, Account: u.Account, Used: u.Used})
		}
	}
	return access.SummarizeShares(uses, totals)
}
