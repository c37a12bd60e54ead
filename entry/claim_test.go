package entry_test

import (
	"sync"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/waiting"
	"fuchsiapick.example/fuchsiapick/wire"
)

func (d *fakeGate) ClaimSlot(c *wire.SlotClaim, o link.ClaimObserver) error {
	if d.onClaim == nil {
		grantClaim(c, o)
		return nil
	}
	d.onClaim(c, o)
	return nil
}

func grantClaim(c *wire.SlotClaim, o link.ClaimObserver) {
	grantSlot(c.Probe.Upstream, 0.1)(&c.Probe, o.Answered)
}

func refuseClaim(reason wire.Reason, retryAfter clock.Millis) func(*wire.SlotClaim, link.ClaimObserver) {
	return func(c *wire.SlotClaim, o link.ClaimObserver) {
		o.Answered(&wire.Reservation{ID: c.Probe.ID, Attempt: c.Probe.Attempt, Reason: reason, RetryAfter: retryAfter, Upstream: wire.Upstream{Name: c.Probe.Upstream, Share: 1}})
	}
}

func queueClaim(_ *wire.SlotClaim, o link.ClaimObserver) { o.Queued(300) }

// claimCounts counts the claims of an entry.
type claimCounts struct {
	mu     sync.Mutex
	counts map[waiting.Outcome]int
	waits  int
}

func (c *claimCounts) RecordClaim(_ string, outcome waiting.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome]++
}
func (c *claimCounts) RecordClaimWait(string, clock.Millis) { c.waits++ }

// newWaitingEntry returns an entry whose requests wait for a slot of the whole service, and the
// counts of their claims. No gate has a free slot when it is probed.
func newWaitingEntry(t *testing.T, repeatable []string, gates ...*fakeGate) (*entry.Entry, *claimCounts) {
	t.Helper()
	for _, g := range gates {
		g.onProbe = refuseSlot(g.name, wire.ReasonFull)
	}
	counts := &claimCounts{counts: map[waiting.Outcome]int{}}
	s := table.Service{
		Name: "conferme", Caution: table.ShortEpisodes, Waiting: table.WaitForService, Floor: 0.1, Deadline: clock.Minute,
		RetryRatio: 0.2, RetryWindow: 10 * clock.Second, ExtraRetries: 60,
	}
	return newClockedEntry(t, entry.Config{Now: clock.NewSystem().Now, Claims: counts}, s, repeatable, gates...), counts
}

// Guards against requests that end after four refusals while other gates have room, and that
// count a claim without answer, on a lost link or granted too late as a slot.
func TestSearchGoesOnUntilAGateGrants(t *testing.T) {
	lost := func(_ *wire.SlotClaim, o link.ClaimObserver) { o.Lost() }
	for _, tt := range []struct {
		name string
		busy func(*wire.SlotClaim, link.ClaimObserver)
		// want is how the claims at the busy gates end, unless a grant elsewhere ends them, and
		// wantReleased whether their gates are told.
		want         waiting.Outcome
		wantReleased bool
	}{
		{"full gates", refuseClaim(wire.ReasonFull, clock.Hour), waiting.Refused, false},
		{"gates that don't have the upstream", refuseClaim(wire.ReasonNoUpstream, 0), waiting.Refused, false},
		{"gates that don't answer", func(*wire.SlotClaim, link.ClaimObserver) {}, waiting.Unconfirmed, true},
		{"gates whose links are lost", lost, waiting.Unconfirmed, true},
		{"gates lost while the claim waits", func(c *wire.SlotClaim, o link.ClaimObserver) {
			queueClaim(c, o)
			lost(c, o)
		}, waiting.Unconfirmed, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			gates := make([]*fakeGate, 0, 8)
			gates = append(gates, &fakeGate{name: "free"})
			for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
				gates = append(gates, &fakeGate{name: name, onClaim: tt.busy})
			}
			e, counts := newWaitingEntry(t, []string{}, gates...)
			e.UpdateUpstream(wire.Upstream{Name: "free", Share: 1, Severity: 0.45}) // asked last
			if status, by := post(e); status != 200 || by != "free" {
				t.Fatalf("got %d from %q, want 200 from free", status, by)
			}
			if counts.counts[tt.want] < 4 || counts.counts[tt.want]+counts.counts[waiting.Withdrawn] != 7 || counts.counts[waiting.Granted] != 1 || counts.waits != 1 {
				t.Errorf("got %v, %d waits; want 7 claims %s, or some of them withdrawn, and one granted", counts.counts, counts.waits, tt.want)
			}
			for _, g := range gates[1:] {
				if got := len(g.released) > 0; got != tt.wantReleased || g.dispatched > 0 {
					t.Errorf("gate %s: got released: %v, %d dispatches; want %v and none", g.name, got, g.dispatched, tt.wantReleased)
				}
			}
		})
	}
}

