package retry_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
)

// init fixes the seed of the property tests unless -rapid.seed is given on the command line.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// attempt returns an attempt that was refused for load and may be retried, after change
// has modified it.
func attempt(change func(a *retry.Attempt)) retry.Attempt {
	a := retry.Attempt{RefusedForLoad: true, Attempts: 1, Remaining: clock.Second, Untried: 5}
	if change != nil {
		change(&a)
	}
	return a
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		change func(a *retry.Attempt)
		want   retry.Reason
	}{
		{"not run", func(a *retry.Attempt) { a.RefusedForLoad = false }, ""},
		{"not run for load", nil, ""},
		{"failed", func(a *retry.Attempt) { a.Result = retry.Failed }, retry.NotRepeatable},
		{"silent", func(a *retry.Attempt) { a.Result = retry.NoResponse }, retry.NotRepeatable},
		{"silent, repeatable", func(a *retry.Attempt) { a.Result, a.Repeatable = retry.NoResponse, true }, ""},
		{"third refusal without cost", func(a *retry.Attempt) { a.RefusedForLoad, a.Attempts = false, 3 }, ""},
		{"eighth refusal without cost", func(a *retry.Attempt) { a.RefusedForLoad, a.Attempts = false, 8 }, retry.TooManyAttempts},
		{"third attempt", func(a *retry.Attempt) { a.Attempts = 3 }, retry.TooManyAttempts},
		{"first run of two after many refusals", func(a *retry.Attempt) {
			a.Result, a.Repeatable, a.Attempts, a.Runs, a.MaxRuns = retry.Failed, true, 9, 1, 2
		}, ""},
		{"eighth refusal in a row of two runs", func(a *retry.Attempt) { a.Attempts, a.Refused, a.MaxRuns = 8, 8, 2 }, retry.TooManyAttempts},
		{"eighth upstream that shed it", func(a *retry.Attempt) { a.Attempts, a.Shed, a.MaxRuns = 8, 8, 2 }, retry.TooManyAttempts},
		{"second run of two", func(a *retry.Attempt) {
			a.Result, a.Repeatable, a.Attempts, a.Runs, a.MaxRuns = retry.Failed, true, 2, 2, 2
		}, retry.TooManyAttempts},
		{"no time", func(a *retry.Attempt) { a.Remaining = 4 }, retry.DeadlineTooShort},
		{"all tried", func(a *retry.Attempt) { a.Untried = 0 }, retry.NoUpstreamLeft},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := retry.New(retry.Config{Share: 0.1}).Decide(0, attempt(tt.change))
			if got.Reason != tt.want || got.Retry != (tt.want == "") {
				t.Errorf("got %+v, want reason %q", got, tt.want)
			}
			wantRetryAfter := tt.want != "" && tt.want != retry.NotRepeatable
			if (got.RetryAfter > 0) != wantRetryAfter {
				t.Errorf("got RetryAfter %v, want one: %v", got.RetryAfter, wantRetryAfter)
			}
		})
	}
}

// Requests and failures arrive in any order and at any rate. Retries beyond the
// share would multiply the load of a service that fails because it is overloaded.
func TestBudgetBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b, now := retry.New(retry.Config{Share: share}), clock.Millis(0)
		// excess is the maximum of retries - share x requests over all windows that
		// end now.
		excess := 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += clock.Millis(rapid.SampledFrom([]int{0, 1, 100, 10000}).Draw(t, "span"))
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				excess = max(excess-share, 0)
			}
			if b.Decide(now, attempt(nil)).Retry {
				excess++
			}
			if excess > retry.MaxBurst+1e-6 {
				t.Fatalf("got %v retries beyond the share, want at most %v", excess, retry.MaxBurst)
			}
		}
	})
}

// exhaustBudget makes retries until the budget refuses one and returns their number.
func exhaustBudget(b *retry.Budget, now clock.Millis) (n int) {
	for b.Decide(now, attempt(nil)).Retry {
		n++
	}
	return n
}

// Each of 2,400 entries receives one request for a service every three seconds, and the
// service begins to fail. If the burst of each entry weren't small, together they would
// keep the whole service busy for minutes.
func TestBurstFollowsTheTraffic(t *testing.T) {
	for _, tt := range []struct {
		name string
		gap  clock.Millis
		want int
	}{{"idle", 3 * clock.Second, retry.MinBurst}, {"busy", 10, retry.MaxBurst}} {
		b, now := retry.New(retry.Config{Share: 0.1}), clock.Millis(0)
		for range 10000 {
			now += tt.gap
			b.RecordRequest(now)
		}
		if got := exhaustBudget(b, now); got != tt.want {
			t.Errorf("%s: got a burst of %d, want %d", tt.name, got, tt.want)
		}
	}
}

// If all gates refuse for load, a retry is a useless message; if one of six refuses, a
// retry likely succeeds. Retries must resume by themselves when the overload ends.
func TestNoRetryIntoAFullService(t *testing.T) {
	for _, tt := range []struct {
		name    string
		refused int
		after   clock.Millis
		want    retry.Reason
	}{
		{"all of six refuse", 6, 0, retry.ServiceFull},
		{"one of six refuses", 1, 0, ""},
		{"all refused a while ago", 6, 5 * clock.Second, ""},
	} {
		b := retry.New(retry.Config{Share: 0.1})
		for i := range 60 {
			b.RecordReply(clock.Millis(i), i%6 < tt.refused)
		}
		if got := b.Decide(60+tt.after, attempt(nil)).Reason; got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}

// One of three backend servers is down and refuses connections immediately, so that it
// seems idle and is chosen often. Until it is ejected, requests that it refuses must be
// retried at the others, which have room, even if the budget is exhausted.
func TestRefusalWithoutCostIsRetried(t *testing.T) {
	b := retry.New(retry.Config{Share: 0.1})
	exhaustBudget(b, 0)
	if got := b.Decide(0, attempt(nil)).Reason; got != retry.NoBudget {
		t.Errorf("for load: got %q, want %q", got, retry.NoBudget)
	}
	if got := b.Decide(0, attempt(func(a *retry.Attempt) { a.RefusedForLoad = false })); !got.Retry {
		t.Errorf("connection refused: got %+v, want a retry", got)
	}
}

// A caller that is refused for lack of budget must get a retry time that follows from the
// rate at which the service earns retries, or the gate's estimate if there is one.
func TestRetryAfterIsComputed(t *testing.T) {
	b, now := retry.New(retry.Config{Share: 0.1}), clock.Millis(0)
	exhaustBudget(b, now)
	if got := b.Decide(now, attempt(nil)).RetryAfter; got < 30*clock.Second {
		t.Errorf("no traffic: got %v, want the bound of 30s or more", got)
	}
	for range 200 {
		now += 250
		b.RecordRequest(now)
		b.Decide(now, attempt(nil))
	}
	// four requests per second earn a retry in 2.5 s
	if got := b.Decide(now, attempt(nil)); got.Retry || got.RetryAfter < clock.Second || got.RetryAfter > 4*clock.Second {
		t.Errorf("some traffic: got %+v, want a refusal of 1s to 4s", got)
	}
	if got := b.Decide(now, attempt(func(a *retry.Attempt) { a.RetryAfter = 70 })).RetryAfter; got != 70 {
		t.Errorf("computed by the gate: got %v, want 70ms", got)
	}
}
