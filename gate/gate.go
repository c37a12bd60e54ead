// Package gate is the only way to the backend server beside a node. It admits,
// queues briefly, runs or refuses each request, sees every outcome, and from
// these decides whether the backend server is set aside.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Backend runs one request at the backend server, errors as HTTP.Do returns
// them.
type Backend interface {
	Do(ctx context.Context, c *Call) (Response, error)
	// Probe asks the backend server's health endpoint.
	Probe(path string) bool
	// IsGone reports whether the backend server's process has ended.
	IsGone() bool
	// ResetConnections takes in that the backend server is another process from now on.
	ResetConnections()
	Close()
}

// Detector holds the verdict on the upstream.
type Detector interface {
	Admit(now clock.Millis, repeatable bool) bool
	Observe(now clock.Millis, o health.Observation) bool
	SetBaseline(b health.Baseline)
	Status(now clock.Millis) health.Status
	LocalBaseline() health.Baseline
	OverdueAfter() clock.Millis
}

// newDetector returns the judge that a service's caution asks for.
func newDetector(caution table.Caution, seed uint64) Detector {
	if caution == table.ShortEpisodes {
		return episode.NewDetector()
	}
	return health.New(health.Config{Caution: caution, Seed: seed})
}

// Journal takes in what the gate decides.
type Journal interface {
	RecordEvent(e access.Event)
}

// RefusalRecorder counts dispatches that a gate refused to run.
type RefusalRecorder interface {
	RecordRefusal(service, upstream string, reason wire.Reason)
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
	Journal     Journal
	// OnChange is told of news that entries should hear at once; it may be nil
	// and must not block.
	OnChange func()
	// DependencyFailed reports whether a call that the backend server made through this
	// node failed within a span: what failed then may not be its own fault. It
	// may be nil.
	DependencyFailed func(from, to clock.Millis) bool
	// RequestWork asks an entry, or any one for entry 0, for a request, and returns
	// false where it can't be reached. It may be nil and must not block.
	RequestWork func(entry uint64, i *wire.WorkRequest) bool
	// OnHung tells an entry that a run most likely comes to no end. It may be nil and must
	// not block.
	OnHung func(entry uint64, s *wire.HungRun)
	// Crashes may be nil.
	Crashes CrashTracker
	// Refusals may be nil.
	Refusals RefusalRecorder
	// Keys is shared by all gates of a node.
	Keys *KeyStore
	// Previous is the gate that an upstream of this name had before; nil without.
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
	jobs     map[uint64]*job
	// waiters are the enquiries that wait, by ticket, and holds the slots kept for
	// dispatches that were announced.
	waiters      map[uint64]*waiter
	reservations map[lease.Key]*time.Timer
	lastTicket   uint64
	// senders are the entries that lately sent what may be repeated; invited counts
	// the invitations that they got.
	senders       []uint64
	workRequests  int
	leaving       bool // for good since endedAt, as the node is shutting down or has another gate
	endedAt       clock.Millis
	listedLeaving bool // as the instance list says
	leavingSince  clock.Millis
	state         health.State
	level         episode.Level
	// generation counts the processes that the upstream has been.
	generation int
	crash      crashState
	// succeeded holds marks of requests that succeeded in this process.
	succeeded []uint64
	// trialTicket is the ticket of the suspected request that runs, parked those that wait
	// for its end, each with a slot.
	trialTicket uint64
	parked      []*job
}

// job is one dispatch that waits for a slot or runs.
type job struct {
	dispatch *wire.Dispatch
	answer   func(*wire.Reply)
	key      lease.Key
	ticket   uint64
	deadline clock.Millis
	running  bool
	overdue  bool
	// run is the judge's own of it, nil where that keeps none.
	run *episode.Run
	// generation is the upstream's when the run began. One of a process that is gone holds
	// no slot, and speaks for or against nobody.
	generation int
	began      clock.Millis
	// isTrial says that it runs as a suspect, beside no other one.
	isTrial bool
	timer   *time.Timer
	// cancel breaks off the call; it is set while it runs.
	cancel  context.CancelFunc
	refusal *wire.Reply // when its key may not run here
}

// New returns a gate that admits requests.
func New(c Config) *Gate {
	g := &Gate{
		config:       c,
		log:          c.Log.WithFields(logrus.Fields{"service": c.Service.Name, "upstream": c.Upstream.Name}),
		createdAt:    c.Now(),
		service:      c.Service,
		upstream:     c.Upstream,
		dedup:        lease.NewDeduplicator[*wire.Reply](c.Incarnation),
		detector:     newDetector(c.Service.Caution, c.Seed),
		slots:        limit.NewSlots(slotsOf(&c.Service, &c.Upstream, c.Seed)),
		quota:        retry.NewQuota(c.Now(), quotaOf(&c.Service)),
		jobs:         map[uint64]*job{},
		waiters:      map[uint64]*waiter{},
		reservations: map[lease.Key]*time.Timer{},
	}
	g.previous.Store(c.Previous)
	if c.RequestWork != nil {
		time.AfterFunc(workRequestInterval.Duration(), g.requestWork)
	}
	return g
}

// queuePerSlot is how many places there are in a queue for each slot where
// requests wait at several gates at once: most of the places are given up again.
const queuePerSlot = 3

func slotsOf(s *table.Service, u *table.Upstream, seed uint64) limit.SlotsConfig {
	c := limit.SlotsConfig{Slots: u.Slots, Queue: s.Queue, Seed: seed}
	if s.Caution == table.ShortEpisodes {
		c.Queue = max(c.Queue, queuePerSlot*u.Slots)
	}
	return c
}

