package gate_test

import (
	"context"
	"testing"

	"github.com/panjf2000/ants/v2"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// held is a backend server whose requests end when they are let go, or when
// their callers leave.
type held struct {
	begun chan string
	end   chan struct{}
	// isFailing says that they end with a failure.
	isFailing bool
}

func (h *held) Do(ctx context.Context, c *gate.Call) (gate.Response, error) {
	h.begun <- c.ID
	select {
	case <-h.end:
		if h.isFailing {
			return gate.Response{Status: 500}, nil
		}
		return gate.Response{Status: 200}, nil
	case <-ctx.Done():
		return gate.Response{}, gate.ErrCancelled
	}
}

func (*held) Probe(string) bool { return true }
func (*held) IsGone() bool      { return false }
func (*held) Close()            {}
func (*held) ResetConnections() {}

type nobody struct{}

func (nobody) RecordEvent(access.Event) {}

const incarnation = 7

// guarded returns a gate of one slot before a backend server that holds requests.
func guarded(t *testing.T) (*gate.Gate, *held, table.Service, table.Upstream) {
	t.Helper()
	return guardedWith(t, func() {})
}

// guardedWith tells news of the gate to changed.
func guardedWith(t *testing.T, changed func()) (*gate.Gate, *held, table.Service, table.Upstream) {
	t.Helper()
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4}
	u := table.Upstream{Name: "c1", Weight: 100, Slots: 1}
	g, h := gateOf(t, gate.Config{Service: s, Upstream: u, OnChange: changed})
	return g, h, s, u
}

// gateAfter returns a gate of an upstream that had another one before.
func gateAfter(t *testing.T, before *gate.Gate, s table.Service, u table.Upstream) (*gate.Gate, *held) {
	t.Helper()
	return gateOf(t, gate.Config{Service: s, Upstream: u, Previous: before})
}

func gateOf(t *testing.T, c gate.Config) (*gate.Gate, *held) {
	t.Helper()
	h := &held{begun: make(chan string, 8), end: make(chan struct{})}
	c.Incarnation, c.Now, c.Backend, c.Pool, c.Journal, c.Log = incarnation, clock.NewSystem().Now, h, newPool(t), nobody{}, logging.Silent()
	c.Keys = gate.NewKeyStore(c.Now)
	return gate.New(c), h
}

func dispatch(seq uint64, label string) *wire.Dispatch {
	return &wire.Dispatch{
		ID: wire.RequestID{Entry: 1, Seq: seq}, Attempt: 1, CallerRequestID: label, Incarnation: incarnation,
		Lease: clock.Hour, Budget: clock.Minute, Upstream: "c1", Method: "POST", URI: "/x",
	}
}

// A confirmation waits for a slot of an upstream that then reports its leaving.
// Sent to it when the slot gets free, it reaches an upstream that was to get no
// new work, perhaps as that ends; refused at once, it has time for another.
func TestWaitersAreRefusedWhenTheUpstreamLeaves(t *testing.T) {
	g, h, s, u := guarded(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	replies := make(chan *wire.Reply, 1)
	g.Handle(dispatch(2, "second"), func(r *wire.Reply) { replies <- r })
	u.Weight = 0
	g.Update(s, u)
	if got := <-replies; got.Outcome != wire.NotRun || got.Reason != wire.ReasonLeaving {
		t.Errorf("got %v, %s; want it not run, as the upstream leaves", got.Outcome, got.Reason)
	}
	close(h.end)
	if len(h.begun) > 0 {
		t.Errorf("got request %s begun after the leaving, want none", <-h.begun)
	}
}

// enquire asks for a slot and waits for the answer.
func enquire(g *gate.Gate, e *wire.CapacityProbe) *wire.Reservation {
	answers := make(chan *wire.Reservation, 1)
	g.ProbeCapacity(e, func(h *wire.Reservation) { answers <- h })
	return <-answers
}

// A gate keeps the slot that it promised: another request that comes in between
// must not take it, or the body would have crossed between domains for nothing.
func TestPromisedSlotIsKept(t *testing.T) {
	g, h, _, _ := guarded(t)
	first := dispatch(1, "first")
	if got := enquire(g, &wire.CapacityProbe{ID: first.ID, Attempt: 1, Upstream: "c1", Budget: clock.Second}); !got.Reserved {
		t.Fatalf("got no slot (%s), want it kept", got.Reason)
	}
	replies := make(chan *wire.Reply, 1)
	other := dispatch(2, "other")
	other.NoQueue = true // it asks for a free slot and doesn't wait
	g.Handle(other, func(r *wire.Reply) { replies <- r })
	if got := <-replies; got.Outcome != wire.NotRun || got.Reason != wire.ReasonFull {
		t.Errorf("got %v, %s for another request, want it refused as full", got.Outcome, got.Reason)
	}
	g.Handle(first, func(*wire.Reply) {})
	if got := <-h.begun; got != "first" {
		t.Errorf("got %s begun, want first", got)
	}
	close(h.end)
}

// The entry that asked for a slot dies before it sends. The slot must not stay
// taken: with three slots, three such entries would end an upstream's use.
func TestPromisedSlotIsGivenBack(t *testing.T) {
	g, h, _, _ := guarded(t)
	enquire(g, &wire.CapacityProbe{ID: wire.RequestID{Entry: 9, Seq: 1}, Attempt: 1, Upstream: "c1", Budget: clock.Second})
	g.Handle(dispatch(2, "next"), func(*wire.Reply) {}) // it waits until the promise is over
	if got := <-h.begun; got != "next" {
		t.Errorf("got %s begun, want next", got)
	}
	close(h.end)
}

// A caller leaves. What may run again is broken off, to free its slot; what may
// run once only goes on, for its caller meant it.
func TestAbandonBreaksOffWhatMayRunAgain(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		g, h, _, _ := guarded(t)
		replies := make(chan *wire.Reply, 1)
		d := dispatch(1, "first")
		d.Repeatable = repeatable
		g.Handle(d, func(r *wire.Reply) { replies <- r })
		<-h.begun
		g.Resolve(&wire.Resolve{ID: d.ID, Attempt: 1, Incarnation: incarnation, Upstream: "c1", Lease: d.Lease, Abandon: true})
		if !repeatable {
			close(h.end)
		}
		got := <-replies
		if want := map[bool]wire.Outcome{true: wire.Broken, false: wire.Answered}[repeatable]; got.Outcome != want {
			t.Errorf("repeatable %v: got %v (%s), want %v", repeatable, got.Outcome, got.Reason, want)
		}
	}
}

