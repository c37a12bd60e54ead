package link

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/fasthttp/websocket"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Handler handles the messages that entries of other nodes send. Its methods must not
// block.
type Handler interface {
	// Dispatch runs a request. The reply is sent by Server.SendReply.
	Dispatch(entry uint64, d *wire.Dispatch)
	// Resolve determines the outcome of a dispatch. The answer is sent by
	// Server.SendResolution or Server.SendReply.
	Resolve(entry uint64, r *wire.Resolve)
	// ProbeCapacity reserves a slot for a dispatch or refuses it. The answer is sent by
	// Server.SendReservation.
	ProbeCapacity(entry uint64, probe *wire.CapacityProbe)
	// ClaimSlot reserves a slot for a dispatch, queues the claim or refuses it. The answers are
	// sent by Server.SendClaimQueued and Server.SendReservation.
	ClaimSlot(entry uint64, c *wire.SlotClaim)
	ReleaseReservation(r *wire.ReleaseReservation)
	// EntryLost drops the claims of an entry whose last link ended at the given time. The entry
	// may have another link by now.
	EntryLost(entry uint64, at clock.Millis)
	// RequestQuota decides on requests of a client account. The answer is sent by
	// Server.SendQuotaGrant.
	RequestQuota(entry uint64, r *wire.QuotaRequest)
	// ForwardQuota relays a quota request to another node. The answer is sent by
	// Server.SendQuotaGrant.
	ForwardQuota(entry uint64, m *wire.QuotaForward)
	// RevokeKey forbids sends of a key that a resend supersedes, and returns the record of
	// the key.
	RevokeKey(r *wire.KeyRevocation) *wire.KeyRevocationReply
	// Heartbeat handles a heartbeat of the peer with link address node.
	Heartbeat(node string, heartbeat *wire.Heartbeat)
	// Status returns the content of this node's heartbeats. The server sets Time and Echo.
	Status() wire.Heartbeat
	// RequestTable returns the table in force, and false if it isn't newer than the one in
	// the request.
	RequestTable(r *wire.TableRequest) (*wire.TableVersion, bool)
	ReceiveTable(node string, table *wire.TableVersion)
	// ReceiveAnnouncements handles what the upstreams beside this node have announced to the
	// peer.
	ReceiveAnnouncements(m *wire.Announcements)
	// Subscribe handles a subscription of the peer with link address node. The answers are sent
	// by Server.SendReferral, SendCopyPart and SendUpdate.
	Subscribe(entry uint64, node string, m *wire.Subscription)
	// ReceiveUpdate handles an update of the store, which the peer with link address node sent
	// after the given time.
	ReceiveUpdate(node string, update *wire.StoreUpdate, sentAfter clock.Millis)
	// ReceiveCrashes handles a peer's crash report and returns the reports to send back.
	ReceiveCrashes(report *wire.CrashReport) []*wire.CrashReport
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Identity Identity
	// MaxFrame is the maximum size of a frame in bytes.
	MaxFrame int
	// Handshakes is how many connections may be open whose links aren't; 0 means that they have no bound.
	Handshakes        int
	HeartbeatInterval clock.Millis
	Now               func() clock.Millis
	Handler           Handler
	// Panics may be nil.
	Panics PanicRecorder
	Log    logrus.FieldLogger
}

// Server accepts links from the entries of other nodes. It is safe for concurrent use.
type Server struct {
	config   ServerConfig
	upgrader websocket.FastHTTPUpgrader
	http     *fasthttp.Server

	mu sync.Mutex
	// latestConns holds, for each entry, the link that it began to use last. Replies are sent
	// over it, so that an entry that has replaced a silent link receives them on the new one.
	latestConns map[uint64]*Conn
	sessions    map[*Conn]*session
	// entries holds the keys of latestConns. nextIndex counts the work requests that were
	// sent to any of them in turn.
	entries   []uint64
	nextIndex int
	// absent holds the entries whose last link broke, and until when they may need the outcome
	// of a dispatch.
	absent map[uint64]clock.Millis
	// isDraining is set by Drain, at drainingSince, and isClosed by Drained.
	isDraining, isClosed bool
	drainingSince        clock.Millis
}

