// Package gate controls all access to the backend server beside a node. It admits,
// queues briefly, runs or refuses each request, observes every outcome, and decides
// from the outcomes whether the backend server is ejected.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/announcement"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/rendezvous"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Backend runs requests at the backend server.
type Backend interface {
	// Do runs one request. It returns the errors that HTTP.Do returns.
	Do(ctx context.Context, c *Call) (Response, error)
	// Probe reports whether the backend server's health endpoint responds 2xx.
	Probe(path string) bool
	// IsGone reports whether the backend server's process has ended.
	IsGone() bool
	// ResetConnections drops the connections to the previous process, those opened before the
	// given time, after the backend server was restarted.
	ResetConnections(openedBefore time.Time)
	Close()
}

// Detector decides from outcomes whether the upstream is in use, ejected or recovering.
type Detector interface {
	Admit(now clock.Millis, repeatable bool) bool
	Observe(now clock.Millis, o health.Observation) bool
	SetBaseline(b health.Baseline)
	Status(now clock.Millis) health.Status
	LocalBaseline() health.Baseline
	OverdueAfter() clock.Millis
}

// newDetector returns the failure detector for a service's caution setting.
func newDetector(caution table.Caution, seed uint64) Detector {
	if caution == table.ShortEpisodes {
		return episode.NewDetector()
	}
	return health.New(health.Config{Caution: caution, Seed: seed})
}

// Recorder records the gate's decisions.
type Recorder interface {
	RecordEvent(e access.Event)
}

// Config configures a Gate.
type Config struct {
	Service     table.Service
	Upstream    table.Upstream
	Incarnation uint64
	Seed        uint64
	Now         func() clock.Millis
	Backend     Backend
	Pool        *ants.Pool
	Recorder    Recorder
	// OnChange is called when the gate's status should be sent to entries immediately. It
	// may be nil and must not block.
	OnChange func()
	// DependencyFailed reports whether a call that the backend server made through this
	// node failed within a time span: the backend server's failures in that span may not
	// be its own fault. It may be nil.
	DependencyFailed func(from, to clock.Millis) bool
	// RequestWork asks an entry, or any entry if entry is 0, for a request, and returns
	// false if the entry can't be reached. It may be nil and must not block.
	RequestWork func(entry uint64, r *wire.WorkRequest) bool
	// OnHung notifies an entry that a run has most likely hung. It may be nil and must
	// not block.
	OnHung func(entry uint64, r *wire.HungRun)
	// SendProfile sends an entry what the gate knows about its upstream. It may be nil and
	// must not block.
	SendProfile func(entry uint64, p *wire.UpstreamProfile)
	// OnProfile sends what the gate has learned about its upstream to entries. It may be nil
	// and must not block.
	OnProfile func(p *wire.UpstreamProfile)
	// Crashes may be nil.
	Crashes CrashTracker
	// Panics may be nil.
	Panics PanicRecorder
	// Refusals may be nil.
	Refusals RefusalRecorder
	// Retries may be nil.
	Retries RetryRecorder
	// AccountWeight returns the weight of a client account in the table, or 0 for the default. It
	// may be nil and must not block.
	AccountWeight func(account string) float64
	// HasProcessNames means that a process which replaces the upstream's has another name.
	HasProcessNames bool
	// Keys is shared by all gates of a node.
	Keys *KeyStore
	// Previous is the gate that an upstream of this name had before, or nil.
	Previous *Gate
	Log      logrus.FieldLogger
}

// Gate guards one upstream. It is safe for concurrent use.
type Gate struct {
	config    Config
	log       logrus.FieldLogger
	createdAt clock.Millis
	previous  atomic.Pointer[Gate]

	mu       sync.Mutex
	service  table.Service
	upstream table.Upstream
	dedup    *lease.Deduplicator[*wire.Reply]
	detector Detector
	slots    *limit.Slots
	quota    *retry.Quota
	shed     *retry.ShedMeter
	jobs     map[uint64]*job
	// waiters are the queued capacity probes by ticket. reservations are the timers of
	// slots reserved for dispatches that have not arrived yet.
	waiters      map[uint64]*waiter
	reservations map[lease.Key]*time.Timer
	lastTicket   uint64
	// senders are the entries that recently sent repeatable requests; workRequests counts
	// the work requests made.
	senders      []uint64
	workRequests int
	leaving      bool // permanent since endedAt: the node shuts down or has replaced this gate
	endedAt      clock.Millis
	// stop is when the node of a leaving gate stops.
	stop          departure.Stop
	listedLeaving bool // the instance list marks the instance as leaving
	leavingSince  clock.Millis
	state         health.State
	level         episode.Level
	// generation counts the restarts of the upstream's process that the table has shown. goneAt is
	// when the process was last seen to be gone, if it was in this generation.
	generation int
	wasGone    bool
	goneAt     clock.Millis
	// announced is what the backend server last stated about itself. pacedTimer is set while
	// a waiter waits only for the backend server's rate limit.
	announced announcement.Announcement
	// announcedAt is when the response arrived that announced comes from. hasResponse means
	// that it arrived here, otherwise isTaught that entries have told this gate of it.
	announcedAt           clock.Millis
	hasResponse, isTaught bool
	pacedTimer            *time.Timer
	crash                 crashState
	profile               profileState
	// succeeded is a hash table, without chaining, of requests that succeeded in this
	// process.
	succeeded []uint64
	// trialTicket is the ticket of the suspected request that runs, 0 if none does. parked
	// are the suspected requests that wait for its end; each holds a slot.
	trialTicket uint64
	parked      []*job
}

