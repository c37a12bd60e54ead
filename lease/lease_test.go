package lease_test

import (
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
)

const incarnation = 7

var key = lease.Key{Entry: 1, Seq: 1}

// Guards against a dispatch that runs after the gate has resolved it as not run: its frame
// is delayed on a stalled link, the entry asks the gate, and sends the request elsewhere.
func TestDeduplicatorRefusesDispatchResolvedAsNotRun(t *testing.T) {
	d := lease.NewDeduplicator[string](incarnation)
	if got, _ := d.Resolve(10, key, incarnation, 100); got != lease.NotRun {
		t.Fatalf("got resolution %v, want %v", got, lease.NotRun)
	}
	if got := d.Accept(20, key, incarnation, 100); got != lease.Revoked {
		t.Errorf("got verdict %v for the late frame, want %v", got, lease.Revoked)
	}
}

// Guards against a replaced gate that resolves a dispatch to its predecessor as not run: the
// dispatch may have run there, and the entry would send the request again.
func TestDeduplicatorDoesNotAnswerForOtherIncarnation(t *testing.T) {
	d := lease.NewDeduplicator[string](incarnation + 1)
	if got, _ := d.Resolve(10, key, incarnation, 100); got != lease.Forgotten {
		t.Errorf("got resolution %v, want %v", got, lease.Forgotten)
	}
}

// Guards against a dispatch that a gate runs after a pause of a minute, long after the
// caller has received the outcome unknown.
func TestDeduplicatorRefusesDispatchAfterItsLease(t *testing.T) {
	d := lease.NewDeduplicator[string](incarnation)
	if got := d.Accept(clock.Minute, key, incarnation, 100); got != lease.Stale {
		t.Errorf("got %v, want %v", got, lease.Stale)
	}
	d = lease.NewDeduplicator[string](incarnation)
	d.Accept(50, key, incarnation, 100)
	if d.Begin(clock.Minute, key) {
		t.Error("got true from Begin after the lease, want false")
	}
}

// Guards against a dispatch that ran and whose record has expired being resolved as not
// run, when the entry was paused and asks late: the entry would send the request again.
func TestDeduplicatorReportsExpiredDispatchAsForgotten(t *testing.T) {
	d := lease.NewDeduplicator[string](incarnation)
	d.Accept(0, key, incarnation, 100)
	d.Begin(0, key)
	d.Finish(key, "ok")
	if got, result := d.Resolve(200, key, incarnation, 100); got != lease.Done || result != "ok" {
		t.Errorf("got %v %q, want %v %q", got, result, lease.Done, "ok")
	}
	if got, _ := d.Resolve(clock.Minute, key, incarnation, 100); got != lease.Forgotten {
		t.Errorf("got %v, want %v", got, lease.Forgotten)
	}
	if got := d.Len(); got != 0 {
		t.Errorf("got %d records, want 0", got)
	}
}

// Guards against a dispatch that runs twice, or runs although it was resolved as not run,
// when frames are duplicated, reordered and delayed.
func TestDeduplicatorRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := lease.NewDeduplicator[int](incarnation)
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
				d.Accept(now, k, incarnation, leases[k])
			case 1:
				if d.Begin(now, k) {
					runs[k]++
				}
			case 2:
				d.Finish(k, 1)
			case 3:
				got, _ := d.Resolve(now, k, incarnation, leases[k])
				denied[k] = denied[k] || got == lease.NotRun
				if got == lease.NotRun && runs[k] > 0 {
					t.Fatalf("got NotRun for %v, which ran", k)
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

// Guards against an estimate that runs ahead of the gate's clock when frames are delayed:
// with a lease made from it, a paused gate could begin a request after its deadline.
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
