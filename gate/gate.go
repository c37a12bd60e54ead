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
	"fuchsiapick.example/fuchsiapick/grade"
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
	Do(ctx context.Context, c *Call) (Answer, error)
	// Probe asks the backend server's health endpoint.
	Probe(path string) bool
	// IsGone reports whether the backend server's process has ended.
	IsGone() bool
	// Renew takes in that the backend server is another process from now on.
	Renew()
	Close()
}

// Judge holds the verdict on the upstream.
type Judge interface {
	Admit(now clock.Millis, repeatable bool) bool
	Observe(now clock.Millis, o health.Observation) bool
	SetBaseline(b health.Baseline)
	Status(now clock.Millis) health.Status
	Own() health.Baseline
	OverdueAfter() clock.Millis
}

// judgeOf returns the judge that a service's caution asks for.
func judgeOf(caution table.Caution, seed uint64) Judge {
	if caution == table.Brief {
		return grade.NewDetector()
	}
	return health.New(health.Config{Caution: caution, Seed: seed})
}

// Journal takes in what the gate decides.
type Journal interface {
	RecordEvent(e access.Event)
}

// Refusals counts dispatches that a gate refused to run.
type Refusals interface {
	Refused(service, upstream string, reason wire.Reason)
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
	// Changed is told of news that entries should hear at once; it may be nil
	// and must not block.
	Changed func()
	// Excused reports whether a call that the backend server made through this
	// node failed within a span: what failed then may not be its own fault. It
	// may be nil.
	Excused func(from, to clock.Millis) bool
	// Invite asks an entry, or any one for entry 0, for a request, and returns
	// false where it can't be reached. It may be nil and must not block.
	Invite func(entry uint64, i *wire.Invitation) bool
	// Stalled tells an entry that a run most likely comes to no end. It may be nil and must
	// not block.
	Stalled func(entry uint64, s *wire.Stalled)
	// Crashes may be nil.
	Crashes Crashes
	// Refusals may be nil.
	Refusals Refusals
	// Keys is shared by all gates of a node.
	Keys *Keys
	// Before is the gate that an upstream of this name had before; nil without.
	Before *Gate
	Log    logrus.FieldLogger
}

// Gate guards one upstream. It is safe for concurrent use.
type Gate struct {
	config Config
	log    logrus.FieldLogger
	made   clock.Millis
	before atomic.Pointer[Gate]

	mu       sync.Mutex
	service  table.Service
	upstream table.Upstream
	fence    *lease.Fence[*wire.Reply]
	judge    Judge
	slots    *limit.Slots
	quota    *retry.Quota
	jobs     map[uint64]*job
	// places are the enquiries that wait, by ticket, and holds the slots kept for
	// dispatches that were announced.
	places  map[uint64]*place
	holds   map[lease.Key]*time.Timer
	tickets uint64
	// senders are the entries that lately sent what may be repeated; invited counts
	// the invitations that they got.
	senders []uint64
	invited int
	leaving bool // for good since endedAt, as the node is shutting down or has another gate
	endedAt clock.Millis
	listed  bool // as the instance list says
	leftAt  clock.Millis
	state   health.State
	level   grade.Level
	// life counts the processes that the upstream has been.
	life  int
	crash crash
	// finished holds marks of requests that succeeded in this process.
	finished []uint64
	// suspect is the ticket of the suspected request that runs, parked those that wait
	// for its end, each with a slot.
	suspect uint64
	parked  []*job
}

// job is one dispatch that waits for a slot or runs.
type job struct {
	dispatch *wire.Dispatch
	answer   func(*wire.Reply)
	key      lease.Key
	ticket   uint64
	until    clock.Millis
	running  bool
	overdue  bool
	// run is the judge's own of it, nil where that keeps none.
	run *grade.Run
	// life is the upstream's when the run began. One of a process that is gone holds
	// no slot, and speaks for or against nobody.
	life  int
	began clock.Millis
	// isTrial says that it runs as a suspect, beside no other one.
	isTrial bool
	timer   *time.Timer
	// abandon breaks off the call; it is set while it runs.
	abandon context.CancelFunc
	refusal *wire.Reply // when its key may not run here
}

// New returns a gate that admits requests.
func New(c Config) *Gate {
	g := &Gate{
		config:   c,
		log:      c.Log.WithFields(logrus.Fields{"service": c.Service.Name, "upstream": c.Upstream.Name}),
		made:     c.Now(),
		service:  c.Service,
		upstream: c.Upstream,
		fence:    lease.NewFence[*wire.Reply](c.Incarnation),
		judge:    judgeOf(c.Service.Caution, c.Seed),
		slots:    limit.NewSlots(slotsOf(&c.Service, &c.Upstream, c.Seed)),
		quota:    retry.NewQuota(c.Now(), quotaOf(&c.Service)),
		jobs:     map[uint64]*job{},
		places:   map[uint64]*place{},
		holds:    map[lease.Key]*time.Timer{},
	}
	g.before.Store(c.Before)
	if c.Invite != nil {
		time.AfterFunc(inviteEvery.Duration(), g.invite)
	}
	return g
}

// placesPerSlot is how many places there are in a queue for each slot where
// requests wait at several gates at once: most of the places are given up again.
const placesPerSlot = 3

func slotsOf(s *table.Service, u *table.Upstream, seed uint64) limit.SlotsConfig {
	c := limit.SlotsConfig{Slots: u.Slots, Queue: s.Queue, Seed: seed}
	if s.Caution == table.Brief {
		c.Queue = max(c.Queue, placesPerSlot*u.Slots)
	}
	return c
}

