package link

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/wire"
)

// Enquire asks the gate for a slot. Told is called with the answer, or never; it
// must not block. It returns ErrNoLink without an open link: nothing was asked.
func (p *Peer) Enquire(e *wire.Enquiry, told func(*wire.Hold)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = p.config.Now()
	if p.conn == nil {
		p.Wake()
		return ErrNoLink
	}
	if err := p.conn.Send(e); err != nil {
		return errors.Trace(err)
	}
	p.enquiries[keyOf(e.ID, e.Attempt)] = told
	return nil
}

// ForgetEnquiry drops an enquiry that was given up on.
func (p *Peer) ForgetEnquiry(id wire.RequestID, attempt uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.enquiries, keyOf(id, attempt))
}

func (p *Peer) held(h *wire.Hold) {
	p.config.Watcher.PeerUpstream(p.config.Address, h.Upstream)
	key := keyOf(h.ID, h.Attempt)
	now := p.config.Now()
	p.mu.Lock()
	p.judge.Heard(now)
	p.estimate.Heard(now, p.estimate.Incarnation(), h.Time)
	told, ok := p.enquiries[key]
	delete(p.enquiries, key)
	p.mu.Unlock()
	if ok {
		told(h)
	}
}
