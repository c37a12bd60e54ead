package link

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Handler takes what entries of other nodes send. Its methods must not block.
type Handler interface {
	// Dispatch takes in a request; the answer goes out by Server.Answer.
	Dispatch(entry uint64, d *wire.Dispatch)
	Resolve(entry uint64, s *wire.Resolve)
	// ProbeCapacity keeps a slot for a dispatch, or says why not; the answer goes out by
	// Server.Held.
	ProbeCapacity(entry uint64, e *wire.CapacityProbe)
	ReleaseReservation(w *wire.ReleaseReservation)
	// RequestQuota asks for leave to send requests of a client account; the answer goes out by
	// Server.Drawn.
	RequestQuota(entry uint64, d *wire.QuotaRequest)
	// RevokeKey says what is known of a resend's key and forbids earlier sends.
	RevokeKey(v *wire.KeyRevocation) *wire.KeyRevocationReply
	// Heartbeat takes a heartbeat in. The peer's link address is node.
	Heartbeat(node string, b *wire.Heartbeat)
	// Status returns what this node's own heartbeats say; Time and Heard are
	// filled in by the link.
	Status() wire.Heartbeat
	// RequestTable returns the table edition in force, if it is newer.
	RequestTable(a *wire.TableRequest) (*wire.TableVersion, bool)
	ReceiveTable(node string, e *wire.TableVersion)
	// ReceiveCrashes takes in what a peer tells of crashes, and returns what it is to hear.
	ReceiveCrashes(c *wire.CrashReport) []*wire.CrashReport
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Identity Identity
	// MaxFrame bounds a frame in bytes.
	MaxFrame          int
	HeartbeatInterval clock.Millis
	Now               func() clock.Millis
	Handler           Handler
	Log               logrus.FieldLogger
}

// Server accepts links from the entries of other nodes.
type Server struct {
	config   ServerConfig
	upgrader websocket.FastHTTPUpgrader
	http     *fasthttp.Server

	mu sync.Mutex
	// latest holds the newest link of each entry: answers go there, so that an
	// entry that replaced a silent link gets them on the new one.
	latest   map[uint64]*Conn
	sessions map[*Conn]*session
	// entries are those of latest; turn counts the invitations for any of them.
	entries   []uint64
	nextIndex int
}

