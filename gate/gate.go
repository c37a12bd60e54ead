// Package gate is the only way to the backend server beside a node. It admits,
// queues briefly, runs or refuses each request, sees every outcome, and from
// these decides whether the backend server is set aside.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/grade"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Backend runs one request at the backend server, errors as HTTP.Do returns
// them.
type Backend interface {
	Do(ctx context.Context, c *Call) (Answer, error)
	// Probe asks the backend server's health endpoint.
	Probe(path string) bool
	Close()
}

// Judge holds the verdict on the upstream.
type Judge interface {
	Admit(now clock.Millis, repeatable bool) bool
	Observe(now clock.Millis, o health.Observation) bool
	Probed(now clock.Millis, ok bool)
	SetBaseline(b health.Baseline)
	Status(now clock.Millis) health.Status
	Own() health.Baseline
	OverdueAfter() clock.Millis
}

// judgeOf returns the judge that a service's caution asks for.
func judgeOf(caution table.Caution, seed uint64) Judge {
	if caution == table.Brief {
		return grade.NewJudge()
	}
	return health.New(health.Config{Caution: caution, Seed: seed})
}

// Journal takes in what the gate decides.
type Journal interface {
	Note(e account.Event)
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
	// Refusals may be nil.
	Refusals Refusals
	// Keys is shared by all gates of a node.
	Keys *Keys
	Log  logrus.FieldLogger
}

// Gate guards one upstream. It is safe for concurrent use.
type Gate struct {
	config Config
	log    logrus.FieldLogger
	made   clock.Millis

	mu       sync.Mutex
	service  table.Service
	upstream table.Upstream
	fence    *lease.Fence[*wire.Reply]
	judge    Judge
	slots    *limit.Slots
	jobs     map[uint64]*job
	// holds are the slots kept for dispatches that were announced.
	holds   map[lease.Key]*time.Timer
	tickets uint64
	leaving bool // for good, as the node is shutting down
	listed  bool // as the instance list says
	leftAt  clock.Millis
	state   health.State
	level   grade.Level
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
	timer    *time.Timer
	// abandon breaks off the call; it is set while it runs.
	abandon context.CancelFunc
	refusal *wire.Reply // when its key may not run here
}

// New returns a gate that admits requests.
func New(c Config) *Gate {
	return &Gate{
		config:   c,
		log:      c.Log.WithFields(logrus.Fields{"service": c.Service.Name, "upstream": c.Upstream.Name}),
		made:     c.Now(),
		service:  c.Service,
		upstream: c.Upstream,
		fence:    lease.NewFence[*wire.Reply](c.Incarnation),
		judge:    judgeOf(c.Service.Caution, c.Seed),
		slots:    limit.NewSlots(limit.SlotsConfig{Slots: c.Upstream.Slots, Queue: c.Service.Queue, Seed: c.Seed}),
		jobs:     map[uint64]*job{},
		holds:    map[lease.Key]*time.Timer{},
	}
}

