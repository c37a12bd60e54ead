package retry_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
)

// Half of a service's upstreams fail at once and every entry sends again what it
// may. Together they must not send the sound half more than the operators allow
// in any ten seconds, wherever these begin, or the sound half fails as well. The
// pattern is that of a service of 72 requests a second before 24 entries.
func TestRetriesStayWithinEveryWindow(t *testing.T) {
	const span, share, extra = 10 * clock.Second, 0.2, 2.5
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		perSecond := rapid.Float64Range(0.2, 30).Draw(t, "rate")
		failing := rapid.Float64Range(0, 1).Draw(t, "failing")
		b := retry.New(retry.Config{Share: share, Extra: extra, Window: span})
		var requests, retries []clock.Millis
		for now := clock.Millis(0); now < 60*clock.Second; now += clock.Millis(1 + random.ExpFloat64()*1000/perSecond) {
			b.Request(now)
			requests = append(requests, now)
			a := retry.Attempt{Result: retry.Failed, Repeatable: true, Tried: 1, Ran: 1, MostRan: 2, Untried: 3, Remaining: clock.Second}
			if random.Float64() < failing && b.Decide(now, a).Retry {
				retries = append(retries, now)
			}
		}
		for _, last := range retries {
			got := count(retries, last-span+1, last+1)
			want := share*float64(count(requests, last-span+1, last+1)) + extra
			if float64(got) > want {
				t.Fatalf("up to %v: got %d retries in %v, want at most %.1f", last, got, span, want)
			}
		}
	})
}

// An edit of the table comes with each upstream that joins. Were the window
// begun anew with it, a release would lift the bound.
func TestAdjustKeepsWhatWasSpent(t *testing.T) {
	c := retry.Config{Extra: 2, Window: 10 * clock.Second}
	b := retry.New(c)
	a := retry.Attempt{Result: retry.Failed, Repeatable: true, Tried: 1, Untried: 3, Remaining: clock.Second}
	got := 0
	for now := clock.Millis(0); now < 5*clock.Second; now += 100 {
		b.Adjust(c)
		if b.Decide(now, a).Retry {
			got++
		}
	}
	if got != 2 {
		t.Errorf("got %d retries within a window, want 2", got)
	}
}

// A gate's refusal reached no upstream and costs nothing; an upstream's own does.
func TestOnlyArrivalsAreCounted(t *testing.T) {
	b := retry.New(retry.Config{Extra: 1, Window: 10 * clock.Second})
	a := retry.Attempt{Result: retry.NotRun, ForLoad: true, MostRan: 2, Tried: 1, Untried: 3, Remaining: clock.Second}
	for i := range 5 {
		if got := b.Decide(clock.Millis(i), a); !got.Retry {
			t.Errorf("refusal %d: got %v, want a retry", i, got.Why)
		}
	}
	a.Arrived = true
	b.Decide(10, a)
	if got := b.Decide(11, a); got.Retry || got.Why != retry.NoBudget {
		t.Errorf("got retry %v and %q, want none for want of budget", got.Retry, got.Why)
	}
}

// Half of the bookings at a service are sent again after a failure, and each makes its
// call once more: 70 calls in a hundred bookings. At the service that is called these
// calls are repeats, though their entries see each for the first time. With them left
// out of the count, calls and retries together went over the operators' bound.
func TestCallsOfRepeatedRunsSpendTheBudget(t *testing.T) {
	const span, share, extra = 10 * clock.Second, 0.2, 2.0
	random := rand.New(rand.NewPCG(1, 0))
	b := retry.New(retry.Config{Share: share, Extra: extra, Window: span})
	var requests, repeats []clock.Millis
	for now := clock.Millis(0); now < clock.Minute; now += 50 {
		b.Request(now)
		requests = append(requests, now)
		if random.Float64() < 0.1 { // a tenth of the runs beside the entry are repeats
			repeats = append(repeats, now)
		}
		b.Repeated(now, 0.1)
		a := retry.Attempt{Result: retry.Failed, Repeatable: true, Tried: 1, Ran: 1, MostRan: 2, Untried: 3, Remaining: clock.Second}
		if random.Float64() < 0.5 && b.Decide(now, a).Retry {
			repeats = append(repeats, now)
		}
	}
	for end := span; end <= clock.Minute; end += clock.Second {
		got := float64(count(repeats, end-span, end))
		// Half of the chance calls' deviation, 4.2 in 200, twice over.
		want := share*float64(count(requests, end-span, end)) + extra + 9
		if got > want {
			t.Errorf("up to %v: got %v repeats in %v, want at most %.1f", end, got, span, want)
		}
	}
}

func count(instants []clock.Millis, from, to clock.Millis) int {
	n := 0
	for _, at := range instants {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
