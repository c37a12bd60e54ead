package link

import "fuchsiapick.example/fuchsiapick/wire"

// SendHungRun notifies an entry that a run has most likely hung.
func (s *Server) SendHungRun(entry uint64, m *wire.HungRun) {
	s.sendToEntry(entry, m)
}

// SendProfile sends what a gate knows about its upstream, unless the entry is of a release that
// doesn't know the message.
func (s *Server) SendProfile(entry uint64, p *wire.UpstreamProfile) {
	s.sendToEntry(entry, p)
}

// SendQuotaGrant sends the answer to a quota request. An entry that doesn't receive it asks
// another home.
func (s *Server) SendQuotaGrant(entry uint64, g *wire.QuotaGrant) {
	s.sendToEntry(entry, g)
}

// BroadcastProfile sends the profile of an upstream to all entries with a link that accept it.
func (s *Server) BroadcastProfile(profile *wire.UpstreamProfile) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.latestConns {
		_ = c.Send(profile) // an entry that misses it gets the next one, and counts with defaults until then
	}
}