// job is one dispatch that waits for a slot or runs.
type job struct {
	dispatch *wire.Dispatch
	respond  func(*wire.Reply)
	key      lease.Key
	ticket   uint64
	arrived  clock.Millis
	deadline clock.Millis
	running  bool
	overdue  bool
	// run is the detector's record of the run, nil if the detector keeps none.
	run *episode.Run
	// generation is the upstream's when the run began. A run of an earlier generation holds
	// no slot, and its outcome doesn't count for or against the current process.
	generation int
	began      clock.Millis
	// concurrent is the number of runs at the upstream when this one began, with it.
	concurrent int
	// isTrial means that the request is suspected and runs while no other suspect does.
	isTrial bool
	timer   *time.Timer
	// cancel ends the call early; it is set while a repeatable request runs.
	cancel  context.CancelFunc
	refusal *wire.Reply // the reply if the idempotency key may not run here
	isCut   bool        // Cut has replied
}

// New returns a gate that admits requests. If RequestWork is set, the gate starts to check
// whether the upstream needs requests.
func New(c Config) *Gate {
	g := &Gate{
		config:       c,
		log:          c.Log.WithFields(logrus.Fields{"service": c.Service.Name, "upstream": c.Upstream.Name}),
		createdAt:    c.Now(),
		service:      c.Service,
		upstream:     c.Upstream,
		dedup:        lease.NewDeduplicator[*wire.Reply](c.Incarnation),
		detector:     newDetector(c.Service.Caution, c.Seed),
		slots:        limit.NewSlots(c.slots(&c.Service, &c.Upstream)),
		quota:        retry.NewQuota(c.Now(), quotaConfig(&c.Service, c.Upstream.Name)),
		shed:         retry.NewShedMeter(),
		jobs:         map[uint64]*job{},
		waiters:      map[uint64]*waiter{},
		reservations: map[lease.Key]*time.Timer{},
	}
	g.previous.Store(c.Previous)
	g.inheritAnnouncement(c.Previous)
	g.keepConnections(&c.Service)
	if c.RequestWork != nil {
		g.after(workRequestInterval, g.requestWork)
	}
	return g
}

func quotaConfig(s *table.Service, upstream string) retry.QuotaConfig {
	return retry.QuotaConfig{
		Share: s.RetryRatio, Extra: s.ExtraRetries, Window: s.RetryWindow, Upstreams: len(s.Upstreams),
		ByPriority: s.Waiting == table.WaitForService, Rounding: rendezvous.Fraction("retries", upstream),
	}
}

// Handle runs, queues or refuses a dispatch. It calls respond once, or never for a
// duplicate: only the first copy gets a reply.
func (g *Gate) Handle(d *wire.Dispatch, respond func(*wire.Reply)) {
	now := g.config.Now()
	key := d.ID.Key(d.Attempt)
	if previous, ok := g.previous.Load().findGate(key); ok {
		previous.Handle(d, respond)
		return
	}
	g.mu.Lock()
	verdict := g.dedup.Accept(now, key, d.Incarnation, d.Lease)
	if verdict == lease.Duplicate {
		g.mu.Unlock()
		return
	}
	g.updateBaseline(d)
	g.recordSender(d.ID.Entry, d.Repeatable)
	if reply, ok := g.keyRefusal(now, d); ok && verdict == lease.Fresh {
		g.recordReply(now, &job{key: key}, reply)
		g.mu.Unlock()
		respond(reply)
		return
	}
	if g.takeReservation(key) {
		g.runReserved(now, key, verdict, d, respond)
		return
	}
	if d.Verdict == uint8(quarantine.Quarantined) && g.quarantineAdmission(d) == quarantine.Refuse {
		g.refuse(now, key, d, respond, wire.ReasonQuarantined, 0) // before the dispatch waits for a slot
		return
	}
	reason, retryAfter := g.refusalReason(now, verdict, dispatchAdmission(now, d))
	if reason != "" {
		g.refuse(now, key, d, respond, reason, retryAfter)
		return
	}
	g.schedule(now, key, d, respond)
}

