package gate_test

import (
	"context"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// blockingBackend is a backend server whose requests end when the test releases them with end,
// or when their contexts end.
type blockingBackend struct {
	begun chan string
	end   chan struct{}
	// isFailing means that released requests get a 500.
	isFailing bool
	// isShedding means that released requests are refused for load.
	isShedding bool
}

func (h *blockingBackend) Do(ctx context.Context, c *gate.Call) (gate.Response, error) {
	h.begun <- c.ID
	select {
	case <-h.end:
		if h.isFailing {
			return gate.Response{Status: 500}, nil
		}
		if h.isShedding {
			return gate.Response{Status: 503, Shed: true, Overloaded: true}, nil
		}
		return gate.Response{Status: 200}, nil
	case <-ctx.Done():
		return gate.Response{}, gate.ErrCancelled
	}
}

func (*blockingBackend) Probe(string) bool          { return true }
func (*blockingBackend) IsGone() bool               { return false }
func (*blockingBackend) Close()                     {}
func (*blockingBackend) ResetConnections(time.Time) {}

type discardRecorder struct{}

func (discardRecorder) RecordEvent(access.Event) {}

const incarnation = 7

// newGate returns a gate with one slot and its blocking backend server.
func newGate(t *testing.T) (*gate.Gate, *blockingBackend, table.Service, table.Upstream) {
	t.Helper()
	return newGateOnChange(t, func() {})
}

// newGateOnChange returns a gate like newGate whose OnChange is changed.
func newGateOnChange(t *testing.T, changed func()) (*gate.Gate, *blockingBackend, table.Service, table.Upstream) {
	t.Helper()
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4}
	u := table.Upstream{Name: "c1", Weight: 100, Slots: 1}
	g, h := newGateFromConfig(t, gate.Config{Service: s, Upstream: u, OnChange: changed})
	return g, h, s, u
}

// newGateWithPrevious returns a gate of an upstream that had a previous gate.
func newGateWithPrevious(t *testing.T, previous *gate.Gate, s table.Service, u table.Upstream) (*gate.Gate, *blockingBackend) {
	t.Helper()
	return newGateFromConfig(t, gate.Config{Service: s, Upstream: u, Previous: previous})
}

func newGateFromConfig(t *testing.T, c gate.Config) (*gate.Gate, *blockingBackend) {
	t.Helper()
	h := &blockingBackend{begun: make(chan string, 8), end: make(chan struct{})}
	c.Incarnation, c.Now, c.Backend, c.Pool, c.Recorder, c.Log = incarnation, clock.NewSystem().Now, h, newPool(t), discardRecorder{}, logging.Silent()
	c.Keys = gate.NewKeyStore(c.Now)
	return gate.New(c), h
}

func dispatch(seq uint64, label string) *wire.Dispatch {
	return &wire.Dispatch{
		ID: wire.RequestID{Entry: 1, Seq: seq}, Attempt: 1, CallerRequestID: label, Incarnation: incarnation,
		Lease: clock.Hour, Budget: clock.Minute, Upstream: "c1", Method: "POST", URI: "/x",
	}
}