// Handle takes in a dispatch. The answer function is called once, or never for
// a duplicate, whose first copy is answered.
func (g *Gate) Handle(d *wire.Dispatch, answer func(*wire.Reply)) {
	now := g.config.Now()
	key := lease.Key{Entry: d.ID.Entry, Seq: d.ID.Seq, Attempt: d.Attempt}
	g.mu.Lock()
	verdict := g.fence.Take(now, key, d.Incarnation, d.Lease)
	if verdict == lease.Duplicate {
		g.mu.Unlock()
		return
	}
	g.learn(d)
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
	reason, after := g.refusal(now, verdict, d)
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

// refusal says why a dispatch isn't admitted, or nothing.
func (g *Gate) refusal(now clock.Millis, v lease.Verdict, d *wire.Dispatch) (wire.Reason, clock.Millis) {
	switch {
	case v == lease.Stale:
		return wire.ReasonStale, 0
	case v == lease.Voided:
		return wire.ReasonVoided, 0
	case g.leaving, g.left() && now-g.leftAt >= g.service.Drain:
		return wire.ReasonLeaving, 0
	case d.Forced || g.judge.Admit(now, d.Repeatable):
		return "", 0
	default:
		g.noteState(now)
		return wire.ReasonAside, max(g.judge.Status(now).Until-now, 0)
	}
}

// refuse answers that a dispatch was not run. It unlocks the gate.
func (g *Gate) refuse(now clock.Millis, key lease.Key, d *wire.Dispatch, answer func(*wire.Reply), reason wire.Reason, after clock.Millis) {
	g.fence.Refuse(key)
	g.countRefusal(reason)
	reply := g.reply(now, d)
	g.mu.Unlock()
	reply.Outcome, reply.Reason, reply.RetryAfter = wire.NotRun, reason, after
	answer(reply)
}

// runHeld runs a dispatch in the slot that was kept for it. It was admitted when
// that was asked for; what can have changed since ends it. It unlocks the gate.
func (g *Gate) runHeld(now clock.Millis, key lease.Key, verdict lease.Verdict, d *wire.Dispatch, answer func(*wire.Reply)) {
	until := min(now+d.Budget, d.Lease)
	if verdict == lease.Fresh && !g.leaving && now < until {
		g.tickets++
		j := &job{dispatch: d, answer: answer, key: key, ticket: g.tickets, until: until}
		g.jobs[j.ticket] = j
		g.mu.Unlock()
		g.start(j)
		return
	}
	next := g.release(now)
	reason := wire.ReasonLeaving
	if verdict != lease.Fresh {
		reason = wire.ReasonStale
	}
	g.refuse(now, key, d, answer, reason, 0)
	if next != nil {
		g.start(next)
	}
}

// offer gives a dispatch a slot, a place in the queue, or a refusal. It
// unlocks the gate.
func (g *Gate) offer(now clock.Millis, key lease.Key, d *wire.Dispatch, answer func(*wire.Reply)) {
	g.tickets++
	j := &job{dispatch: d, answer: answer, key: key, ticket: g.tickets, until: min(now+d.Budget, d.Lease)}
	patience := j.until
	if d.Bounded {
		patience = min(now+d.Patience, j.until)
	}
	offer := g.slots.Ask(now, limit.Ask{Ticket: j.ticket, Deadline: j.until, Until: patience, Priority: d.Priority})
	switch offer.Answer {
	case limit.Run:
		g.jobs[j.ticket] = j
		g.mu.Unlock()
		g.start(j)
	case limit.Wait:
		g.jobs[j.ticket] = j
		j.timer = time.AfterFunc((patience - now + 1).Duration(), g.expire)
		late := g.late(now) // whose place it may have taken
		g.mu.Unlock()
		answerAll(late)
	case limit.Late:
		g.refuse(now, key, d, answer, wire.ReasonLate, offer.RetryAfter)
	default:
		g.refuse(now, key, d, answer, wire.ReasonFull, offer.RetryAfter)
	}
}

// countRefusal is called with the gate's lock held.
func (g *Gate) countRefusal(reason wire.Reason) {
	if g.config.Refusals != nil {
		g.config.Refusals.Refused(g.service.Name, g.upstream.Name, reason)
	}
}

// expire refuses the waiters whose deadline passed.
func (g *Gate) expire() {
	g.mu.Lock()
	late := g.late(g.config.Now())
	g.mu.Unlock()
	answerAll(late)
}

// refusedJob is a waiter with its refusal.
type refusedJob struct {
	job   *job
	reply *wire.Reply
}

func answerAll(late []refusedJob) {
	for _, one := range late {
		one.job.answer(one.reply)
	}
}

// late takes out the waiters whose deadline passed. The gate's lock is held;
// the answers are given without it.
func (g *Gate) late(now clock.Millis) []refusedJob {
	return g.giveUp(now, g.slots.Expire(now), wire.ReasonLate)
}

// giveUp refuses waiters. The gate's lock is held.
func (g *Gate) giveUp(now clock.Millis, tickets []uint64, reason wire.Reason) []refusedJob {
	var refused []refusedJob
	for _, ticket := range tickets {
		j, ok := g.jobs[ticket]
		if !ok {
			continue
		}
		delete(g.jobs, ticket)
		if j.timer != nil {
			j.timer.Stop()
		}
		g.fence.Refuse(j.key)
		g.countRefusal(reason)
		reply := g.reply(now, j.dispatch)
		reply.Outcome, reply.Reason, reply.RetryAfter = wire.NotRun, reason, g.slots.RetryAfter(now)
		refused = append(refused, refusedJob{j, reply})
	}
	return refused
}

// Settle says what became of a dispatch and voids one that has not begun. It
// returns the reply once more if there is one.
func (g *Gate) Settle(s *wire.Settle) (*wire.Settled, *wire.Reply) {
	now := g.config.Now()
	key := lease.Key{Entry: s.ID.Entry, Seq: s.ID.Seq, Attempt: s.Attempt}
	g.mu.Lock()
	defer g.mu.Unlock()
	state, reply := g.fence.Settle(now, key, s.Incarnation, s.Lease)
	if s.Abandon && state == lease.Begun {
		g.breakOff(key)
	}
	if state == lease.Done && reply != nil {
		return nil, reply
	}
	return &wire.Settled{
		ID:        s.ID,
		Attempt:   s.Attempt,
		Voided:    state == lease.NotRun,
		Forgotten: state == lease.Forgotten || state == lease.Done,
		Time:      now,
	}, nil
}

// Abandon takes in that the caller of a dispatch has left: it doesn't begin any
// more, or is broken off.
func (g *Gate) Abandon(id wire.RequestID, attempt uint8) {
	key := lease.Key{Entry: id.Entry, Seq: id.Seq, Attempt: attempt}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence.Refuse(key)
	g.breakOff(key)
}

// breakOff ends the call of a dispatch whose caller has left, if it may run more
// than once: its slot is then free for others. One that may run only once goes
// on, for its caller meant it. The gate's lock is held.
func (g *Gate) breakOff(key lease.Key) {
	for _, j := range g.jobs {
		if j.key == key && j.abandon != nil {
			j.abandon()
		}
	}
}

// Update puts a table edit in force.
func (g *Gate) Update(s table.Service, u table.Upstream) {
	g.mu.Lock()
	if s.Caution != g.service.Caution {
		g.judge = judgeOf(s.Caution, g.config.Seed)
	}
	before := g.left()
	g.service, g.upstream = s, u
	late := g.noteLeft(before, "zero weight")
	late = append(late, g.late(g.config.Now())...) // first: a new slot must not go to one of them
	var ready []*job
	for _, ticket := range g.slots.Resize(limit.SlotsConfig{Slots: u.Slots, Queue: s.Queue, Seed: g.config.Seed}) {
		if j, ok := g.jobs[ticket]; ok {
			ready = append(ready, j)
		}
	}
	g.mu.Unlock()
	answerAll(late)
	for _, j := range ready {
		g.start(j)
	}
}

// Probe asks the backend server's health endpoint, if the table names one, and
// takes the result in. It blocks for the answer.
func (g *Gate) Probe() {
	g.mu.Lock()
	path := g.service.Probe
	g.mu.Unlock()
	if path == "" {
		return
	}
	ok := g.config.Backend.Probe(path)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	g.judge.Probed(now, ok)
	g.noteState(now)
}

// Busy returns how many requests wait or run.
func (g *Gate) Busy() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs)
}

