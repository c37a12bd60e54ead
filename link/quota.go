package link

import (
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// RequestQuota asks the node for permission to send requests of a client account. It calls
// onReply and returns errors as ProbeCapacity does.
func (p *Peer) RequestQuota(r *wire.QuotaRequest, onReply func(*wire.QuotaGrant)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quotaRequests.send(p, r.Seq, r, onReply)
}

// ForwardQuota asks the node to relay a quota request to another node. It calls onReply and
// returns errors as ProbeCapacity does, and ErrNoLink if the node's release doesn't relay them.
func (p *Peer) ForwardQuota(m *wire.QuotaForward, onReply func(*wire.QuotaGrant)) error {
	if !p.Accepts(wire.KindQuotaForward) {
		return ErrNoLink
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quotaRequests.send(p, m.Request.Seq, m, onReply)
}

// ForgetQuotaRequest removes a quota request that the node has given up, so that a late
// answer to it is ignored.
func (p *Peer) ForgetQuotaRequest(seq uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.quotaRequests, seq)
}

func (p *Peer) handleQuotaGrant(g *wire.QuotaGrant) {
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	onReply, ok := p.quotaRequests.complete(p, g.Seq)
	p.mu.Unlock()
	if ok {
		onReply(g)
	}
}

// IsLost reports whether the path to the node is lost.
func (p *Peer) IsLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == path.Lost
}

// IsRefused reports whether the node's machine refused the last attempt to open a link, so that no
// process of the node runs.
func (p *Peer) IsRefused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused && p.conn == nil
}