// A backend server takes requests and answers none in time, with a good health
// answer. Each ends at its route's timeout, which is shorter than what any service
// could be given in general: without the route's own word of what is overdue,
// nothing speaks against the server, and it goes on taking what it will not serve.
func TestRunsBeyondTheirTargetAreEvidence(t *testing.T) {
	changed := make(chan struct{}, 8)
	g, h, _, _ := guardedWith(t, func() { changed <- struct{}{} })
	before := g.Status().Severity
	d := dispatch(1, "first")
	d.MedianTime = 1
	g.Handle(d, func(*wire.Reply) {})
	<-h.begun
	<-changed
	if got := g.Status().Severity; got <= before {
		t.Errorf("got severity %.2f with an overdue run, want it above %.2f", got, before)
	}
	close(h.end)
}

func waiting(seq uint64) *wire.CapacityProbe {
	return &wire.CapacityProbe{
		ID: wire.RequestID{Entry: 5, Seq: seq}, Attempt: 1, Upstream: "c1", Budget: clock.Hour, WaitBudget: clock.Hour,
	}
}

func waiveOf(e *wire.CapacityProbe) *wire.ReleaseReservation {
	return &wire.ReleaseReservation{ID: e.ID, Attempt: e.Attempt, Upstream: e.Upstream}
}

