// Package entry takes callers' requests for any service, picks an upstream for
// each, sends it to the gate beside that upstream, and gives the caller the
// whole answer. It alone sees the whole service: it holds the floor, spends
// the retry budget and closes the account of every request.
package entry

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/resend"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// GateClient is the way to one node's gates: a peer, or this node itself.
type GateClient interface {
	// Dispatch sends a request. After an error nothing was sent.
	Dispatch(d *wire.Dispatch, w link.DispatchObserver) error
	Resolve(id wire.RequestID, attempt uint8)
	Forget(id wire.RequestID, attempt uint8)
	// Withdraw takes back a dispatch that still waits for a link, and reports
	// whether it did.
	Withdraw(id wire.RequestID, attempt uint8) bool
	// Abandon says that the caller has left, and forgets the dispatch.
	Abandon(id wire.RequestID, attempt uint8)
	// EnsureLink asks for an open link, to hear the state of the node's upstreams.
	EnsureLink()
	// ProbeCapacity asks the gate for a slot and tells its answer, if one comes, perhaps
	// after the enquiry's patience; nil where it couldn't be asked. After an error
	// nothing is asked.
	ProbeCapacity(e *wire.CapacityProbe, told func(*wire.Reservation)) error
	// ReleaseReservation lets go of a slot that was asked for.
	ReleaseReservation(w *wire.ReleaseReservation)
	// RevokeKey asks the node what it knows of a resend's key. After an error the
	// waiter isn't told.
	RevokeKey(v *wire.KeyRevocation, patience clock.Millis, w link.RevocationObserver) error
	ForgetRevocation(id wire.RequestID)
}

// Recorder takes in accounts and events.
type Recorder interface {
	RequestReceived()
	RequestFinished(now clock.Millis, r access.Record)
	RecordEvent(e access.Event)
}

// Config configures an Entry.
type Config struct {
	Domain string
	// Service names what runs beside the node. Requests without another name
	// of their caller are its own.
	Service string
	// Headers are the names that callers know; empty ones stand for
	// DefaultHeaders.
	Headers     Headers
	Incarnation uint64
	Seed        uint64
	Now         func() clock.Millis
	Pool        *ants.Pool
	Recorder    Recorder
	// GateClient returns the way to the node beside an upstream.
	GateClient func(u table.Upstream) GateClient
	// CrashTracker may be nil.
	CrashTracker CrashTracker
	// Quotas may be nil: client accounts have no limits then.
	Quotas Quotas
	// KeyMargin is by how much the age of an idempotency key may be
	// understated; 0 means resend.Margin.
	KeyMargin clock.Millis
	Log       logrus.FieldLogger
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	config          Config
	sequence        atomic.Uint64
	inFlight        atomic.Int64
	leaving         atomic.Bool
	routesChangedAt atomic.Int64 // when the routes changed last

	table        atomic.Pointer[table.Table]
	callerRates  atomic.Pointer[map[string]float64] // their own rates
	services     atomic.Pointer[map[string]*service]
	splitter     *Splitter
	failureTimes *failureTimes
	profiles     *latencyProfiles
	trialLocks   trialLocks

	mu    sync.Mutex // guards rates
	rates *limit.Rates
}

// maxCallers bounds the callers whose rates are remembered; the one heard
// least lately is forgotten first.
const maxCallers = 50_000

// New returns an entry without a table: it refuses requests until Update.
func New(c Config) *Entry {
	if c.KeyMargin == 0 {
		c.KeyMargin = resend.Margin
	}
	if c.Headers == (Headers{}) {
		c.Headers = DefaultHeaders()
	}
	e := &Entry{config: c, splitter: NewSplitter(c.Seed), failureTimes: &failureTimes{}, profiles: newLatencyProfiles(), trialLocks: trialLocks{running: map[quarantine.Fingerprint]chan struct{}{}}, rates: limit.NewRates(limit.RatesConfig{Seed: c.Seed, Callers: maxCallers})}
	e.services.Store(&map[string]*service{})
	e.callerRates.Store(&map[string]float64{})
	return e
}

// Update puts a table in force.
func (e *Entry) Update(t *table.Table) {
	old := *e.services.Load()
	next := make(map[string]*service, len(t.Services))
	for _, c := range t.Services {
		s, ok := old[c.Name]
		if !ok {
			seed := e.config.Seed + uint64(len(next))
			s = newService(c, e.config.Domain, seed, e.config.Recorder, e.config.Log)
		}
		s.update(c, e.config.GateClient)
		s.updateMembership(e.config.Now(), c, e.config.GateClient)
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

// UpdateUpstream takes in what a gate says of its upstream.
func (e *Entry) UpdateUpstream(u wire.Upstream) {
	if s, ok := e.serviceOf(u.Name); ok {
		s.updateUpstream(e.config.Now(), u)
	}
}

// serviceOf finds the service of an upstream by its name.
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

// HandleWorkRequest takes in a gate's wish for a request.
func (e *Entry) HandleWorkRequest(i *wire.WorkRequest) {
	if s, ok := e.serviceOf(i.Upstream); ok {
		s.handleWorkRequest(e.config.Now(), i)
	}
}

// UpdatePath takes in whether a node can be reached from here.
func (e *Entry) UpdatePath(node string, lost bool) {
	for _, s := range *e.services.Load() {
		s.updatePath(node, lost)
	}
}

// UpdateInstance takes in what the instance list says of a node.
func (e *Entry) UpdateInstance(node string, leaving bool) {
	for _, s := range *e.services.Load() {
		s.updateInstance(node, leaving)
	}
}

// Leave tells callers, with every answer from now on, to open their next
// connection elsewhere.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// InFlight returns how many requests are in flight.
func (e *Entry) InFlight() int {
	return int(e.inFlight.Load())
}

// States describes all upstreams as this entry sees them.
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

// Serve answers one request of a caller. A full pool refuses at once.
func (e *Entry) Serve(ctx *fasthttp.RequestCtx) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	defer e.closeIfLeaving(ctx)
	e.config.Recorder.RequestReceived()
	r := e.newRequest(ctx)
	defer r.watchCaller()()
	done := make(chan struct{})
	err := e.config.Pool.Submit(func() {
		defer close(done)
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

// ServeMalformed answers what the HTTP library could not read as a request.
func (e *Entry) ServeMalformed(ctx *fasthttp.RequestCtx, err error) {
	e.config.Recorder.RequestReceived()
	r := e.newRequest(ctx)
	status, reason := fasthttp.StatusBadRequest, access.ReasonCallerFault
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status, reason = fasthttp.StatusRequestEntityTooLarge, access.ReasonBodyTooLarge
	}
	e.config.Log.WithError(err).WithField("request", r.id.String()).Debug("malformed request")
	r.finish(refused(status, reason, 0))
}

// allow asks the limits: a caller's own, over all services, then the service's.
func (e *Entry) allow(now clock.Millis, s *table.Service, caller string) limit.Grant {
	own, has := (*e.callerRates.Load())[caller]
	e.mu.Lock()
	defer e.mu.Unlock()
	if has {
		if grant := e.rates.Allow(now, "", 0, caller, own); !grant.OK {
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
