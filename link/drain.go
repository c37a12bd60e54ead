package link

import (
	"maps"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// ErrLeaving means that a link is refused because the node is about to stop.
const ErrLeaving = errors.ConstError("node is about to stop")

// reconnectWindow is how long an entry whose link broke may take to open another one: it dials
// immediately and, if that fails, again within a second, and the handshake must succeed.
const reconnectWindow = clock.Second + handshakeTimeout

// Drain asks all entries to close their links. From then on a link is accepted only from an entry
// that has one, or whose link broke: the entry may ask for the outcome of its dispatches.
func (s *Server) Drain() {
	s.mu.Lock()
	s.isDraining, s.drainingSince = true, s.config.Now()
	s.mu.Unlock()
	s.BroadcastHeartbeat() // entries of an older release confirm it
}

// Drained reports whether all entries have received what they wait for, so that the node can stop.
// No link is accepted after that. An entry closes its link then; one of an older release confirms
// a heartbeat sent after its last reply. Drained asks the entries that Drain couldn't ask.
func (s *Server) Drained() bool {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	isDrained := true
	for _, session := range s.sessions {
		session.sendGoAway()
		isDrained = isDrained && session.isConfirmed(s.drainingSince)
	}
	s.dropAbsent(now)
	s.isClosed = isDrained && len(s.absent) == 0
	return s.isClosed
}

// sendGoAway asks the entry to close the link, unless it has been asked or its release doesn't know
// the message. It is called with the server's lock held.
func (s *session) sendGoAway() {
	if !s.isAskedToClose && s.conn.Accepts(wire.KindGoAway) {
		s.isAskedToClose = s.conn.Send(&wire.GoAway{}) == nil
	}
}

// isConfirmed reports whether an entry of an older release has received all replies, and sends
// nothing more to a node that was leaving at since. It is called with the server's lock held.
func (s *session) isConfirmed(since clock.Millis) bool {
	echoed := s.echoed()
	return !s.conn.Accepts(wire.KindGoAway) && echoed >= since && echoed > s.lastReplyAt
}

// admit records that an entry has a link again, or returns ErrLeaving if the node accepts none from
// it. The caller holds the server's lock.
func (s *Server) admit(entry uint64) error {
	_, isAbsent := s.absent[entry]
	if s.isClosed || (s.isDraining && !isAbsent && !s.hasSession(entry)) {
		return ErrLeaving
	}
	delete(s.absent, entry)
	return nil
}

// recordAbsent records that the last link of an entry broke while the entry may wait for replies.
// The caller holds the server's lock.
func (s *Server) recordAbsent(session *session) {
	entry := session.remote.Incarnation
	if s.hasSession(entry) {
		return
	}
	now := s.config.Now()
	s.dropAbsent(now)
	s.absent[entry] = max(now+reconnectWindow, session.lastLease)
}

// dropAbsent forgets the entries that wait for nothing any more. The caller holds the server's
// lock.
func (s *Server) dropAbsent(now clock.Millis) {
	maps.DeleteFunc(s.absent, func(_ uint64, until clock.Millis) bool { return now > until })
}

// hasSession reports whether an entry has a link. The caller holds the server's lock.
func (s *Server) hasSession(entry uint64) bool {
	for _, session := range s.sessions {
		if session.remote.Incarnation == entry {
			return true
		}
	}
	return false
}