// A request waits for a slot of an upstream that then begins to leave. If it were sent when
// the slot becomes free, it would reach an upstream that must get no new requests and may be
// shutting down. Refused immediately, it has time for another upstream.
func TestWaitersAreRefusedWhenTheUpstreamLeaves(t *testing.T) {
	g, h, s, u := newGate(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	replies := make(chan *wire.Reply, 1)
	g.Handle(dispatch(2, "second"), func(r *wire.Reply) { replies <- r })
	u.Weight = 0
	g.Update(s, u)
	if got := <-replies; got.Outcome != wire.NotRun || got.Reason != wire.ReasonLeaving {
		t.Errorf("got outcome %v, reason %s; want the request not run, since the upstream leaves", got.Outcome, got.Reason)
	}
	close(h.end)
	if len(h.begun) > 0 {
		t.Errorf("request %s began after the upstream left, want none", <-h.begun)
	}
}

// probeCapacity sends a capacity probe and waits for the reservation.
func probeCapacity(g *gate.Gate, probe *wire.CapacityProbe) *wire.Reservation {
	reservations := make(chan *wire.Reservation, 1)
	g.ProbeCapacity(probe, func(r *wire.Reservation) { reservations <- r })
	return <-reservations
}

// A reserved slot must not go to another request that arrives before the reserved one, or the
// body of the reserved one would cross between failure domains unnecessarily.
func TestReservedSlotIsNotGivenToAnotherRequest(t *testing.T) {
	g, h, _, _ := newGate(t)
	first := dispatch(1, "first")
	if got := probeCapacity(g, &wire.CapacityProbe{ID: first.ID, Attempt: 1, Upstream: "c1", Budget: clock.Second}); !got.Reserved {
		t.Fatalf("got no slot (%s), want it reserved", got.Reason)
	}
	replies := make(chan *wire.Reply, 1)
	other := dispatch(2, "other")
	other.NoQueue = true // the dispatch is refused if no slot is free
	g.Handle(other, func(r *wire.Reply) { replies <- r })
	if got := <-replies; got.Outcome != wire.NotRun || got.Reason != wire.ReasonFull {
		t.Errorf("got outcome %v, reason %s for another request, want it refused as full", got.Outcome, got.Reason)
	}
	g.Handle(first, func(*wire.Reply) {})
	if got := <-h.begun; got != "first" {
		t.Errorf("got %s begun, want first", got)
	}
	close(h.end)
}

// An entry crashes after it reserved a slot and before it sends the request. If the slot
// stayed reserved, three such entries would block an upstream with three slots permanently.
func TestReservationExpires(t *testing.T) {
	g, h, _, _ := newGate(t)
	probeCapacity(g, &wire.CapacityProbe{ID: wire.RequestID{Entry: 9, Seq: 1}, Attempt: 1, Upstream: "c1", Budget: clock.Second})
	g.Handle(dispatch(2, "next"), func(*wire.Reply) {}) // the dispatch waits until the reservation expires
	if got := <-h.begun; got != "next" {
		t.Errorf("got %s begun, want next", got)
	}
	close(h.end)
}

// A caller disconnects. A repeatable run is cancelled to free its slot. Any other run continues,
// because the caller wanted its effect.
func TestAbandonCancelsRepeatableRuns(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		g, h, _, _ := newGate(t)
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

// A backend server accepts requests and answers none in time, while its health endpoint
// reports success. Each run ends at its route's timeout, which is shorter than any general
// threshold for overdue runs. Unless the threshold follows the route's typical latency, there
// is no evidence against the backend server, and it keeps getting requests.
func TestOverdueRunsRaiseTheSeverity(t *testing.T) {
	changed := make(chan struct{}, 8)
	g, h, _, _ := newGateOnChange(t, func() { changed <- struct{}{} })
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

func newCapacityProbe(seq uint64) *wire.CapacityProbe {
	return &wire.CapacityProbe{
		ID: wire.RequestID{Entry: 5, Seq: seq}, Attempt: 1, Upstream: "c1", Budget: clock.Hour, WaitBudget: clock.Hour,
	}
}

func releaseOf(probe *wire.CapacityProbe) *wire.ReleaseReservation {
	return &wire.ReleaseReservation{ID: probe.ID, Attempt: probe.Attempt, Upstream: probe.Upstream}
}

// Requests wait for a slot at several gates. A request that found a slot elsewhere must leave
// the queue, or the next free slot stays reserved for it, unused, while another request waits.
func TestReleasedWaiterIsSkipped(t *testing.T) {
	g, h, _, _ := newGate(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	first, second := make(chan *wire.Reservation, 1), make(chan *wire.Reservation, 1)
	g.ProbeCapacity(newCapacityProbe(2), func(r *wire.Reservation) { first <- r })
	g.ProbeCapacity(newCapacityProbe(3), func(r *wire.Reservation) { second <- r })
	g.ReleaseReservation(releaseOf(newCapacityProbe(2)))
	close(h.end)
	if got := <-second; !got.Reserved {
		t.Errorf("got reason %s for the second waiter, want the slot reserved for it", got.Reason)
	}
	if len(first) > 0 {
		t.Errorf("got %+v for a waiter that was released, want no response", <-first)
	}
}

// A slot is reserved for a request that runs elsewhere. When the reservation is released, the
// slot must be free immediately: a slot that stays idle for the reservation's 40 ms delays the
// waiters.
func TestReleasedReservationFreesTheSlot(t *testing.T) {
	g, h, _, _ := newGate(t)
	close(h.end)
	for seq := range uint64(50) { // 2 s if each reservation had to expire
		probe := newCapacityProbe(seq)
		if got := probeCapacity(g, probe); !got.Reserved {
			t.Fatalf("probe %d: got reason %s, want the slot reserved", seq, got.Reason)
		}
		g.ReleaseReservation(releaseOf(probe))
	}
}

// The upstream begins to leave while capacity probes wait for its slots. If they are refused
// immediately, their requests have time for other upstreams.
func TestCapacityProbesAreRefusedWhenTheUpstreamLeaves(t *testing.T) {
	g, h, s, u := newGate(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	reservations := make(chan *wire.Reservation, 1)
	g.ProbeCapacity(newCapacityProbe(2), func(r *wire.Reservation) { reservations <- r })
	u.Weight = 0
	g.Update(s, u)
	if got := <-reservations; got.Reserved || got.Reason != wire.ReasonLeaving {
		t.Errorf("got reserved %v, reason %s; want the probe refused, since the upstream leaves", got.Reserved, got.Reason)
	}
	close(h.end)
}

// The wait budget of a request is over. If the gate didn't refuse the probe, the entry would
// find out only by its own timeout, 100 ms later.
func TestCapacityProbeEndsWithItsWaitBudget(t *testing.T) {
	g, h, _, _ := newGate(t)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	probe := newCapacityProbe(2)
	probe.WaitBudget = 5
	if got := probeCapacity(g, probe); got.Reserved || got.Reason != wire.ReasonDeadlineTooShort {
		t.Errorf("got reserved %v, reason %s; want the probe refused as too late", got.Reserved, got.Reason)
	}
	close(h.end)
}

// An upstream gets no requests, so the evidence for its health becomes outdated. Its gate must
// request work, first from any entry, then from an entry that has sent requests.
func TestIdleGateRequestsWork(t *testing.T) {
	targets := make(chan uint64, 64)
	g, h := newGateRequestingWork(t, func(entry uint64) { targets <- entry })
	if got := <-targets; got != 0 {
		t.Errorf("got a work request to entry %d before any entry sent a request, want 0 for any entry", got)
	}
	d := dispatch(1, "first")
	d.Repeatable, d.ID.Entry = true, 42
	close(h.end)
	g.Handle(d, func(*wire.Reply) {})
	<-h.begun
	for got := range targets {
		if got == 42 {
			break
		}
	}
	g.Leave()
}

// No caller is near an upstream: only one entry has sent it a request, and has no other for
// seconds. If the gate requested work from that entry alone, the upstream would stay idle while
// requests fail elsewhere. The gate must ask other entries, too, and still the known one.
func TestIdleGateRequestsWorkFromUnknownEntries(t *testing.T) {
	targets := make(chan uint64, 64)
	g, h := newGateRequestingWork(t, func(entry uint64) { targets <- entry })
	<-targets
	d := dispatch(1, "first")
	d.Repeatable, d.ID.Entry = true, 42
	close(h.end)
	g.Handle(d, func(*wire.Reply) {})
	<-h.begun
	for got := range targets {
		if got == 42 {
			break
		}
	}
	known, others := 0, 0
	for range 16 {
		if got := <-targets; got == 42 {
			known++
		} else {
			others++
		}
	}
	if known == 0 || others < known {
		t.Errorf("got %d work requests to the known entry, %d to others; want both, and more to others", known, others)
	}
	g.Leave()
}

func newGateRequestingWork(t *testing.T, requested func(entry uint64)) (*gate.Gate, *blockingBackend) {
	t.Helper()
	now := clock.NewSystem().Now
	h := &blockingBackend{begun: make(chan string, 8), end: make(chan struct{})}
	return gate.New(gate.Config{
		Service:  table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4},
		Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1}, Incarnation: incarnation, Now: now, Backend: h,
		Pool: newPool(t), Recorder: discardRecorder{}, Keys: gate.NewKeyStore(now), Log: logging.Silent(),
		RequestWork: func(entry uint64, _ *wire.WorkRequest) bool {
			requested(entry)
			return true
		},
	}), h
}

// probeCounter counts the probes of a backend server.
type probeCounter struct {
	*blockingBackend

	probes int
}

func (p *probeCounter) Probe(string) bool {
	p.probes++
	return true
}

// The health endpoint of an upstream reports success while most requests fail. A detector that
// doesn't record probes must not spend 25 ms of a slot on a probe every two seconds; other
// detectors must be probed.
func TestOnlyDetectorsThatRecordProbesProbe(t *testing.T) {
	for _, tt := range []struct {
		caution table.Caution
		want    int
	}{{table.ShortEpisodes, 0}, {table.Balanced, 1}} {
		_, h, s, u := newGate(t)
		b := &probeCounter{blockingBackend: h}
		s.Caution, s.ProbePath = tt.caution, "/health"
		now := clock.NewSystem().Now
		gate.New(gate.Config{
			Service: s, Upstream: u, Incarnation: incarnation, Now: now, Backend: b, Recorder: discardRecorder{}, Keys: gate.NewKeyStore(now), Log: logging.Silent(),
		}).ProbeHealth()
		if b.probes != tt.want {
			t.Errorf("%s: got %d probes, want %d", tt.caution, b.probes, tt.want)
		}
	}
}

// newPool returns a pool of 8 workers that is released when the test ends.
func newPool(t *testing.T) *ants.Pool {
	t.Helper()
	pool, err := ants.NewPool(8)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	return pool
}

// Guards against an entry that takes an upstream for leaving after it has returned to use: the entry of the
// gate's own node learns its status only when it changes.
func TestReturnToUseIsPublished(t *testing.T) {
	changes := 0
	g, _, s, u := newGateOnChange(t, func() { changes++ })
	steps := []func(leaves bool){
		func(leaves bool) {
			u.Weight = 100
			if leaves {
				u.Weight = 0
			}
			g.Update(s, u)
		},
		g.SetListedLeaving,
	}
	for i, setLeaving := range steps {
		setLeaving(true)
		before := changes
		setLeaving(false)
		if changes == before {
			t.Errorf("step %d: got no change published, want one", i)
		}
	}
}
