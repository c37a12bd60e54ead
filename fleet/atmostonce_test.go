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

// outcomeRecorder records the outcomes that callers receive for requests that must not be
// repeated, to compare them with the backend servers' ledgers.
type outcomeRecorder struct {
	mu       sync.Mutex
	outcomes map[string]access.Outcome
}

func newOutcomeRecorder() *outcomeRecorder {
	return &outcomeRecorder{outcomes: map[string]access.Outcome{}}
}

func (recorder *outcomeRecorder) post(t *testing.T, address string) answer {
	t.Helper()
	got := send(t, "POST", address, "/conferme/turno", "palermo-7")
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.outcomes[got.id] = access.Outcome(got.outcome)
	return got
}

// checkAgainstLedgers fails the test if a request ran twice, if one refused as not run
// did run, or if one reported as served didn't run exactly once. It returns the number of
// unknown outcomes.
func (recorder *outcomeRecorder) checkAgainstLedgers(t *testing.T, f *fleet.Fleet) (unknown int) {
	t.Helper()
	runs := map[string]int{}
	for _, b := range f.Backends {
		for _, e := range b.Ledger() {
			runs[e.ID]++
		}
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			t.Errorf("request %s: got %d runs, want at most 1", id, n)
		}
	}
	for id, outcome := range recorder.outcomes {
		switch outcome {
		case access.NotRun:
			if runs[id] != 0 {
				t.Errorf("request %s: got %d runs of a request refused as not run, want 0", id, runs[id])
			}
		case access.Served:
			if runs[id] != 1 {
				t.Errorf("request %s: got %d runs of a served request, want 1", id, runs[id])
			}
		case access.Unknown:
			unknown++
		default:
			t.Errorf("request %s: got outcome %q", id, outcome)
		}
	}
	return unknown
}

// startTwoNodes starts an entry node without upstreams and a gate node with one upstream.
// Every request through the entry node is sent over the link between them.
func startTwoNodes(t *testing.T, service clock.Millis) (f *fleet.Fleet, entryNode, gateNode *fleet.Member, backend *standin.Backend) {
	t.Helper()
	return startTwoNodesOf(t, fleet.Config{Table: newTable(1), ServiceTime: service})
}

// startTwoNodesOf is startTwoNodes for a deployment of one node and one upstream.
func startTwoNodesOf(t *testing.T, c fleet.Config) (f *fleet.Fleet, entryNode, gateNode *fleet.Member, backend *standin.Backend) {
	t.Helper()
	c.LinkRelays = true
	f = startFleet(t, c)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	entryNode, err := f.AddMember(ctx, "far", "catania")
	if err != nil {
		t.Fatal(err)
	}
	<-entryNode.Node.InForce()
	return f, entryNode, f.Members[0], f.Backends["conferme-1"]
}

// begunAtLeast returns a condition for awaitTotals: at least n requests were begun.
func begunAtLeast(n uint64) func(standin.Totals) bool {
	return func(totals standin.Totals) bool { return totals.Begun >= n }
}

// awaitTotals waits until a backend server's totals meet the condition.
func awaitTotals(t *testing.T, b *standin.Backend, isReached func(standin.Totals) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if err := b.Await(ctx, isReached); err != nil {
		t.Fatal(err)
	}
}

// The link falls silent permanently while the gate runs a request, for example because a
// device between the nodes lost the connection's state. The gate still has the answer:
// the caller must receive it over a new link, without an "unknown" outcome and without a
// second run.
func TestSilentLinkIsReplacedAndOutcomeResolved(t *testing.T) {
	f, entryNode, gateNode, backend := startTwoNodes(t, 300)
	recorder := newOutcomeRecorder()
	recorder.post(t, entryNode.Caller)
	done := make(chan answer)
	go func() { done <- recorder.post(t, entryNode.Caller) }()
	awaitTotals(t, backend, begunAtLeast(2))
	gateNode.LinkRelay.SetMode(standin.BlackholeOpen)
	if got := <-done; got.outcome != "served" {
		t.Errorf("got %d %s %s, want served", got.status, got.outcome, got.reason)
	}
	if got := recorder.checkAgainstLedgers(t, f); got != 0 {
		t.Errorf("got %d unknown, want 0", got)
	}
}

// The gate's node is stopped while the backend server runs a request, so that nobody can
// know whether the request took effect. The caller must receive the outcome "unknown", and
// no other upstream may get the request.
func TestGateKilledWhileItRuns(t *testing.T) {
	f, entryNode, gateNode, backend := startTwoNodes(t, 300)
	recorder := newOutcomeRecorder()
	recorder.post(t, entryNode.Caller)
	done := make(chan answer)
	go func() { done <- recorder.post(t, entryNode.Caller) }()
	awaitTotals(t, backend, begunAtLeast(2))
	gateNode.Stop()
	if got := <-done; got.outcome != "unknown" {
		t.Errorf("got %d %s %s, want unknown", got.status, got.outcome, got.reason)
	}
	recorder.checkAgainstLedgers(t, f)
}

// A path loses everything in one direction. If it loses answers, the request runs once
// and the entry receives neither the answer nor a resolution. If it loses requests, only
// heartbeats arrive that don't echo the entry's own. The request must neither be reported
// as served nor run again.
func TestPathThatLosesOneDirection(t *testing.T) {
	for mode, runs := range map[standin.RelayMode]uint64{standin.DropFromTarget: 2, standin.DropToTarget: 1} {
		t.Run(string(mode), func(t *testing.T) {
			f, entryNode, gateNode, backend := startTwoNodes(t, 50)
			recorder := newOutcomeRecorder()
			recorder.post(t, entryNode.Caller)
			gateNode.LinkRelay.SetMode(mode)
			if got := recorder.post(t, entryNode.Caller); got.outcome == "served" {
				t.Error("got served over a path that loses one direction")
			}
			if got := backend.Totals().Begun; got != runs {
				t.Errorf("got %d runs, want %d", got, runs)
			}
			recorder.checkAgainstLedgers(t, f)
		})
	}
}

// The path freezes with a request in it and recovers after the request's deadline, as with
// a gate that was paused. The caller has received the outcome "unknown" and may have
// corrected the data by hand, so the dispatch that arrives late must not run.
func TestDispatchAfterItsLeaseIsNotRun(t *testing.T) {
	f, entryNode, gateNode, backend := startTwoNodes(t, 5)
	recorder := newOutcomeRecorder()
	recorder.post(t, entryNode.Caller)
	gateNode.LinkRelay.SetMode(standin.Freeze)
	got := recorder.post(t, entryNode.Caller)
	if got.outcome == "served" {
		t.Fatalf("got served over a frozen path")
	}
	gateNode.LinkRelay.SetMode(standin.Pass)
	for recorder.post(t, entryNode.Caller).outcome != "served" {
		continue // until the path works again
	}
	for _, e := range backend.Ledger() {
		if e.ID == got.id {
			t.Errorf("request %s: got a run after its lease, want none", got.id)
		}
	}
	recorder.checkAgainstLedgers(t, f)
}
