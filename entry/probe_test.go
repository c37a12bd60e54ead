package entry_test

import (
	"sync"
	"testing"

	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// fakeGate is a scripted GateClient for one gate.
type fakeGate struct {
	name string
	// onProbe answers a capacity probe; nil grants a slot with severity 0.
	onProbe func(probe *wire.CapacityProbe, onReply func(*wire.Reservation))
	// onClaim answers a claim; nil grants a slot.
	onClaim func(c *wire.SlotClaim, o link.ClaimObserver)
	// verdict is the state with which the gate refuses dispatches that are not forced;
	// nil refuses none.
	verdict *wire.Upstream
	// onDispatch returns the reply to a dispatch; nil serves it.
	onDispatch func(m *wire.Dispatch) *wire.Reply
	// handle replaces all of the handling of dispatches that verdict, onDispatch and
	// pathLost configure; nil leaves them in effect.
	handle func(d *fakeGate, m *wire.Dispatch, w link.DispatchObserver)
	// onResolve handles a question for the outcome of a dispatch; nil answers none.
	onResolve func()
	// record is what the gate's node has recorded about every key; nil means that it can't be reached.
	record *wire.KeyRevocationReply
	// publish receives the upstream state of a refusal by verdict.
	publish func(u wire.Upstream)

	mu           sync.Mutex
	dispatched   int
	abandoned    int
	probes       int
	pathLost     bool // every dispatch loses its path
	linkRequests int
	// ignoresLimits means that the gate is of a release that doesn't keep rate limits.
	ignoresLimits bool
	released      []uint8
}

func (d *fakeGate) Dispatch(m *wire.Dispatch, w link.DispatchObserver) error {
	d.mu.Lock()
	d.dispatched++
	d.mu.Unlock()
	if d.handle != nil {
		d.handle(d, m, w)
		return nil
	}
	if d.pathLost {
		w.PathLost()
		return nil
	}
	if d.onDispatch != nil {
		w.Replied(d.onDispatch(m))
		return nil
	}
	if d.verdict != nil && !m.Forced {
		d.publish(*d.verdict)
		w.Replied(&wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonEjected, Upstream: *d.verdict})
		return nil
	}
	w.Replied(d.served(m))
	return nil
}

// served returns the reply to a dispatch that is served.
func (d *fakeGate) served(m *wire.Dispatch) *wire.Reply {
	return &wire.Reply{
		ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 200,
		Body: []byte(d.name), Length: len(d.name), Upstream: wire.Upstream{Name: d.name, Share: 1},
	}
}

func (d *fakeGate) ProbeCapacity(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) error {
	d.probes++
	onProbe := d.onProbe
	if onProbe == nil {
		onProbe = grantSlot(d.name, 0)
	}
	onProbe(probe, onReply)
	return nil
}

func (d *fakeGate) ReleaseReservation(r *wire.ReleaseReservation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.released = append(d.released, r.Attempt)
}

func (d *fakeGate) EnsureLink() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.linkRequests++
}

func (d *fakeGate) KeepsAnnouncements() bool { return !d.ignoresLimits }

func (d *fakeGate) Resolve(wire.RequestID, uint8) {
	if d.onResolve != nil {
		d.onResolve()
	}
}

func (*fakeGate) Forget(wire.RequestID, uint8)        {}
func (*fakeGate) Withdraw(wire.RequestID, uint8) bool { return false }
func (d *fakeGate) Abandon(wire.RequestID, uint8)     { d.abandoned++ }
func (d *fakeGate) RevokeKey(_ *wire.KeyRevocation, _ clock.Millis, w link.RevocationObserver) error {
	if d.record == nil {
		return link.ErrNoLink
	}
	w.Revoked(d.record)
	return nil
}
func (*fakeGate) ForgetRevocation(wire.RequestID) {}

type nopRecorder struct{}

func (nopRecorder) RequestReceived()                            {}
func (nopRecorder) RequestFinished(clock.Millis, access.Record) {}
func (nopRecorder) RecordEvent(access.Event)                    {}

// newEntry returns an entry with one upstream per gate, all in another failure domain
// than the entry. Requests must run at most once.
func newEntry(t *testing.T, gates ...*fakeGate) *entry.Entry {
	t.Helper()
	return newRouteEntry(t, []string{}, gates...)
}

// newRepeatableEntry is like newEntry, but with repeatable requests.
func newRepeatableEntry(t *testing.T, gates ...*fakeGate) *entry.Entry {
	t.Helper()
	return newRouteEntry(t, []string{table.AnyMethod}, gates...)
}

func newRouteEntry(t *testing.T, repeatable []string, gates ...*fakeGate) *entry.Entry {
	t.Helper()
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Floor: 0.3, Deadline: clock.Minute, RetryRatio: 0.2, RetryWindow: 10 * clock.Second, ExtraRetries: 60}
	return newServiceEntry(t, s, repeatable, gates...)
}

func newServiceEntry(t *testing.T, s table.Service, repeatable []string, gates ...*fakeGate) *entry.Entry {
	t.Helper()
	return newClockedEntry(t, entry.Config{Now: clock.NewSystem().Now}, s, repeatable, gates...)
}

