package fleet_test

import (
	"context"
	"sync"
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
)

// witness collects what callers were told of requests that may not be
// repeated, to hold it against the backend servers' ledgers.
type witness struct {
	mu   sync.Mutex
	told map[string]access.Outcome
}

func newWitness() *witness {
	return &witness{told: map[string]access.Outcome{}}
}

func (w *witness) post(t *testing.T, address string) answer {
	t.Helper()
	got := send(t, "POST", address, "/conferme/turno", "palermo-7")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told[got.id] = access.Outcome(got.outcome)
	return got
}

// check holds every answer against the ledgers: nothing runs twice, what was
// refused as not run has no entry, what was served has exactly one.
func (w *witness) check(t *testing.T, f *fleet.Fleet) (unknown int) {
	t.Helper()
	runs := map[string]int{}
	for _, b := range f.Backends {
		for _, e := range b.Ledger() {
			runs[e.ID]++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			t.Errorf("request %s: got %d runs, want at most 1", id, n)
		}
	}
	for id, outcome := range w.told {
		switch outcome {
		case access.NotRun:
			if runs[id] != 0 {
				t.Errorf("request %s: got %d runs of what was refused as not run", id, runs[id])
			}
		case access.Served:
			if runs[id] != 1 {
				t.Errorf("request %s: got %d runs of what was served, want 1", id, runs[id])
			}
		case access.Unknown:
			unknown++
		default:
			t.Errorf("request %s: got outcome %q", id, outcome)
		}
	}
	return unknown
}

// two starts two nodes with an upstream beside the second only, so that every
// request through the first crosses the link.
func two(t *testing.T, service clock.Millis) (f *fleet.Fleet, far, beside *fleet.Member, backend *standin.Backend) {
	t.Helper()
	f = start(t, fleet.Config{Table: deployment(1), ServiceTime: service, LinkRelays: true})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	far, err := f.AddMember(ctx, "far", "catania")
	if err != nil {
		t.Fatal(err)
	}
	<-far.Node.InForce()
	return f, far, f.Members[0], f.Backends["conferme-1"]
}

func ran(n uint64) func(standin.Totals) bool {
	return func(totals standin.Totals) bool { return totals.Begun >= n }
}

func await(t *testing.T, b *standin.Backend, reached func(standin.Totals) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := b.Await(ctx, reached); err != nil {
		t.Fatal(err)
	}
}

// A dispatcher confirms a shift; the link carries the confirmation, then goes
// silent for good, because something between its ends lost track of it. The
// confirmation runs. On a new link the gate still has the answer: the caller
// must get it, not "unknown", and not a second run.
func TestSilentLinkIsReplacedAndSettled(t *testing.T) {
	f, far, beside, backend := two(t, 300)
	w := newWitness()
	w.post(t, far.Caller)
	done := make(chan answer)
	go func() { done <- w.post(t, far.Caller) }()
	await(t, backend, ran(2))
	beside.LinkRelay.SetMode(standin.BlackholeOpen)
	if got := <-done; got.outcome != "served" {
		t.Errorf("got %d %s %s, want served", got.status, got.outcome, got.reason)
	}
	if got := w.check(t, f); got != 0 {
		t.Errorf("got %d unknown, want 0", got)
	}
}

// The gate's node dies while the backend server runs a payroll entry. Nobody
// can tell any more whether it was recorded: the caller hears unknown, and no
// other upstream gets the entry.
func TestGateKilledWhileItRuns(t *testing.T) {
	f, far, beside, backend := two(t, 300)
	w := newWitness()
	w.post(t, far.Caller)
	done := make(chan answer)
	go func() { done <- w.post(t, far.Caller) }()
	await(t, backend, ran(2))
	beside.Stop()
	if got := <-done; got.outcome != "unknown" {
		t.Errorf("got %d %s %s, want unknown", got.status, got.outcome, got.reason)
	}
	w.check(t, f)
}

// A path loses everything one way. Lost answers: it ran once, and the entry hears
// neither the answer nor a settlement. Lost requests: nothing comes back but
// heartbeats that don't echo its own. Neither may be told as served, nor run again.
func TestLostOneWay(t *testing.T) {
	for mode, runs := range map[standin.RelayMode]uint64{standin.DropFromTarget: 2, standin.DropToTarget: 1} {
		t.Run(string(mode), func(t *testing.T) {
			f, far, beside, backend := two(t, 50)
			w := newWitness()
			w.post(t, far.Caller)
			beside.LinkRelay.SetMode(mode)
			if got := w.post(t, far.Caller); got.outcome == "served" {
				t.Error("got served over a path that loses one way")
			}
			if got := backend.Totals().Begun; got != runs {
				t.Errorf("got %d runs, want %d", got, runs)
			}
			w.check(t, f)
		})
	}
}

// The path stalls with a price revision in it and moves on after its deadline,
// as with a gate that was paused. The owner was told that the outcome is
// unknown and may have corrected it by hand: the late frame must not run.
func TestStalledFrameIsNotRunLate(t *testing.T) {
	f, far, beside, backend := two(t, 5)
	w := newWitness()
	w.post(t, far.Caller)
	beside.LinkRelay.SetMode(standin.Freeze)
	got := w.post(t, far.Caller)
	if got.outcome == "served" {
		t.Fatalf("got served over a frozen path")
	}
	beside.LinkRelay.SetMode(standin.Pass)
	for w.post(t, far.Caller).outcome != "served" {
		continue // until the path is back
	}
	for _, e := range backend.Ledger() {
		if e.ID == got.id {
			t.Errorf("request %s: got a run after its lease, want none", got.id)
		}
	}
	w.check(t, f)
}
