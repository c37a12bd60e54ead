package gate

import (
	"time"

	"fuchsiapick.example/fuchsiapick/table"
)

// maxIdleTimeout is how long an idle connection is kept if the backend server neither announces
// nor shows a shorter timeout: longer than the variations of the load, after which the connection
// is needed again. Requests that may run only once use connections for recentUseWindow only: a
// backend server or a middlebox may forget an idle connection without closing it, and the outcome
// of a request that is sent on it is unknown.
const maxIdleTimeout = time.Minute

// idleTimes is what is known of the time after which the backend server ends idle connections.
type idleTimes struct {
	// ended is the shortest idle time after which a connection was found ended; 0 if none was.
	ended time.Duration
}

// record records whether a connection was open after an idle time. A connection that ended
// earlier than others shows that the backend server doesn't go by a timeout alone.
func (t *idleTimes) record(idle time.Duration, isOpen bool) {
	if !isOpen && (t.ended == 0 || idle < t.ended) {
		t.ended = idle
	}
}

// limit returns the idle time up to which a repeatable request uses a connection: it ends
// before the timeout of the backend server is near. It isn't less than the default, with
// which a connection is used unless it has ended.
func (t *idleTimes) limit() time.Duration {
	if t.ended == 0 {
		return maxIdleTimeout
	}
	return min(max(t.ended-idleMargin, defaultIdleTimeout), maxIdleTimeout)
}

// connectionKeeper is a backend that can keep its connections open across variations of the
// load.
type connectionKeeper interface {
	KeepConnections(keep bool)
}

// keepConnections sets whether the backend keeps its connections open.
func (g *Gate) keepConnections(s *table.Service) {
	if keeper, ok := g.config.Backend.(connectionKeeper); ok {
		keeper.KeepConnections(s.Placement == table.PlaceByCost)
	}
}

// KeepConnections sets whether idle connections are kept until the backend server's own idle
// timeout is near. Otherwise they are used for defaultIdleTimeout at most.
func (h *HTTP) KeepConnections(keep bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keepsIdle = keep
}

// idleLimit returns the idle time up to which a connection may be used if it is still open. It
// is called with the backend's lock held.
func (h *HTTP) idleLimit(conn *backendConn) time.Duration {
	limit := defaultIdleTimeout
	if h.keepsIdle {
		limit = h.idleTimes.limit()
	}
	if conn.hasAnnounced {
		limit = min(limit, conn.announced)
	}
	return limit
}

// staysIdle reports whether a connection that the request can't use is left to other requests.
// It is called with the backend's lock held.
func (h *HTTP) staysIdle(conn *backendConn, idle time.Duration) bool {
	return !h.keepsIdle || (idle < h.idleLimit(conn) && h.isOpen(conn, idle))
}

// isOpen reports whether the other side has kept an idle connection open, and learns from that.
// It is called with the backend's lock held.
func (h *HTTP) isOpen(conn *backendConn, idle time.Duration) bool {
	isOpen := conn.isIdle()
	if h.keepsIdle {
		h.idleTimes.record(idle, isOpen)
	}
	return isOpen
}
