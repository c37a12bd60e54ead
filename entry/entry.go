// Package entry accepts callers' requests for all services, picks an upstream for each
// request, sends the request to the gate beside that upstream and returns the complete
// answer to the caller. Only the entry sees a whole service, so it enforces the floor,
// spends the retry budget and records the final outcome of every request.
package entry

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/announcement"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/memory"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/resend"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// GateClient sends messages to the gates of one node, which is a peer or this node
// itself.
type GateClient interface {
	// Dispatch sends a request. If it returns an error, nothing was sent.
	Dispatch(d *wire.Dispatch, observer link.DispatchObserver) error
	// Resolve asks the gate for the unknown outcome of a dispatch. The gate revokes a
	// dispatch that has not begun.
	Resolve(id wire.RequestID, attempt uint8)
	// Forget drops the observer of a dispatch without a message to the gate.
	Forget(id wire.RequestID, attempt uint8)
	// Withdraw cancels a dispatch that is still waiting for a link, and reports whether
	// it did.
	Withdraw(id wire.RequestID, attempt uint8) bool
	// Abandon notifies the gate that nobody waits for the outcome, and forgets the dispatch.
	Abandon(id wire.RequestID, attempt uint8)
	// EnsureLink requests an open link, over which the node sends its upstreams' state.
	EnsureLink()
	// ProbeCapacity asks the gate for a slot. The gate's answer, if there is one, is
	// passed to onReply, possibly only after the probe's wait budget; a nil answer means
	// that the gate couldn't be asked. If ProbeCapacity returns an error, nothing was
	// asked.
	ProbeCapacity(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) error
	// ClaimSlot sends a claim to its gate. If it returns an error, nothing was sent and the
	// observer isn't called.
	ClaimSlot(claim *wire.SlotClaim, observer link.ClaimObserver) error
	// KeepsAnnouncements reports whether a link is open to a gate that keeps what its upstream
	// has announced, and was told first what this entry knows. Gates of older releases don't.
	KeepsAnnouncements() bool
	// ReleaseReservation releases a slot that was asked for.
	ReleaseReservation(r *wire.ReleaseReservation)
	// RevokeKey asks the node for the status of a resend's idempotency key and revokes
	// the key there if it has not run. If RevokeKey returns an error, the observer is not
	// called.
	RevokeKey(r *wire.KeyRevocation, waitBudget clock.Millis, observer link.RevocationObserver) error
	// ForgetRevocation drops a key revocation that needs no answer any more.
	ForgetRevocation(id wire.RequestID)
}

// Recorder receives request records and events.
type Recorder interface {
	RequestReceived()
	RequestFinished(now clock.Millis, r access.Record)
	RecordEvent(e access.Event)
}

// RetryRecorder counts the rulings of the retry budget.
type RetryRecorder interface {
	RecordRetry(service string, ruling retry.Ruling)
}

// Config configures an Entry.
type Config struct {
	Domain string
	// Service names the service that runs beside the node. If it is set, it is the caller
	// of all requests.
	Service string
	// Headers are the header names that callers use; the zero value stands for
	// DefaultHeaders.
	Headers Headers
	// Announcements are the headers in which upstreams make statements about themselves.
	Announcements announcement.Headers
	Incarnation   uint64
	Seed          uint64
	Now           func() clock.Millis
	Pool          *ants.Pool
	// MaxBody is the maximum size of a request's body in bytes; 0 means that of the HTTP library.
	MaxBody int
	// Memory bounds the bodies of all requests together; nil means that they have no bound.
	Memory   *memory.Budget
	Recorder Recorder
	// Retries may be nil.
	Retries RetryRecorder
	// GateClient returns the client for the node beside an upstream.
	GateClient func(u table.Upstream) GateClient
	// CrashTracker may be nil.
	CrashTracker CrashTracker
	// Claims may be nil.
	Claims ClaimRecorder
	// WriteTimeout is how long a caller may take to read an answer; 0 means that it has no limit.
	WriteTimeout clock.Millis
	// Deliveries may be nil.
	Deliveries DeliveryRecorder
	// Quotas may be nil: client accounts then have no limits.
	Quotas Quotas
	// KeyMargin is how much older an idempotency key may be than its caller states; 0
	// means resend.Margin.
	KeyMargin clock.Millis
	// Panics may be nil.
	Panics PanicRecorder
	Log    logrus.FieldLogger
}

