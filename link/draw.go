package link

import (
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// RequestQuota asks the node for leave to send requests of a client account, as Enquire asks a gate
// for a slot.
func (p *Peer) RequestQuota(d *wire.QuotaRequest, told func(*wire.QuotaGrant)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quotaRequests.send(p, d.Seq, d, told)
}

// ForgetQuotaRequest drops a question that was given up on.
func (p *Peer) ForgetQuotaRequest(seq uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.quotaRequests, seq)
}

func (p *Peer) handleQuotaGrant(d *wire.QuotaGrant) {
	p.mu.Lock()
	p.detector.Received(p.config.Now())
	told, ok := p.quotaRequests.complete(p, d.Seq)
	p.mu.Unlock()
	if ok {
		told(d)
	}
}

// IsLost reports whether the path to the node is lost.
func (p *Peer) IsLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == path.Lost
}
