package node

import (
	"fuchsiapick.example/fuchsiapick/wire"
)

// answer answers a quota request of another node. If the sender has skipped homes that come
// before this one, this node first asks those, because a home that some nodes can't reach still
// grants requests of the others. Only if it can't reach them either, it grants requests itself.
func (q *quotas) answer(message *wire.QuotaRequest) *wire.QuotaGrant {
	request := message.ToQuota()
	if message.SkippedHomes > 0 && !message.IsRelayed {
		if grant := q.askEarlierHomes(message); grant != nil {
			grant.Seq = message.Seq
			return grant
		}
	}
	return wire.NewQuotaGrant(message.Seq, q.grant(request))
}

// askEarlierHomes asks the homes that the sender of a quota request has skipped. If one of them
// can't be reached from here, one of the later homes is asked to relay the request to it: a home
// behind a partial partition still grants the requests of the nodes that reach it. It returns nil
// if no home has answered.
func (q *quotas) askEarlierHomes(message *wire.QuotaRequest) *wire.QuotaGrant {
	q.mu.Lock()
	homes := q.homesFor(message.Account)
	q.mu.Unlock()
	skipped := min(message.SkippedHomes, len(homes))
	for _, home := range homes[:skipped] {
		if home == q.self {
			break
		}
		relayed := *message
		relayed.IsRelayed, relayed.Seq = true, q.sequence.Add(1)
		if grant := q.requestFromHome(home, &relayed, quotaRelayTimeout); grant != nil {
			return grant
		}
		if grant := q.forwardToHome(home, homes[skipped:], message); grant != nil {
			return grant
		}
	}
	return nil
}

// forwardToHome asks the first reachable of the given nodes to relay a quota request to a home.
// It returns nil if that node can't reach the home either.
func (q *quotas) forwardToHome(home string, via []string, message *wire.QuotaRequest) *wire.QuotaGrant {
	for _, node := range via {
		peer := q.peer(node)
		if node == q.self || peer == nil || peer.IsLost() {
			continue
		}
		forward := &wire.QuotaForward{Home: home, Request: *message}
		forward.Request.Seq = q.sequence.Add(1)
		granted := make(chan *wire.QuotaGrant, 1)
		if peer.ForwardQuota(forward, func(grant *wire.QuotaGrant) { granted <- grant }) != nil {
			continue // nothing was sent; another node may relay it
		}
		grant := awaitGrant(peer, forward.Request.Seq, granted, quotaForwardTimeout)
		if grant != nil && grant.Home != wire.NoHome {
			return grant
		}
		if grant == nil {
			return nil // the home may have granted the request: another one would be granted twice
		}
	}
	return nil
}

// relay relays a forwarded quota request to its home.
func (q *quotas) relay(m *wire.QuotaForward) *wire.QuotaGrant {
	seq := m.Request.Seq
	if m.Home == q.self {
		return wire.NewQuotaGrant(seq, q.grant(m.Request.ToQuota()))
	}
	relayed := m.Request
	relayed.IsRelayed, relayed.Seq = true, q.sequence.Add(1)
	grant := q.requestFromHome(m.Home, &relayed, quotaRelayTimeout)
	if grant == nil {
		return &wire.QuotaGrant{Seq: seq, Home: wire.NoHome}
	}
	grant.Seq = seq
	return grant
}

// RequestQuota answers a quota request of another node.
func (n *Node) RequestQuota(from uint64, message *wire.QuotaRequest) {
	if message.SkippedHomes == 0 || message.IsRelayed {
		n.links.SendQuotaGrant(from, n.quotas.answer(message))
		return
	}
	go func() {
		defer n.panics.Recover(PartQuota)
		n.links.SendQuotaGrant(from, n.quotas.answer(message)) // answering may wait for another home
	}()
}

// ForwardQuota answers a quota request that another node can't send to its home.
func (n *Node) ForwardQuota(from uint64, m *wire.QuotaForward) {
	go func() {
		defer n.panics.Recover(PartQuota)
		n.links.SendQuotaGrant(from, n.quotas.relay(m)) // waits for the home
	}()
}