// Requests wait for a slot here and at other gates. One that found a slot elsewhere
// must leave the queue, or the slot that gets free is kept for it in vain while the
// next one waits on.
func TestWaivedPlaceIsPassedOver(t *testing.T) {
	g, h, _, _ := guarded(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	first, second := make(chan *wire.Reservation, 1), make(chan *wire.Reservation, 1)
	g.ProbeCapacity(waiting(2), func(h *wire.Reservation) { first <- h })
	g.ProbeCapacity(waiting(3), func(h *wire.Reservation) { second <- h })
	g.ReleaseReservation(waiveOf(waiting(2)))
	close(h.end)
	if got := <-second; !got.Reserved {
		t.Errorf("got %s for the second in line, want the slot kept for it", got.Reason)
	}
	if len(first) > 0 {
		t.Errorf("got %+v for a place that was waived, want no answer", <-first)
	}
}

// A slot is kept for a request that takes another one. Waived, it must be free at
// once: each 40 ms of an idle slot delays those that wait.
func TestWaivedSlotIsFree(t *testing.T) {
	g, h, _, _ := guarded(t)
	close(h.end)
	for seq := range uint64(50) { // 2 s if each stayed kept
		e := waiting(seq)
		if got := enquire(g, e); !got.Reserved {
			t.Fatalf("enquiry %d: got %s, want the slot", seq, got.Reason)
		}
		g.ReleaseReservation(waiveOf(e))
	}
}

// The upstream begins to leave while enquiries wait for its slots. Their requests
// have time for other upstreams, if they are told at once.
func TestEnquiriesEndWhenTheUpstreamLeaves(t *testing.T) {
	g, h, s, u := guarded(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	told := make(chan *wire.Reservation, 1)
	g.ProbeCapacity(waiting(2), func(h *wire.Reservation) { told <- h })
	u.Weight = 0
	g.Update(s, u)
	if got := <-told; got.Reserved || got.Reason != wire.ReasonLeaving {
		t.Errorf("got held %v, %s; want it refused, as the upstream leaves", got.Reserved, got.Reason)
	}
	close(h.end)
}

// A request is out of patience. It must hear so from the gate, or it would learn it
// only by the silence, a tenth of a second later.
func TestEnquiryEndsWithItsPatience(t *testing.T) {
	g, h, _, _ := guarded(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	e := waiting(2)
	e.WaitBudget = 5
	if got := enquire(g, e); got.Reserved || got.Reason != wire.ReasonDeadlineTooShort {
		t.Errorf("got held %v, %s; want it refused as late", got.Reserved, got.Reason)
	}
	close(h.end)
}

// Nobody sends anything to an upstream, and what is known of it fades to doubt. Its
// gate asks for requests, first anybody, then an entry that has sent some.
func TestIdleGateInvites(t *testing.T) {
	invited := make(chan uint64, 64)
	g, h := inviting(t, func(entry uint64) { invited <- entry })
	if got := <-invited; got != 0 {
		t.Errorf("got entry %d invited before any sent a request, want any", got)
	}
	d := dispatch(1, "first")
	d.Repeatable, d.ID.Entry = true, 42
	close(h.end)
	g.Handle(d, func(*wire.Reply) {})
	<-h.begun
	for got := range invited {
		if got == 42 {
			break
		}
	}
	g.Leave()
}

// No caller is near an upstream, so one entry alone has sent it a request, and has no
// other for seconds. Its gate invited that entry again and again, and the upstream got
// nothing while requests failed elsewhere: it must ask others, too, and still the one.
func TestIdleGateInvitesMoreThanTheFewItKnows(t *testing.T) {
	invited := make(chan uint64, 64)
	g, h := inviting(t, func(entry uint64) { invited <- entry })
	<-invited
	d := dispatch(1, "first")
	d.Repeatable, d.ID.Entry = true, 42
	close(h.end)
	g.Handle(d, func(*wire.Reply) {})
	<-h.begun
	for got := range invited {
		if got == 42 {
			break
		}
	}
	known, others := 0, 0
	for range 16 {
		if got := <-invited; got == 42 {
			known++
		} else {
			others++
		}
	}
	if known == 0 || others < known {
		t.Errorf("got %d invitations for the entry that is known, %d for others; want both, and more for others", known, others)
	}
	g.Leave()
}

func inviting(t *testing.T, invite func(entry uint64)) (*gate.Gate, *held) {
	t.Helper()
	now := clock.NewSystem().Now
	h := &held{begun: make(chan string, 8), end: make(chan struct{})}
	return gate.New(gate.Config{
		Service:  table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4},
		Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1}, Incarnation: incarnation, Now: now, Backend: h,
		Pool: newPool(t), Journal: nobody{}, Keys: gate.NewKeyStore(now), Log: logging.Silent(),
		RequestWork: func(entry uint64, _ *wire.WorkRequest) bool {
			invite(entry)
			return true
		},
	}), h
}

// probed counts the probes of a backend server.
type probed struct {
	*held

	probes int
}

func (p *probed) Probe(string) bool {
	p.probes++
	return true
}

// The health endpoint of an upstream says that all is well while it fails most of its
// requests. A judge that doesn't heed it must not take 25 ms of a slot every two
// seconds for it; the others must.
func TestOnlyJudgesThatHeedProbesProbe(t *testing.T) {
	for _, tt := range []struct {
		caution table.Caution
		want    int
	}{{table.ShortEpisodes, 0}, {table.Balanced, 1}} {
		_, h, s, u := guarded(t)
		b := &probed{held: h}
		s.Caution, s.ProbePath = tt.caution, "/health"
		now := clock.NewSystem().Now
		gate.New(gate.Config{
			Service: s, Upstream: u, Incarnation: incarnation, Now: now, Backend: b, Journal: nobody{}, Keys: gate.NewKeyStore(now), Log: logging.Silent(),
		}).ProbeHealth()
		if b.probes != tt.want {
			t.Errorf("%s: got %d probes, want %d", tt.caution, b.probes, tt.want)
		}
	}
}

// newPool returns the pool of a few requests at once, which ends with the test.
func newPool(t *testing.T) *ants.Pool {
	t.Helper()
	pool, err := ants.NewPool(8)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	return pool
}
