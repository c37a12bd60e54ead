package link

import (
	"fuchsiapick.example/fuchsiapick/wire"
)

// Subscribe sends a subscription over the link whenever one is opened, and immediately if one is
// open. The function returns the message to send; it must not call the peer. Subscribe doesn't
// open a link.
func (p *Peer) Subscribe(newSubscription func() *wire.Subscription) {
	p.mu.Lock()
	p.newSubscription = newSubscription
	conn := p.conn
	p.mu.Unlock()
	if conn != nil {
		_ = conn.Send(newSubscription()) // sent again on the next link
	}
}

// Unsubscribe ends a subscription. The link closes when nothing else needs it.
func (p *Peer) Unsubscribe() {
	p.mu.Lock()
	conn := p.conn
	isSubscribed := p.newSubscription != nil
	p.newSubscription = nil
	p.mu.Unlock()
	if conn != nil && isSubscribed {
		_ = conn.Send(&wire.Subscription{IsEnded: true}) // a peer that misses it sends updates until the link closes
	}
}

// sendSubscription sends the current subscription on a new link.
func (p *Peer) sendSubscription(conn *Conn) {
	p.mu.Lock()
	newSubscription := p.newSubscription
	p.mu.Unlock()
	if newSubscription != nil {
		_ = conn.Send(newSubscription()) // sent again on the next link
	}
}

// Release ends the idle timeout of the link, which closes unless a dispatch or a claim needs it.
func (p *Peer) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = p.config.Now() - p.config.IdleTimeout - 1
}

// SendUpdate sends the node an update of the store. It sends nothing without an open link, or to
// a node whose release doesn't expect updates from nodes that dialled it.
func (p *Peer) SendUpdate(u *wire.StoreUpdate, hasEra bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || !p.conn.Accepts(wire.KindSubscription) {
		return
	}
	_ = p.conn.Send(updateMessage(u, hasEra)) // the peer reads the store itself
}

// updateMessage returns the message that carries an update.
func updateMessage(u *wire.StoreUpdate, hasEra bool) wire.Message {
	if hasEra {
		return &wire.EraUpdate{Update: *u}
	}
	return u
}

// SetSubscribed records whether an entry receives forwarded updates, and whether it is joining.
// It lasts as long as the entry's link.
func (s *Server) SetSubscribed(entry uint64, isSubscribed, isJoining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session := s.sessions[s.latestConns[entry]]; session != nil {
		session.isSubscribed, session.isJoining = isSubscribed, isSubscribed && isJoining
	}
}

// Subscribers returns the number of entries that receive forwarded updates.
func (s *Server) Subscribers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, session := range s.sessions {
		if session.isSubscribed {
			count++
		}
	}
	return count
}

// ForwardUpdate sends an update to the entries that have subscribed, but not to the node that it
// is from; with joiningOnly, only to nodes that are joining. It returns the number of entries.
func (s *Server) ForwardUpdate(u *wire.StoreUpdate, hasEra bool, from string, joiningOnly bool) int {
	message := updateMessage(u, hasEra)
	count := 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, session := range s.sessions {
		if session.isSubscribed && session.remote.Node != from && (session.isJoining || !joiningOnly) {
			_ = conn.Send(message) // the entry reads the store itself
			count++
		}
	}
	return count
}

// SendUpdate sends an update to one entry.
func (s *Server) SendUpdate(entry uint64, u *wire.StoreUpdate, hasEra bool) {
	s.sendToEntry(entry, updateMessage(u, hasEra))
}

// SendReferral answers a joining entry.
func (s *Server) SendReferral(entry uint64, r *wire.Referral) {
	s.sendToEntry(entry, r)
}

// SendCopyPart sends a part of a copy.
func (s *Server) SendCopyPart(entry uint64, part *wire.CopyPart) {
	s.sendToEntry(entry, part)
}