// NewServer returns a server that isn't listening yet.
func NewServer(c ServerConfig) *Server {
	s := &Server{
		config:   c,
		latest:   map[uint64]*Conn{},
		sessions: map[*Conn]*session{},
		upgrader: websocket.FastHTTPUpgrader{
			ReadBufferSize:  bufferSize,
			WriteBufferSize: bufferSize,
		},
	}
	s.http = &fasthttp.Server{
		Handler:               s.upgrade,
		Name:                  "fuchsiapick",
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    handshakeLimit,
		ReadTimeout:           handshakeTimeout.Duration(),
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger drops what the HTTP library logs of malformed handshakes: anything may
// connect to a port, and it must not fill the log.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts links until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Annotate(s.http.Serve(listener), "serving links")
}

// Close ends all links.
func (s *Server) Close() {
	s.mu.Lock()
	conns := make([]*Conn, 0, len(s.sessions))
	for c := range s.sessions {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// HeartbeatEchoed reports whether all peers with a link have heard a heartbeat of since or
// later. What a peer sent before it heard one has arrived then: frames keep their
// order.
func (s *Server) HeartbeatEchoed(since clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.sessions {
		one.mu.Lock()
		echoed := one.echoed
		one.mu.Unlock()
		if echoed < since {
			return false
		}
	}
	return true
}

// OpenLinks returns how many links are open.
func (s *Server) OpenLinks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) upgrade(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != Path {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	err := s.upgrader.Upgrade(ctx, s.serve)
	if err != nil {
		s.config.Log.WithError(err).WithField("remote", ctx.RemoteAddr().String()).Debug("link refused")
	}
}

func (s *Server) serve(socket *websocket.Conn) {
	c := newConn(socket, s.config.MaxFrame)
	defer c.Close()
	log := s.config.Log.WithField("remote", c.Remote().String())
	remote, err := c.acceptHandshake(s.config.Identity, s.config.Now)
	if err != nil {
		log.WithError(err).Warn("link refused")
		return
	}
	session := &session{server: s, conn: c, remote: remote}
	s.register(session)
	defer s.unregister(remote.Incarnation, c)
	var writer sync.WaitGroup
	writer.Go(c.write)
	// The HTTP library uses the connection's memory again when this returns. A
	// writer that is still at work would then write another link's bytes, or
	// crash the node: it must end first.
	defer writer.Wait()
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go session.runHeartbeats(ctx)
	err = c.read(session.handle)
	log.WithError(err).WithField("peer", remote.Node).Debug("link ended")
}

func (s *Server) register(one *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.latest[one.remote.Incarnation]; !ok {
		s.entries = append(s.entries, one.remote.Incarnation)
	}
	s.latest[one.remote.Incarnation] = one.conn
	s.sessions[one.conn] = one
}

func (s *Server) unregister(entry uint64, c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c)
	if s.latest[entry] == c {
		delete(s.latest, entry)
		s.entries = slices.DeleteFunc(s.entries, func(other uint64) bool { return other == entry })
	}
}

// SendReply sends a reply to an entry over its newest link. An entry without a
// link asks for the outcome when it is back.
func (s *Server) SendReply(entry uint64, r *wire.Reply) {
	s.mu.Lock()
	c, ok := s.latest[entry]
	s.mu.Unlock()
	if !ok {
		return
	}
	if err := sendReply(c, r); err != nil {
		// The entry would wait for the rest of an answer that never comes.
		c.Close()
	}
}

// SendResolution sends a settlement to an entry. One without an answer asks again.
func (s *Server) SendResolution(entry uint64, m *wire.Resolution) {
	s.send(entry, m)
}

// SendReservation sends the answer to an enquiry. An entry without one goes elsewhere.
func (s *Server) SendReservation(entry uint64, h *wire.Reservation) {
	s.send(entry, h)
}

// SendHungRun tells an entry that a run most likely comes to no end.
func (s *Server) SendHungRun(entry uint64, m *wire.HungRun) {
	s.send(entry, m)
}

// SendQuotaGrant sends the answer to a draw. An entry without one asks elsewhere.
func (s *Server) SendQuotaGrant(entry uint64, d *wire.QuotaGrant) {
	s.send(entry, d)
}

func (s *Server) send(entry uint64, m wire.Message) {
	s.mu.Lock()
	c, ok := s.latest[entry]
	s.mu.Unlock()
	if ok {
		_ = c.Send(m) // what a full queue loses, its reader misses and asks for
	}
}

// SendWorkRequest sends an invitation to an entry, or for entry 0 to the one whose turn it is
// of all that have a link. It returns false without a link to it.
func (s *Server) SendWorkRequest(entry uint64, i *wire.WorkRequest) bool {
	s.mu.Lock()
	if entry == 0 {
		entry = s.nextEntry()
	}
	c, ok := s.latest[entry]
	s.mu.Unlock()
	return ok && c.Send(i) == nil
}

// nextEntry is the entry whose turn it is, 0 without any. In a map's own order some
// entries would come often and some never. The server's lock is held.
func (s *Server) nextEntry() uint64 {
	if len(s.entries) == 0 {
		return 0
	}
	s.nextIndex++
	return s.entries[s.nextIndex%len(s.entries)]
}

// BroadcastUpdate sends news to all entries with a link.
func (s *Server) BroadcastUpdate(n *wire.StoreUpdate) {
	n.Time = s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.latest {
		_ = c.Send(n) // an entry without news asks the platform itself
	}
}

// BroadcastCrashes sends what is known of crashes to all entries with a link. What is sent to
// one of them after it, such as the reply to a run that crashed, arrives later.
func (s *Server) BroadcastCrashes(c *wire.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.latest {
		_ = conn.Send(c) // an entry that misses it asks after a heartbeat
	}
}

// sendReply splits a body over frames, so that a large answer doesn't hold up
// the small ones behind it.
func sendReply(c *Conn, r *wire.Reply) error {
	if len(r.Body) <= wire.ChunkSize {
		return c.Send(r)
	}
	head := *r
	head.Body = r.Body[:wire.ChunkSize]
	if err := c.Send(&head); err != nil {
		return errors.Trace(err)
	}
	for offset := wire.ChunkSize; offset < len(r.Body); offset += wire.ChunkSize {
		end := min(offset+wire.ChunkSize, len(r.Body))
		chunk := &wire.Chunk{ID: r.ID, Attempt: r.Attempt, Offset: offset, Data: r.Body[offset:end]}
		if err := c.Send(chunk); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// session is one proven link at the accepting side.
type session struct {
	server *Server
	conn   *Conn
	remote Remote

	mu           sync.Mutex
	lastPeerTime clock.Millis
	// echoed is this node's time on the last heartbeat that the peer has heard.
	echoed clock.Millis
}

func (s *session) handle(m wire.Message) {
	h := s.server.config.Handler
	switch m := m.(type) {
	case *wire.Dispatch:
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
		_ = s.conn.Send(h.RevokeKey(m)) // asked again on a new link
	case *wire.Heartbeat:
		s.mu.Lock()
		s.lastPeerTime, s.echoed = m.Time, max(s.echoed, m.Echo)
		s.mu.Unlock()
		h.Heartbeat(s.remote.Node, m)
	case *wire.TableRequest:
		if e, ok := h.RequestTable(m); ok {
			_ = s.conn.Send(e) // the peer asks again after the next heartbeat
		}
	case *wire.TableVersion:
		h.ReceiveTable(s.remote.Node, m)
	case *wire.CrashReport:
		for _, c := range h.ReceiveCrashes(m) {
			_ = s.conn.Send(c) // the peer asks again after a heartbeat
		}
	default:
		s.conn.Close()
	}
}

// runHeartbeats sends this side's heartbeats on its own, not as answers, so that a peer
// whose frames are lost on the way here still hears that they are.
func (s *session) runHeartbeats(ctx context.Context) {
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
	b := s.server.config.Handler.Status()
	b.Time = s.server.config.Now()
	s.mu.Lock()
	b.Echo = s.lastPeerTime
	s.mu.Unlock()
	_ = s.conn.Send(&b) // a full queue shows at the peer as a missing beat
}

// BroadcastHeartbeat sends a heartbeat on every link at once, for news that can't wait.
func (s *Server) BroadcastHeartbeat() {
	b := s.config.Handler.Status()
	b.Time = s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		_ = c.Send(&b) // the next regular beat says it again
	}
}
