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

// Reads fail while the slots of all sound upstreams are in use, and most find none within
// their time. Each had taken a retry of the budget that it never used: those that
// failed next to a free slot then got none.
func TestRetryThatReachedNobodyIsGivenBack(t *testing.T) {
	b := retry.New(retry.Config{Extra: 1, Window: 10 * clock.Second})
	a := retry.Attempt{Result: retry.Failed, Repeatable: true, Tried: 1, Untried: 3, Remaining: clock.Second}
	first := b.Decide(0, a)
	if got := b.Decide(1, a); got.Retry {
		t.Fatal("got a second retry, want the budget spent")
	}
	b.Return(600, first.Spent)
	if got := b.Decide(601, a); !got.Retry {
		t.Errorf("got none for %q after the first was given back, want a retry", got.Why)
	}
}

// A retry waits a second for its slot. Counted when it was decided, it would be out of
// the window while its arrival is still in it, and the service get more than allowed.
func TestRetryCountsWhenItIsSent(t *testing.T) {
	b := retry.New(retry.Config{Extra: 1, Window: 10 * clock.Second})
	a := retry.Attempt{Result: retry.Failed, Repeatable: true, Tried: 1, Untried: 3, Remaining: clock.Second}
	b.Sent(1500, b.Decide(0, a).Spent)
	if got := b.Decide(10_800, a); got.Retry {
		t.Error("got a retry 9.3 s after one was sent, want none: the window holds one")
	}
	if got := b.Decide(12_200, a); !got.Retry {
		t.Errorf("got none for %q once the window is over, want a retry", got.Why)
	}
}

// Half of a service fails, and requests are sent again to upstreams that will fail them
// too. They must leave a part of the budget to those that are likely to succeed.
func TestUnlikelyRetriesLeaveHalfOfTheBudget(t *testing.T) {
	b := retry.New(retry.Config{Extra: 4, Window: 10 * clock.Second})
	a := retry.Attempt{Result: retry.Failed, Repeatable: true, Tried: 1, Untried: 3, Remaining: clock.Second}
	unlikely := 0
	for b.Ample(0) {
		b.Decide(0, a)
		unlikely++
	}
	if unlikely != 2 {
		t.Errorf("got %d unlikely retries of a budget of 4, want 2", unlikely)
	}
	if got := b.Decide(1, a); !got.Retry {
		t.Errorf("got none for %q, want one for a likely retry", got.Why)
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