// Status is what heartbeats and replies say of the upstream.
func (g *Gate) Status() wire.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status(g.config.Now())
}

// Describe is what metrics say of the gate.
func (g *Gate) Describe() metrics.GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.slots.Load()
	return metrics.GateState{
		Service:  g.service.Name,
		Upstream: g.upstream.Name,
		Verdict:  g.judge.Status(g.config.Now()).State,
		Leaving:  g.left(),
		Running:  load.InFlight,
		Waiting:  load.Waiting,
		Slots:    g.upstream.Slots,
		Queue:    g.service.Queue,
	}
}

// Close lets go of the backend server's connections.
func (g *Gate) Close() {
	g.config.Backend.Close()
}

func (g *Gate) status(now clock.Millis) wire.Upstream {
	g.noteState(now)
	s := g.judge.Status(now)
	load := g.slots.Load()
	own := g.judge.Own()
	return wire.Upstream{
		Name:     g.upstream.Name,
		State:    uint8(s.State),
		Severity: s.Severity,
		Share:    s.Share,
		InFlight: load.InFlight,
		Waiting:  load.Waiting,
		Until:    max(s.Until-now, 0),
		Leaving:  g.left(),
		Own:      wire.BaselineOf(own),
		Trials:   g.trials(),
	}
}

// trials is how many trials a judge of brief episodes has admitted.
func (g *Gate) trials() uint32 {
	if brief, ok := g.judge.(*grade.Judge); ok {
		return brief.TrialCount()
	}
	return 0
}

func (g *Gate) reply(now clock.Millis, d *wire.Dispatch) *wire.Reply {
	return &wire.Reply{ID: d.ID, Attempt: d.Attempt, Time: now, Upstream: g.status(now)}
}

// Serves reports whether the gate is that of a service's upstream at an
// address. An edit of either needs a gate of its own: what was learned is of
// another backend server.
func (g *Gate) Serves(service, address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service.Name == service && g.upstream.Address == address
}