// newClockedEntry is like newServiceEntry with the clock and the seed of a configuration.
func newClockedEntry(t *testing.T, c entry.Config, s table.Service, repeatable []string, gates ...*fakeGate) *entry.Entry {
	t.Helper()
	return newRoutedEntry(t, c, s, table.Route{Prefix: "/", Service: "conferme", Timeout: clock.Hour, LatencyTarget: clock.Hour, Priority: 1, MaxAttempts: 2, Repeatable: repeatable}, gates...)
}

// newRoutedEntry is newClockedEntry for another route.
func newRoutedEntry(t *testing.T, c entry.Config, s table.Service, route table.Route, gates ...*fakeGate) *entry.Entry {
	t.Helper()
	byName := map[string]*fakeGate{}
	for _, d := range gates {
		byName[d.name] = d
		s.Upstreams = append(s.Upstreams, table.Upstream{Name: d.name, Node: d.name, Domain: "palermo", Weight: 100, Slots: 1})
	}
	c.Domain, c.Pool, c.Recorder = "catania", newPool(t), nopRecorder{}
	if c.Log == nil {
		c.Log = logging.Silent()
	}
	c.Announcements = announcementHeaders
	c.GateClient = func(u table.Upstream) entry.GateClient { return byName[u.Name] }
	e := entry.New(c)
	e.Update(table.Index(table.Table{
		Format: table.Format, Version: 1, Services: []table.Service{s},
		Routes: []table.Route{route},
	}))
	return e
}

// post sends a confirmation and returns the status and the body, which names the upstream
// that served it.
func post(e *entry.Entry) (int, string) {
	response := send(e)
	return response.StatusCode(), string(response.Body())
}

func send(e *entry.Entry) *fasthttp.Response {
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	return sendOn(&ctx, e)
}

func sendOn(ctx *fasthttp.RequestCtx, e *entry.Entry) *fasthttp.Response {
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI("http://clinic.example/turno")
	ctx.Request.SetBodyString("turno 7")
	e.Serve(ctx)
	return &ctx.Response
}

func grantSlot(name string, severity float64) func(*wire.CapacityProbe, func(*wire.Reservation)) {
	return func(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) {
		onReply(&wire.Reservation{ID: probe.ID, Attempt: probe.Attempt, Reserved: true, Upstream: wire.Upstream{Name: name, Share: 1, Severity: severity}})
	}
}

func refuseSlot(name string, reason wire.Reason) func(*wire.CapacityProbe, func(*wire.Reservation)) {
	return func(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) {
		onReply(&wire.Reservation{ID: probe.ID, Attempt: probe.Attempt, Reason: reason, RetryAfter: 300, Upstream: wire.Upstream{Name: name, Share: 1}})
	}
}

// A confirmation may run only once. One of three upstreams has just failed a request and
// another has been idle for long, which only their gates know yet. The entry must choose
// the third and release the slots of the others.
func TestNonRepeatableRequestGoesToHealthiestUpstream(t *testing.T) {
	failed := &fakeGate{name: "failed", onProbe: grantSlot("failed", 0.4)}
	quiet := &fakeGate{name: "quiet", onProbe: grantSlot("quiet", 0.2)}
	sound := &fakeGate{name: "sound", onProbe: grantSlot("sound", 0.01)}
	e := newEntry(t, failed, quiet, sound)
	status, by := post(e)
	if status != 200 || by != "sound" {
		t.Errorf("got %d from %q, want 200 from sound", status, by)
	}
	if len(failed.released) != 1 || len(quiet.released) != 1 || len(sound.released) != 0 {
		t.Errorf("got %v, %v, %v released, want the slots of failed and quiet only", failed.released, quiet.released, sound.released)
	}
}

// No gate has a free slot. The request waits at all of them, the third gets a slot first,
// and the entry must release the queue positions at the others.
func TestFirstFreeSlotIsTaken(t *testing.T) {
	never := func(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) {
		if probe.WaitBudget == 0 {
			refuseSlot("", wire.ReasonFull)(probe, onReply)
		}
	}
	first, second := &fakeGate{name: "first", onProbe: never}, &fakeGate{name: "second", onProbe: never}
	third := &fakeGate{name: "third", onProbe: func(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) {
		if probe.WaitBudget == 0 {
			refuseSlot("third", wire.ReasonFull)(probe, onReply)
			return
		}
		grantSlot("third", 0.1)(probe, onReply)
	}}
	status, by := post(newEntry(t, first, second, third))
	if status != 200 || by != "third" {
		t.Errorf("got %d from %q, want 200 from third", status, by)
	}
	if len(first.released) != 1 || len(second.released) != 1 {
		t.Errorf("got %v and %v released, want one queue position each", first.released, second.released)
	}
}

// All queues are too long. The entry must refuse the request as not run immediately, not
// at the request's deadline.
func TestFullQueuesRefuseImmediately(t *testing.T) {
	a, b := &fakeGate{name: "a", onProbe: refuseSlot("a", wire.ReasonFull)}, &fakeGate{name: "b", onProbe: refuseSlot("b", wire.ReasonDeadlineTooShort)}
	status, text := post(newEntry(t, a, b)) // waiting for its deadline would take an hour
	if status != 503 {
		t.Errorf("got %d, %q, want 503", status, text)
	}
	if a.dispatched+b.dispatched > 0 {
		t.Errorf("got %d dispatched, want none", a.dispatched+b.dispatched)
	}
}

// newPool returns a pool for 8 simultaneous requests, which is released when the test
// ends.
func newPool(t *testing.T) *ants.Pool {
	t.Helper()
	pool, err := ants.NewPool(8)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	return pool
}