// Entry serves callers' requests. It is safe for concurrent use.
type Entry struct {
	config          Config
	sequence        atomic.Uint64
	inFlight        atomic.Int64
	leaving         atomic.Bool
	departure       atomic.Pointer[departure.Stop] // nil unless the node is leaving
	stopOnce        sync.Once
	stopped         chan struct{} // closed by Stop
	routesChangedAt atomic.Int64  // time of the last change of routes

	table        atomic.Pointer[table.Table]
	callerRates  atomic.Pointer[map[string]float64] // rate limits of individual callers
	services     atomic.Pointer[map[string]*service]
	splitter     *Splitter
	failureTimes *failureTimes
	profiles     *latencyProfiles
	sizes        *sizeProfiles
	trialLocks   trialLocks

	mu    sync.Mutex // guards rates
	rates *limit.Rates
}

// maxCallers bounds the callers whose rates are tracked. When it is exceeded, the least
// recently seen caller is dropped.
const maxCallers = 50_000

// New returns an entry without a table. The entry refuses all requests until the first
// Update.
func New(c Config) *Entry {
	if c.KeyMargin == 0 {
		c.KeyMargin = resend.Margin
	}
	if c.Headers == (Headers{}) {
		c.Headers = DefaultHeaders()
	}
	e := &Entry{config: c, stopped: make(chan struct{}), splitter: NewSplitter(c.Seed), failureTimes: &failureTimes{}, profiles: newLatencyProfiles(), sizes: newSizeProfiles(), trialLocks: trialLocks{running: map[quarantine.Fingerprint]chan struct{}{}}, rates: limit.NewRates(limit.RatesConfig{Seed: c.Seed, Callers: maxCallers})}
	e.services.Store(&map[string]*service{})
	e.callerRates.Store(&map[string]float64{})
	return e
}

// Update applies a table.
func (e *Entry) Update(t *table.Table) {
	old := *e.services.Load()
	next := make(map[string]*service, len(t.Services))
	senders := countNodes(t)
	for _, c := range t.Services {
		s, ok := old[c.Name]
		if !ok {
			seed := e.config.Seed + uint64(len(next))
			s = newService(c, e.config.Domain, seed, e.config.Recorder, e.config.Log)
		}
		now := e.config.Now()
		s.update(now, c, senders, e.config.GateClient)
		s.updateMembership(now, c, e.config.GateClient)
		next[c.Name] = s
	}
	callers := make(map[string]float64, len(t.Callers))
	for _, c := range t.Callers {
		callers[c.Name] = c.Rate
	}
	e.callerRates.Store(&callers)
	e.recordRouteChange(e.table.Load(), t)
	e.services.Store(&next)
	e.table.Store(t)
	e.profiles.prune(func(service string) bool { _, ok := next[service]; return ok })
}

// countNodes returns the number of nodes that the table names.
func countNodes(t *table.Table) int {
	nodes := map[string]struct{}{}
	for i := range t.Services {
		for j := range t.Services[i].Upstreams {
			nodes[t.Services[i].Upstreams[j].Node] = struct{}{}
		}
	}
	return len(nodes)
}

// UpdateUpstream records the state that a gate reports of its upstream.
func (e *Entry) UpdateUpstream(u wire.Upstream) {
	if s, ok := e.serviceOf(u.Name); ok {
		s.updateUpstream(e.config.Now(), u)
	}
}

// serviceOf returns the service of an upstream, or false if the table has no such
// upstream.
func (e *Entry) serviceOf(upstream string) (*service, bool) {
	t := e.table.Load()
	if t == nil {
		return nil, false
	}
	c, _, ok := t.Upstream(upstream)
	if !ok {
		return nil, false
	}
	s, found := (*e.services.Load())[c.Name]
	return s, found
}

// HandleWorkRequest records that a gate asks for a request.
func (e *Entry) HandleWorkRequest(r *wire.WorkRequest) {
	if s, ok := e.serviceOf(r.Upstream); ok {
		s.handleWorkRequest(e.config.Now(), r)
	}
}