// NewServer returns a server. Serve must be called to accept links.
func NewServer(c ServerConfig) *Server {
	s := &Server{
		config:      c,
		latestConns: map[uint64]*Conn{},
		sessions:    map[*Conn]*session{},
		absent:      map[uint64]clock.Millis{},
		upgrader: websocket.FastHTTPUpgrader{
			ReadBufferSize:  bufferSize,
			WriteBufferSize: bufferSize,
		},
	}
	s.http = &fasthttp.Server{
		Handler:               s.upgrade,
		Name:                  "fuchsiapick",
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxHandshakeSize,
		ReadTimeout:           handshakeTimeout.Duration(),
		Concurrency:           c.Handshakes,
		Logger:                discardLogger{},
		// Otherwise the library ignores that a link is closed until the peer closes it, too.
		KeepHijackedConns: true,
	}
	return s
}

// discardLogger drops the log lines of the HTTP library about malformed handshakes. Any
// client can connect to the port, and must not be able to fill the log.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts links until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Annotate(s.http.Serve(listener), "serving links")
}

// Close closes all links.
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

// HeartbeatEchoed reports whether all peers with a link have echoed a heartbeat that was
// sent at since or later. Everything that a peer sent before it received this heartbeat
// has then arrived, because a link keeps the order of frames.
func (s *Server) HeartbeatEchoed(since clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		if session.echoed() < since {
			return false
		}
	}
	return true
}

// OpenLinks returns how many links are open and used by their peers.
func (s *Server) OpenLinks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, session := range s.sessions {
		if session.isUsed {
			count++
		}
	}
	return count
}