// Guards against slots and queue positions that stay taken after the request has started: of
// three claims, one is granted, one is granted a moment later, and one waits.
func TestOtherClaimsAreWithdrawnAfterAGrant(t *testing.T) {
	var later []func()
	first, late, queued := &fakeGate{name: "first"}, &fakeGate{name: "late"}, &fakeGate{name: "queued", onClaim: queueClaim}
	late.onClaim = func(c *wire.SlotClaim, o link.ClaimObserver) {
		later = append(later, func() { grantClaim(c, o) })
		o.Queued(300)
	}
	e, counts := newWaitingEntry(t, []string{}, first, late, queued)
	if status, by := post(e); status != 200 || by != "first" {
		t.Errorf("got %d from %q, want 200 from first", status, by)
	}
	for _, grant := range later {
		grant()
	}
	if len(late.released) != len(later) || late.dispatched+queued.dispatched > 0 || len(first.released) > 0 {
		t.Errorf("got %v and %v released, want the claims at late and queued only, and nothing dispatched there", late.released, first.released)
	}
	if got, want := counts.counts[waiting.Withdrawn], len(late.released)+len(queued.released); got != want {
		t.Errorf("got %d claims withdrawn, want %d", got, want)
	}
}

// Guards against requests that are held although no gate will have room in time, and against a
// Retry-After that isn't that of the first gate to have room.
func TestSearchEndsOnceNoGateCanServe(t *testing.T) {
	gates := []*fakeGate{
		{name: "a", onClaim: refuseClaim(wire.ReasonFull, clock.Day)},
		{name: "b", onClaim: refuseClaim(wire.ReasonDeadlineTooShort, 7*clock.Minute)},
		{name: "c", onClaim: refuseClaim(wire.ReasonDeadlineTooShort, 9*clock.Minute)},
	}
	e, _ := newWaitingEntry(t, []string{}, gates...)
	response := send(e) // waiting for its deadline would take an hour
	if got := response.StatusCode(); got != 503 {
		t.Errorf("got %d, want 503", got)
	}
	if got := string(response.Header.Peek("Retry-After")); got != "420" {
		t.Errorf("got Retry-After %q, want 420 s, which gate b stated", got)
	}
}

// Guards against reads that are forced on an ejected upstream, which most likely fails them,
// while the others are merely busy.
func TestEjectedUpstreamIsTriedAfterTheSearch(t *testing.T) {
	for _, tt := range []struct {
		name       string
		retryAfter clock.Millis
		want       string
	}{{"the other has room in time", 100, "busy"}, {"the other has no room in time", clock.Day, "ejected"}} {
		t.Run(tt.name, func(t *testing.T) {
			asked := 0
			busy := &fakeGate{name: "busy"}
			busy.onClaim = func(c *wire.SlotClaim, o link.ClaimObserver) {
				if asked++; asked == 1 {
					refuseClaim(wire.ReasonFull, tt.retryAfter)(c, o)
					return
				}
				grantClaim(c, o)
			}
			busy.onDispatch = func(m *wire.Dispatch) *wire.Reply {
				if asked < 2 { // sent without a reserved slot
					return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonFull, Upstream: wire.Upstream{Name: "busy", Share: 1}}
				}
				return busy.served(m)
			}
			e, _ := newWaitingEntry(t, []string{table.AnyMethod}, busy, &fakeGate{name: "ejected"})
			e.UpdateUpstream(wire.Upstream{Name: "ejected", Share: 1, Severity: 0.95})
			if status, by := post(e); status != 200 || by != tt.want {
				t.Errorf("got %d from %q, want 200 from %s", status, by, tt.want)
			}
		})
	}
}
