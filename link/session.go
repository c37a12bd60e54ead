package link

import (
	"context"
	"sync"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// session is a link at the accepting side, from when its peer has proved itself.
type session struct {
	server *Server
	conn   *Conn
	remote Remote
	// isUsed means that the peer has sent a message. The reading goroutine sets it, under the
	// server's lock.
	isUsed bool
	// lastLease is the latest lease of the dispatches received. Only the reading goroutine uses
	// it.
	lastLease clock.Millis
	// lastReplyAt is when the last reply was sent. isAskedToClose means that a GoAway was. The
	// server's lock guards both.
	lastReplyAt    clock.Millis
	isAskedToClose bool

	// isSubscribed means that the entry receives forwarded updates, isJoining that it knows only
	// a few seeds. The server's lock guards both.
	isSubscribed, isJoining bool
	// acceptedAt is when the link was accepted. Only the reading goroutine uses it.
	acceptedAt clock.Millis

	mu           sync.Mutex
	lastPeerTime clock.Millis // Time of the last heartbeat received
	// lastEcho is the Time of this node's last heartbeat that the peer has received.
	lastEcho clock.Millis
}

// receive handles a message of the dialling side and records that the link is in use.
func (s *session) receive(m wire.Message) {
	if !s.isUsed {
		s.server.use(s)
	}
	s.handle(m)
}

// handle handles a message of the dialling side. It closes the link on a message that only
// the accepting side may send.
func (s *session) handle(m wire.Message) {
	h := s.server.config.Handler
	switch m := m.(type) {
	case *wire.Dispatch:
		s.lastLease = max(s.lastLease, m.Lease)
		h.Dispatch(s.remote.Incarnation, m)
	case *wire.Resolve:
		h.Resolve(s.remote.Incarnation, m)
	case *wire.CapacityProbe:
		h.ProbeCapacity(s.remote.Incarnation, m)
	case *wire.ReleaseReservation:
		h.ReleaseReservation(m)
	case *wire.QuotaRequest:
		h.RequestQuota(s.remote.Incarnation, m)
	case *wire.KeyRevocation:
		_ = s.conn.Send(h.RevokeKey(m)) // the peer repeats the revocation on a new link
	case *wire.Heartbeat:
		s.handleHeartbeat(m)
		h.Heartbeat(s.remote.Node, m)
	case *wire.TableRequest:
		if table, ok := h.RequestTable(m); ok {
			_ = s.conn.Send(table) // the peer asks again after the next heartbeat
		}
	case *wire.TableVersion:
		h.ReceiveTable(s.remote.Node, m)
	case *wire.Announcements:
		h.ReceiveAnnouncements(m)
	default:
		s.handleOther(m)
	}
}

// handleOther handles the remaining messages of handle.
func (s *session) handleOther(m wire.Message) {
	h := s.server.config.Handler
	switch m := m.(type) {
	case *wire.QuotaForward:
		h.ForwardQuota(s.remote.Incarnation, m)
	case *wire.SlotClaim:
		h.ClaimSlot(s.remote.Incarnation, m)
	case *wire.Subscription:
		h.Subscribe(s.remote.Incarnation, s.remote.Node, m)
	case *wire.StoreUpdate:
		h.ReceiveUpdate(s.remote.Node, m, s.sentAfter(m.Time))
	case *wire.EraUpdate:
		h.ReceiveUpdate(s.remote.Node, &m.Update, s.sentAfter(m.Update.Time))
	case *wire.CrashReport:
		for _, report := range h.ReceiveCrashes(m) {
			_ = s.conn.Send(report) // the peer asks again after the next heartbeat
		}
	default:
		s.conn.Close()
	}
}

// sentAfter returns a time on this node's clock after which the peer sent a message, at the given
// time of the peer's clock.
func (s *session) sentAfter(peerTime clock.Millis) clock.Millis {
	return s.conn.peerClock.SentAfter(s.server.config.Now(), peerTime)
}

// handleHeartbeat records a heartbeat of the peer, and answers it if the peer needs an echo.
func (s *session) handleHeartbeat(m *wire.Heartbeat) {
	now := s.server.config.Now()
	s.recordHeartbeat(now, m)
	if m.Echo > 0 && s.conn.mustAnswer(now) { // without an echo it crosses the first heartbeat from here
		s.sendHeartbeat()
	}
}

// recordHeartbeat records a heartbeat of the peer. An echo of a time before the link is that of a
// heartbeat from an earlier process of this node, whose clock was another one.
func (s *session) recordHeartbeat(now clock.Millis, m *wire.Heartbeat) {
	isEcho := m.Echo > 0 && m.Echo >= s.acceptedAt
	if isEcho {
		s.conn.peerClock.RoundTrip(now, m.Echo, m.Time)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastPeerTime = m.Time
	if isEcho {
		s.lastEcho = max(s.lastEcho, m.Echo)
	}
}

// echoed returns the Time of this node's last heartbeat that the peer has received.
func (s *session) echoed() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastEcho
}

// runHeartbeats sends heartbeats at regular intervals until the link is closed. They don't
// depend on the peer's heartbeats: a peer whose frames are lost on the way here learns this
// from their Echo.
func (s *session) runHeartbeats(ctx context.Context) {
	defer recoverPanic(s.conn.panics, s.conn.Close)
	ticker := time.NewTicker(s.server.config.HeartbeatInterval.Duration())
	defer ticker.Stop()
	for {
		s.sendHeartbeat()
		select {
		case <-ctx.Done():
			return
		case <-s.conn.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *session) sendHeartbeat() {
	heartbeat := s.server.config.Handler.Status()
	heartbeat.Time = s.server.config.Now()
	s.mu.Lock()
	heartbeat.Echo = s.lastPeerTime
	s.mu.Unlock()
	_ = s.conn.Send(&heartbeat) // if the queue is full, the peer notices a missing heartbeat
}