// updateBaseline applies the service's baseline that a dispatch carries from its entry.
func (g *Gate) updateBaseline(d *wire.Dispatch) {
	if d.Baseline.Known {
		g.detector.SetBaseline(d.Baseline.ToHealth())
	}
}

// runReserved runs a dispatch in the slot reserved for it. The capacity probe was admitted
// when the slot was reserved, so runReserved refuses the dispatch only for conditions that
// can have changed since. It is called with the gate's lock held and unlocks the gate.
func (g *Gate) runReserved(now clock.Millis, key lease.Key, verdict lease.Verdict, d *wire.Dispatch, respond func(*wire.Reply)) {
	deadline := dispatchDeadline(now, d)
	if verdict == lease.Fresh && !g.isLeaving() && g.stop.Admits(dispatchRun(now, deadline, d)) && !g.crash.isDown && now < deadline {
		g.lastTicket++
		j := &job{dispatch: d, respond: respond, key: key, ticket: g.lastTicket, arrived: now, deadline: deadline}
		g.jobs[j.ticket] = j
		g.mu.Unlock()
		g.start(j)
		return
	}
	calls := g.returnSlot(now)
	reason := wire.ReasonLeaving
	switch {
	case verdict != lease.Fresh:
		reason = wire.ReasonStaleLease
	case g.crash.isDown:
		reason = wire.ReasonConnectionRefused
	}
	g.refuse(now, key, d, respond, reason, 0)
	callAll(calls)
}

// schedule starts a dispatch in a free slot, queues it or refuses it. It is called with the
// gate's lock held and unlocks the gate.
func (g *Gate) schedule(now clock.Millis, key lease.Key, d *wire.Dispatch, respond func(*wire.Reply)) {
	g.lastTicket++
	j := &job{dispatch: d, respond: respond, key: key, ticket: g.lastTicket, arrived: now, deadline: dispatchDeadline(now, d)}
	waitUntil := j.deadline
	if d.NoQueue {
		waitUntil = now
	}
	decision := g.slots.Acquire(now, limit.Request{Ticket: j.ticket, Deadline: j.deadline, Until: waitUntil, Priority: d.Priority, Account: d.Account, NoPacedWait: true})
	switch decision.Result {
	case limit.Run:
		g.jobs[j.ticket] = j
		g.mu.Unlock()
		g.start(j)
	case limit.Wait:
		g.jobs[j.ticket] = j
		j.timer = g.after(waitUntil-now+1, g.expireWaiters)
		expired := g.refuseExpired(now) // the dispatch may have taken the queue position of an expired waiter
		g.schedulePaced(now)
		g.mu.Unlock()
		callAll(expired)
	default:
		g.refuse(now, key, d, respond, slotRefusal(decision.Result), decision.RetryAfter)
	}
}

// slotRefusal returns the reason for which a request for a slot was refused.
func slotRefusal(r limit.Result) wire.Reason {
	switch r {
	case limit.Late:
		return wire.ReasonDeadlineTooShort
	case limit.Paced:
		return wire.ReasonRateLimit
	default:
		return wire.ReasonFull
	}
}

// Update applies a change of the service or the upstream in the table.
func (g *Gate) Update(s table.Service, u table.Upstream) {
	g.mu.Lock()
	if s.Caution != g.service.Caution {
		g.detector = newDetector(s.Caution, g.config.Seed)
	}
	wasLeaving, started := g.isLeaving(), g.upstream.Started
	g.service, g.upstream = s, u
	g.quota.Adjust(quotaConfig(&s, u.Name))
	g.keepConnections(&s)
	if wasLeaving && !g.isLeaving() {
		g.notifyChange() // the node's own entry gets no regular heartbeats
	}
	calls := g.startLeaving(wasLeaving, "zero weight")
	calls = append(calls, g.refuseExpired(g.config.Now())...) // first, so that no new slot goes to an expired waiter
	now := g.config.Now()
	calls = append(calls, g.startWaiters(now, g.slots.Resize(g.config.slots(&s, &u)))...)
	if started != u.Started {
		calls = append(calls, g.restart(now)...)
	}
	g.mu.Unlock()
	callAll(calls)
}

// Pending returns the number of dispatches that wait or run, those at previous gates included.
func (g *Gate) Pending() int {
	count := 0
	for current := g; current != nil; current = current.previous.Load() {
		current.mu.Lock()
		count += len(current.jobs)
		current.mu.Unlock()
	}
	return count
}

// Close closes the connections to the backend server.
func (g *Gate) Close() {
	g.config.Backend.Close()
}

// Serves reports whether the gate belongs to the given service and upstream address. If
// either changes in the table, the upstream needs a new gate: the state of this one belongs
// to another backend server.
func (g *Gate) Serves(service, address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service.Name == service && g.upstream.Address == address
}
