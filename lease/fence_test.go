package lease_test

import (
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
)

const incarnation = 7

var key = lease.Key{Entry: 1, Seq: 1}

// A cleaner's shift confirmation is sent, the entry hears nothing, and asks
// the gate. The gate says not run, so another crew is asked. Only then does
// the first frame leave the stalled link. If it ran now, two crews would go.
func TestFenceRefusesDispatchThatItsSettlementOvertook(t *testing.T) {
	f := lease.NewDeduplicator[string](incarnation)
	if got, _ := f.Resolve(10, key, incarnation, 100); got != lease.NotRun {
		t.Fatalf("got settlement %v, want %v", got, lease.NotRun)
	}
	if got := f.Accept(20, key, incarnation, 100); got != lease.Revoked {
		t.Errorf("got %v for the late frame, want %v", got, lease.Revoked)
	}
}

// A confirmation runs, its gate is replaced on the same address, and the entry
// asks the new one. The new one never saw the request; were it to say not run,
// the entry would confirm a second time elsewhere.
func TestFenceOfNewIncarnationDoesNotVouch(t *testing.T) {
	f := lease.NewDeduplicator[string](incarnation + 1)
	if got, _ := f.Resolve(10, key, incarnation, 100); got != lease.Forgotten {
		t.Errorf("got settlement %v, want %v", got, lease.Forgotten)
	}
}

// A gate is frozen with a payroll entry in its socket and wakes a minute
// later, when the caller was long told that the outcome is unknown.
func TestFenceRefusesDispatchAfterItsLease(t *testing.T) {
	f := lease.NewDeduplicator[string](incarnation)
	if got := f.Accept(clock.Minute, key, incarnation, 100); got != lease.Stale {
		t.Errorf("got %v, want %v", got, lease.Stale)
	}
	f = lease.NewDeduplicator[string](incarnation)
	f.Accept(50, key, incarnation, 100)
	if f.Begin(clock.Minute, key) {
		t.Error("got a begin after the lease, want none")
	}
}

// An entry is paused after its request ran and asks when the gate has long
// forgotten it. To be told not run would send the price revision once more.
func TestFenceForgetsOnlyWithoutVouching(t *testing.T) {
	f := lease.NewDeduplicator[string](incarnation)
	f.Accept(0, key, incarnation, 100)
	f.Begin(0, key)
	f.Finish(key, "ok")
	if got, result := f.Resolve(200, key, incarnation, 100); got != lease.Done || result != "ok" {
		t.Errorf("got %v %q, want %v %q", got, result, lease.Done, "ok")
	}
	if got, _ := f.Resolve(clock.Minute, key, incarnation, 100); got != lease.Forgotten {
		t.Errorf("got %v, want %v", got, lease.Forgotten)
	}
	if got := f.Len(); got != 0 {
		t.Errorf("got %d remembered, want 0", got)
	}
}

// Frames are duplicated, reordered and late in any way: a key runs at most
// once, and never once its entry was told that it is not run.
func TestFenceRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := lease.NewDeduplicator[int](incarnation)
		now := clock.Millis(0)
		runs := map[lease.Key]int{}
		denied := map[lease.Key]bool{}
		leases := map[lease.Key]clock.Millis{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := lease.Key{Entry: 1, Seq: rapid.Uint64Range(0, 3).Draw(t, "seq")}
			if _, ok := leases[k]; !ok {
				leases[k] = now + 500
			}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				f.Accept(now, k, incarnation, leases[k])
			case 1:
				if f.Begin(now, k) {
					runs[k]++
				}
			case 2:
				f.Finish(k, 1)
			case 3:
				got, _ := f.Resolve(now, k, incarnation, leases[k])
				denied[k] = denied[k] || got == lease.NotRun
				if got == lease.NotRun && runs[k] > 0 {
					t.Fatalf("got not run for %v that ran", k)
				}
			case 4:
				now += clock.Millis(rapid.Int64Range(0, 4000).Draw(t, "span"))
			}
			if runs[k] > 1 || (denied[k] && runs[k] > 0) {
				t.Fatalf("got %d runs of %v, denied %v; want at most one, none when denied", runs[k], k, denied[k])
			}
		}
	})
}

// An entry hears a gate's clock with delays. A lease made from an estimate
// that runs ahead would let a paused gate begin a request after its deadline.
func TestEstimateNeverRunsAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e lease.ClockEstimate
		skew := clock.Millis(rapid.Int64Range(-1000, 1000).Draw(t, "skew"))
		now := clock.Millis(5000)
		for range 20 {
			now += clock.Millis(rapid.Int64Range(0, 3000).Draw(t, "span"))
			delay := clock.Millis(rapid.Int64Range(0, 2000).Draw(t, "delay"))
			e.Update(now, incarnation, now+skew-delay)
			if got, want := e.At(now), now+skew; got > want {
				t.Fatalf("got %v, want at most %v", got, want)
			}
		}
	})
}