// UpdatePath records whether the path from here to a node is lost.
func (e *Entry) UpdatePath(node string, lost bool) {
	for _, s := range *e.services.Load() {
		s.updatePath(node, lost)
	}
}

// UpdateInstance records whether the instance list marks a node as leaving.
func (e *Entry) UpdateInstance(node string, leaving bool) {
	for _, s := range *e.services.Load() {
		s.updateInstance(node, leaving)
	}
}

// Leave makes every answer from now on close its connection, so that callers open their
// next connection to another node.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int {
	return int(e.inFlight.Load())
}

// States returns the state of every upstream as this entry sees it, or nil without a
// table.
func (e *Entry) States() []access.UpstreamState {
	var all []access.UpstreamState
	t := e.table.Load()
	if t == nil {
		return nil
	}
	now := e.config.Now()
	services := *e.services.Load()
	for _, c := range t.Services {
		if s, ok := services[c.Name]; ok {
			all = append(all, s.states(now)...)
		}
	}
	return all
}

// Serve answers one request of a caller. If the pool is full, it refuses the request
// immediately.
func (e *Entry) Serve(ctx *fasthttp.RequestCtx) {
	defer e.recoverServe(ctx)
	body := receivedBody{budget: e.config.Memory, maxSize: e.config.MaxBody}
	defer body.release()
	if err := body.receive(ctx); err != nil {
		e.refuseBody(ctx, err)
		return
	}
	e.serveReceived(ctx, body.bytes)
}

// serveReceived answers a request whose body has been received. The request is in flight until its answer
// is written.
func (e *Entry) serveReceived(ctx *fasthttp.RequestCtx, body []byte) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	defer e.closeIfLeaving(ctx)
	defer e.flushAnswer(ctx)
	defer e.recoverServe(ctx)
	e.config.Recorder.RequestReceived()
	r := e.newRequest(ctx)
	r.body = body
	defer r.watchCaller()()
	done := make(chan struct{})
	err := e.config.Pool.Submit(func() {
		defer close(done)
		defer r.recoverServing()
		r.serve()
	})
	if err != nil {
		r.finish(refused(fasthttp.StatusServiceUnavailable, access.ReasonBusy, clock.Second))
		return
	}
	<-done
}

func (e *Entry) closeIfLeaving(ctx *fasthttp.RequestCtx) {
	if e.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// flushAnswer makes the HTTP server write the answer as soon as the handler returns. The server
// otherwise keeps it until it has answered all requests that it has read from the connection. It
// doesn't do so after an answer with a write deadline of its own.
func (e *Entry) flushAnswer(ctx *fasthttp.RequestCtx) {
	if _, ok := ctx.Conn().(CallerConn); !ok {
		return
	}
	var deadline time.Time
	if e.config.WriteTimeout > 0 {
		deadline = time.Now().Add(e.config.WriteTimeout.Duration())
	}
	_ = ctx.SetWriteDeadline(deadline) // fails on a closed connection, as the write will
}

// ServeMalformed answers a request that the HTTP library could not parse.
func (e *Entry) ServeMalformed(ctx *fasthttp.RequestCtx, err error) {
	defer e.recoverServe(ctx)
	e.config.Recorder.RequestReceived()
	r := e.newRequest(ctx)
	status, reason := fasthttp.StatusBadRequest, access.ReasonCallerFault
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status, reason = fasthttp.StatusRequestEntityTooLarge, access.ReasonBodyTooLarge
	}
	e.config.Log.WithError(err).WithField("request", r.id.String()).Debug("malformed request")
	r.finish(refused(status, reason, 0))
}

// allow applies the caller's own rate limit over all services, then the service's limits.
func (e *Entry) allow(now clock.Millis, s *table.Service, caller string) limit.Grant {
	rate, ok := (*e.callerRates.Load())[caller]
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		if grant := e.rates.Allow(now, "", 0, caller, rate); !grant.OK {
			return grant
		}
	}
	return e.rates.Allow(now, s.Name, s.Rate, caller, s.CallerRate)
}

func parseMillis(text []byte) (clock.Millis, bool) {
	if len(text) == 0 {
		return 0, false
	}
	n, err := strconv.ParseInt(string(text), 10, 32)
	return clock.Millis(n), err == nil && n > 0
}