func (s *Server) upgrade(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != Path {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	lastKind := parseLastKind(string(ctx.Request.Header.Peek(headerLastKind)))
	ctx.Response.Header.Set(headerLastKind, ownLastKind)
	err := s.upgrader.Upgrade(ctx, func(socket *websocket.Conn) { s.serve(socket, lastKind) })
	if err != nil {
		s.config.Log.WithError(err).WithField("remote", ctx.RemoteAddr().String()).Debug("link refused")
	}
}

func (s *Server) serve(socket *websocket.Conn, lastKind wire.Kind) {
	c := newConn(socket, s.config.MaxFrame, lastKind)
	c.panics = s.config.Panics
	defer recoverPanic(s.config.Panics, nil)
	defer c.Close()
	log := s.config.Log.WithField("remote", c.Remote().String())
	session := &session{server: s, conn: c}
	remote, err := c.acceptHandshake(s.config.Identity, s.config.Now, func(remote Remote) error {
		session.remote = remote
		return s.register(session)
	})
	defer func() { s.unregister(session, err) }()
	if err != nil {
		level := logrus.WarnLevel
		if errors.Is(err, ErrLeaving) {
			level = logrus.DebugLevel
		}
		logging.Repeatable(log.WithError(err)).Log(level, "link refused")
		return
	}
	session.acceptedAt = remote.Time
	log = log.WithField("peer", remote.Node)
	log.Debug("link accepted")
	var writer sync.WaitGroup
	writer.Go(c.write)
	// The WebSocket library reuses the link's write buffer after this function returns. The
	// writer must end first, or it could write bytes of another link or crash the node.
	defer writer.Wait()
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go session.runHeartbeats(ctx)
	err = c.read(session.receive)
	log.WithError(err).WithField("echoed", session.echoed().String()).Debug("accepted link ended")
}

// register adds a link before its entry can use it, or returns ErrLeaving.
func (s *Server) register(session *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(session.remote.Incarnation); err != nil {
		return err
	}
	s.sessions[session.conn] = session
	return nil
}

// use records that an entry has sent its first message on a link. An entry that has given up the
// handshake sends none: its replies must not be sent there.
func (s *Server) use(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session.isUsed = true
	entry := session.remote.Incarnation
	if _, ok := s.latestConns[entry]; !ok {
		s.entries = append(s.entries, entry)
	}
	s.latestConns[entry] = session.conn
}

// unregister removes a link that ended with an error. It does nothing if the link wasn't admitted.
func (s *Server) unregister(session *session, err error) {
	if at, isLast := s.removeSession(session, err); isLast {
		s.config.Handler.EntryLost(session.remote.Incarnation, at)
	}
}

// removeSession returns the current time and whether the link was the last one of its entry.
func (s *Server) removeSession(session *session, err error) (now clock.Millis, isLast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[session.conn] == nil {
		return 0, false
	}
	entry := session.remote.Incarnation
	delete(s.sessions, session.conn)
	if s.latestConns[entry] == session.conn {
		delete(s.latestConns, entry)
		s.entries = slices.DeleteFunc(s.entries, func(other uint64) bool { return other == entry })
	}
	if !isFinished(err) {
		s.recordAbsent(session)
	}
	return s.config.Now(), !s.hasSession(entry)
}

// SendReply sends a reply to an entry over its newest link. An entry without a link asks
// for the outcome once it has reconnected.
func (s *Server) SendReply(entry uint64, r *wire.Reply) {
	s.mu.Lock()
	c, ok := s.latestConns[entry]
	if session := s.sessions[c]; session != nil {
		session.lastReplyAt = s.config.Now()
	}
	s.mu.Unlock()
	if !ok {
		s.config.Log.WithField("request", r.ID.String()).Debug("reply not sent; its entry has no link and asks again")
		return
	}
	if err := sendReply(c, r); err != nil {
		s.config.Log.WithError(err).WithField("request", r.ID.String()).Debug("reply not sent; closing the link")
		// Otherwise the entry would wait for the rest of the reply.
		c.Close()
	}
}

// SendResolution sends a resolution. An entry that doesn't receive it asks again.
func (s *Server) SendResolution(entry uint64, r *wire.Resolution) {
	s.sendToEntry(entry, r)
}

// SendReservation sends the answer to a capacity probe. An entry that doesn't receive it
// chooses another gate.
func (s *Server) SendReservation(entry uint64, r *wire.Reservation) {
	s.sendToEntry(entry, r)
}

func (s *Server) sendToEntry(entry uint64, m wire.Message) {
	s.mu.Lock()
	c, ok := s.latestConns[entry]
	s.mu.Unlock()
	if ok {
		_ = c.Send(m) // the entry acts itself if a full queue drops the message
	}
}

// SendWorkRequest sends a work request to an entry, or for entry 0 to the next entry in
// turn. It returns false if there is no link to the entry or the link refuses the message.
func (s *Server) SendWorkRequest(entry uint64, r *wire.WorkRequest) bool {
	s.mu.Lock()
	if entry == 0 {
		entry = s.nextEntry()
	}
	c, ok := s.latestConns[entry]
	s.mu.Unlock()
	return ok && c.Send(r) == nil
}

// nextEntry returns the next entry in turn, or 0 if no entry has a link. The iteration
// order of latestConns would choose some entries often and some never. The caller holds
// the server's lock.
func (s *Server) nextEntry() uint64 {
	if len(s.entries) == 0 {
		return 0
	}
	s.nextIndex++
	return s.entries[s.nextIndex%len(s.entries)]
}

// BroadcastUpdate sends an update of the store to all entries with a link. Entries that know no
// eras get the update that withoutEra returns, or nothing if that is nil; withoutEra is nil for
// an update that names no era.
func (s *Server) BroadcastUpdate(update *wire.StoreUpdate, withoutEra func() *wire.StoreUpdate) {
	var message wire.Message = update
	if withoutEra != nil {
		message = &wire.EraUpdate{Update: *update}
	}
	var plain *wire.StoreUpdate
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.latestConns {
		if c.Accepts(message.Kind()) {
			_ = c.Send(message) // an entry that misses the update asks the platform itself
			continue
		}
		if plain == nil {
			if plain = withoutEra(); plain == nil {
				return
			}
		}
		_ = c.Send(plain)
	}
}

// BroadcastCrashes sends a crash report to all entries with a link. The report arrives
// before anything that is sent to an entry later, such as the reply to a run that crashed.
func (s *Server) BroadcastCrashes(report *wire.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.latestConns {
		_ = c.Send(report) // an entry that misses it asks after the next heartbeat
	}
}

// BroadcastHeartbeat immediately sends a heartbeat on every link, for a status that must
// not wait for the next regular heartbeat.
func (s *Server) BroadcastHeartbeat() {
	heartbeat := s.config.Handler.Status()
	heartbeat.Time = s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		_ = c.Send(&heartbeat) // the next regular heartbeat repeats it
	}
}