func quotaOf(s *table.Service) retry.QuotaConfig {
	return retry.QuotaConfig{Share: s.Retries, Extra: s.Extra, Window: s.Window, Upstreams: len(s.Upstreams)}
}

// Handle takes in a dispatch. The answer function is called once, or never for
// a duplicate, whose first copy is answered.
func (g *Gate) Handle(d *wire.Dispatch, answer func(*wire.Reply)) {
	now := g.config.Now()
	key := d.ID.Key(d.Attempt)
	if before, ok := g.before.Load().remembers(key); ok {
		before.Handle(d, answer)
		return
	}
	g.mu.Lock()
	verdict := g.fence.Take(now, key, d.Incarnation, d.Lease)
	if verdict == lease.Duplicate {
		g.mu.Unlock()
		return
	}
	g.learn(d)
	g.noteSender(d.ID.Entry, d.Repeatable)
	if reply, ok := g.known(now, d); ok && verdict == lease.Fresh {
		g.keep(now, &job{key: key}, reply)
		g.mu.Unlock()
		answer(reply)
		return
	}
	if g.takeHold(key) {
		g.runHeld(now, key, verdict, d, answer)
		return
	}
	if d.Verdict == uint8(quarantine.Quarantined) && g.standing(d) == quarantine.Refuse {
		g.refuse(now, key, d, answer, wire.ReasonQuarantined, 0) // at once, and not after a wait for a slot
		return
	}
	reason, after := g.refusal(now, verdict, admission{isRepeatable: d.Repeatable, isRetry: d.Retry, isForced: d.Forced})
	if reason != "" {
		g.refuse(now, key, d, answer, reason, after)
		return
	}
	g.offer(now, key, d, answer)
}

// learn takes over the service's baseline as the entry sees it.
func (g *Gate) learn(d *wire.Dispatch) {
	if d.Baseline.Known {
		g.judge.SetBaseline(d.Baseline.Plain())
	}
}

// runHeld runs a dispatch in the slot that was kept for it. It was admitted when
// that was asked for; what can have changed since ends it. It unlocks the gate.
func (g *Gate) runHeld(now clock.Millis, key lease.Key, verdict lease.Verdict, d *wire.Dispatch, answer func(*wire.Reply)) {
	until := min(now+d.Budget, d.Lease)
	if verdict == lease.Fresh && !g.left() && !g.crash.isDown && now < until {
		g.tickets++
		j := &job{dispatch: d, answer: answer, key: key, ticket: g.tickets, until: until}
		g.jobs[j.ticket] = j
		g.mu.Unlock()
		g.start(j)
		return
	}
	calls := g.release(now)
	reason := wire.ReasonLeaving
	switch {
	case verdict != lease.Fresh:
		reason = wire.ReasonStale
	case g.crash.isDown:
		reason = wire.ReasonRefused
	}
	g.refuse(now, key, d, answer, reason, 0)
	callAll(calls)
}

// offer gives a dispatch a slot, a place in the queue, or a refusal. It
// unlocks the gate.
func (g *Gate) offer(now clock.Millis, key lease.Key, d *wire.Dispatch, answer func(*wire.Reply)) {
	g.tickets++
	j := &job{dispatch: d, answer: answer, key: key, ticket: g.tickets, until: min(now+d.Budget, d.Lease)}
	patience := j.until
	if d.Bounded {
		patience = now
	}
	offer := g.slots.Acquire(now, limit.Request{Ticket: j.ticket, Deadline: j.until, Until: patience, Priority: d.Priority})
	switch offer.Result {
	case limit.Run:
		g.jobs[j.ticket] = j
		g.mu.Unlock()
		g.start(j)
	case limit.Wait:
		g.jobs[j.ticket] = j
		j.timer = time.AfterFunc((patience - now + 1).Duration(), g.expire)
		late := g.late(now) // whose place it may have taken
		g.mu.Unlock()
		callAll(late)
	case limit.Late:
		g.refuse(now, key, d, answer, wire.ReasonLate, offer.RetryAfter)
	default:
		g.refuse(now, key, d, answer, wire.ReasonFull, offer.RetryAfter)
	}
}

// Update puts a table edit in force.
func (g *Gate) Update(s table.Service, u table.Upstream) {
	g.mu.Lock()
	if s.Caution != g.service.Caution {
		g.judge = judgeOf(s.Caution, g.config.Seed)
	}
	before, started := g.left(), g.upstream.Started
	g.service, g.upstream = s, u
	g.quota.Adjust(quotaOf(&s))
	late := g.noteLeft(before, "zero weight")
	late = append(late, g.late(g.config.Now())...) // first: a new slot must not go to one of them
	now := g.config.Now()
	late = append(late, g.turns(now, g.slots.Resize(slotsOf(&s, &u, g.config.Seed)))...)
	if started != u.Started {
		late = append(late, g.restart(now)...)
	}
	g.mu.Unlock()
	callAll(late)
}

// Probe asks the backend server's health endpoint, if the table names one, and
// takes the result in. It blocks for the answer.
func (g *Gate) Probe() {
	g.mu.Lock()
	path := g.service.Probe
	judge, heeds := g.judge.(prober)
	g.mu.Unlock()
	if path == "" || !heeds {
		return
	}
	ok := g.config.Backend.Probe(path)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	judge.Probed(now, ok)
	g.noteState(now)
}

// prober is a judge that heeds probes. Each takes 25 ms of a slot, and where health
// answers say that all is well in an episode, too, they are in vain.
type prober interface {
	Probed(now clock.Millis, ok bool)
}

// Busy returns how many requests wait or run.
func (g *Gate) Busy() int {
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