func quotaOf(s *table.Service) retry.QuotaConfig {
	return retry.QuotaConfig{Share: s.RetryRatio, Extra: s.ExtraRetries, Window: s.RetryWindow, Upstreams: len(s.Upstreams)}
}

// Handle takes in a dispatch. The answer function is called once, or never for
// a duplicate, whose first copy is answered.
func (g *Gate) Handle(d *wire.Dispatch, answer func(*wire.Reply)) {
	now := g.config.Now()
	key := d.ID.Key(d.Attempt)
	if before, ok := g.previous.Load().findGate(key); ok {
		before.Handle(d, answer)
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
		answer(reply)
		return
	}
	if g.takeReservation(key) {
		g.runReserved(now, key, verdict, d, answer)
		return
	}
	if d.Verdict == uint8(quarantine.Quarantined) && g.quarantineAdmission(d) == quarantine.Refuse {
		g.refuse(now, key, d, answer, wire.ReasonQuarantined, 0) // at once, and not after a wait for a slot
		return
	}
	reason, after := g.refusalReason(now, verdict, admission{isRepeatable: d.Repeatable, isRetry: d.Retry, isForced: d.Forced})
	if reason != "" {
		g.refuse(now, key, d, answer, reason, after)
		return
	}
	g.schedule(now, key, d, answer)
}

// updateBaseline takes over the service's baseline as the entry sees it.
func (g *Gate) updateBaseline(d *wire.Dispatch) {
	if d.Baseline.Known {
		g.detector.SetBaseline(d.Baseline.ToHealth())
	}
}

// runReserved runs a dispatch in the slot that was kept for it. It was admitted when
// that was asked for; what can have changed since ends it. It unlocks the gate.
func (g *Gate) runReserved(now clock.Millis, key lease.Key, verdict lease.Verdict, d *wire.Dispatch, answer func(*wire.Reply)) {
	until := min(now+d.Budget, d.Lease)
	if verdict == lease.Fresh && !g.isLeaving() && !g.crash.isDown && now < until {
		g.lastTicket++
		j := &job{dispatch: d, answer: answer, key: key, ticket: g.lastTicket, deadline: until}
		g.jobs[j.ticket] = j
		g.mu.Unlock()
		g.start(j)
		return
	}
	calls := g.releaseSlot(now)
	reason := wire.ReasonLeaving
	switch {
	case verdict != lease.Fresh:
		reason = wire.ReasonStaleLease
	case g.crash.isDown:
		reason = wire.ReasonConnectionRefused
	}
	g.refuse(now, key, d, answer, reason, 0)
	callAll(calls)
}

// schedule gives a dispatch a slot, a place in the queue, or a refusal. It
// unlocks the gate.
func (g *Gate) schedule(now clock.Millis, key lease.Key, d *wire.Dispatch, answer func(*wire.Reply)) {
	g.lastTicket++
	j := &job{dispatch: d, answer: answer, key: key, ticket: g.lastTicket, deadline: min(now+d.Budget, d.Lease)}
	patience := j.deadline
	if d.NoQueue {
		patience = now
	}
	offer := g.slots.Acquire(now, limit.Request{Ticket: j.ticket, Deadline: j.deadline, Until: patience, Priority: d.Priority})
	switch offer.Result {
	case limit.Run:
		g.jobs[j.ticket] = j
		g.mu.Unlock()
		g.start(j)
	case limit.Wait:
		g.jobs[j.ticket] = j
		j.timer = time.AfterFunc((patience - now + 1).Duration(), g.expireWaiters)
		late := g.refuseExpired(now) // whose place it may have taken
		g.mu.Unlock()
		callAll(late)
	case limit.Late:
		g.refuse(now, key, d, answer, wire.ReasonDeadlineTooShort, offer.RetryAfter)
	default:
		g.refuse(now, key, d, answer, wire.ReasonFull, offer.RetryAfter)
	}
}

// Update puts a table edit in force.
func (g *Gate) Update(s table.Service, u table.Upstream) {
	g.mu.Lock()
	if s.Caution != g.service.Caution {
		g.detector = newDetector(s.Caution, g.config.Seed)
	}
	before, started := g.isLeaving(), g.upstream.Started
	g.service, g.upstream = s, u
	g.quota.Adjust(quotaOf(&s))
	late := g.startLeaving(before, "zero weight")
	late = append(late, g.refuseExpired(g.config.Now())...) // first: a new slot must not go to one of them
	now := g.config.Now()
	late = append(late, g.startWaiters(now, g.slots.Resize(slotsOf(&s, &u, g.config.Seed)))...)
	if started != u.Started {
		late = append(late, g.restart(now)...)
	}
	g.mu.Unlock()
	callAll(late)
}

// ProbeHealth asks the backend server's health endpoint, if the table names one, and
// takes the result in. It blocks for the answer.
func (g *Gate) ProbeHealth() {
	g.mu.Lock()
	path := g.service.ProbePath
	judge, heeds := g.detector.(probeRecorder)
	g.mu.Unlock()
	if path == "" || !heeds {
		return
	}
	ok := g.config.Backend.Probe(path)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	judge.RecordProbe(now, ok)
	g.recordState(now)
}

// probeRecorder is a judge that heeds probes. Each takes 25 ms of a slot, and where health
// answers say that all is well in an episode, too, they are in vain.
type probeRecorder interface {
	RecordProbe(now clock.Millis, ok bool)
}

// Pending returns how many requests wait or run.
func (g *Gate) Pending() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs)
}

// Close lets go of the backend server's connections.
func (g *Gate) Close() {
	g.config.Backend.Close()
}

// Serves reports whether the gate is that of a service's upstream at an
// address. An edit of either needs a gate of its own: what was learned is of
// another backend server.
func (g *Gate) Serves(service, address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service.Name == service && g.upstream.Address == address
}
