package health_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
)

// ejectedDetector returns a detector that has just ejected its upstream, and the instant.
func ejectedDetector(t *testing.T) (*health.Detector, clock.Millis) {
	t.Helper()
	d := warmDetector(table.Balanced)
	_, now := feed(d, clock.Minute, 100, 100, typical, failing)
	if got := d.Status(now).State; got != health.Ejected {
		t.Fatalf("got state %v, want aside", got)
	}
	return d, now
}

// An upstream that has recovered returns through hold-off, trial and ramp. The trial
// risks a bounded number of requests, all of them repeatable.
func TestRecoveryThroughTrialAndRamp(t *testing.T) {
	d, now := ejectedDetector(t)
	if d.Admit(now, true) {
		t.Error("got a request admitted in the hold-off, want none")
	}
	now = d.Status(now).Until
	if got := d.Status(now).State; got != health.Trial {
		t.Fatalf("got %v after the hold-off, want trial", got)
	}
	if d.Admit(now, false) {
		t.Error("got a request that isn't repeatable admitted to a trial, want none")
	}
	admitted := 0
	for d.Admit(now, true) {
		admitted++
	}
	if admitted > 12 {
		t.Errorf("got %d requests admitted to a trial, want at most 12", admitted)
	}
	_, now = feed(d, now+50, 50, admitted, typical, good)
	first := d.Status(now)
	if first.State != health.Ramp || first.Share > 0.2 {
		t.Errorf("got %v with share %.2f after the trial, want ramp with at most 0.2", first.State, first.Share)
	}
	if half := d.Status(now + 5*clock.Second); half.Share <= first.Share || half.Share >= 1 {
		t.Errorf("got share %.2f in the middle of the ramp, want between %.2f and 1", half.Share, first.Share)
	}
	if got := d.Status(now + 11*clock.Second); got.State != health.InUse || got.Share != 1 {
		t.Errorf("got %v with share %.2f after the ramp, want in use with 1", got.State, got.Share)
	}
}

// A trial ends by its timeout if the service has no repeatable traffic, or none at all.
// The upstream then gets a small share of load at first.
func TestTrialEndsWithoutTraffic(t *testing.T) {
	d, now := ejectedDetector(t)
	now = d.Status(now).Until
	until := d.Status(now).Until
	if got := d.Status(until); got.State != health.Ramp || got.Share > 0.2 {
		t.Errorf("got %v with share %.2f, want ramp with at most 0.2", got.State, got.Share)
	}
}

// An upstream fails every trial. Each hold-off is longer than the last, up to a bound, so
// that the upstream gets a trial every few minutes. Detectors with different seeds don't
// begin their trials at the same instant.
func TestHoldOffGrows(t *testing.T) {
	d, now := ejectedDetector(t)
	before := d.Status(now).Until - now
	for range 5 {
		now = d.Status(now).Until
		d.Status(now)
		_, now = feed(d, now+50, 50, 10, typical, failing)
		got := d.Status(now)
		if got.State != health.Ejected {
			t.Fatalf("got %v after a failed trial, want aside", got.State)
		}
		if hold := got.Until - now; hold <= before {
			t.Errorf("got a hold-off of %v after one of %v, want a longer one", hold, before)
		}
		before = d.Status(now).Until - now
	}
	if before > 400*clock.Second {
		t.Errorf("got a hold-off of %v, want at most 400s", before)
	}
	first, at := ejectedDetector(t)
	other := health.New(health.Config{Caution: table.Balanced, Seed: 8})
	feed(other, 0, 20, 3000, typical, good)
	feed(other, clock.Minute, 100, 100, typical, failing)
	if first.Status(at).Until == other.Status(at).Until {
		t.Error("got hold-offs of the same length with two seeds, want jitter")
	}
}

// Good service reduces the count of relapses. Otherwise an old relapse would still
// lengthen a hold-off a week later.
func TestGoodServiceReducesRelapses(t *testing.T) {
	d, now := ejectedDetector(t)
	now = d.Status(now).Until
	d.Status(now)
	_, now = feed(d, now+50, 50, 10, typical, failing)
	if got := d.Status(now).Relapses; got != 1 {
		t.Fatalf("got %d relapses, want 1", got)
	}
	for now < 10*clock.Minute {
		d.SetBaseline(typical)
		d.Observe(now, good(int(now)))
		now += 50
	}
	if got := d.Status(now); got.State != health.InUse || got.Relapses != 0 {
		t.Errorf("got %v with %d relapses after ten good minutes, want in use with 0", got.State, got.Relapses)
	}
}

// Failed probes alone must not eject an upstream. An upstream that answers its probes but
// fails its requests must stay ejected for its whole hold-off; only probes that failed
// during the hold-off and pass again shorten it.
func TestProbesAloneNeitherEjectNorReadmit(t *testing.T) {
	d := warmDetector(table.Fast)
	for i := range clock.Millis(1000) {
		d.RecordProbe(clock.Minute+i, false)
	}
	if got := d.Status(clock.Minute + clock.Second).State; got != health.InUse {
		t.Errorf("got %v after failed probes alone, want in use", got)
	}
	failingRequests, now := ejectedDetector(t)
	until := failingRequests.Status(now).Until
	for at := now; at < until; at += 100 {
		failingRequests.RecordProbe(at, true)
		if got := failingRequests.Status(at).State; got != health.Ejected {
			t.Fatalf("got %v after probes that never failed, want aside", got)
		}
	}
	crashed, now := ejectedDetector(t)
	until = crashed.Status(now).Until
	crashed.RecordProbe(now+100, false)
	crashed.RecordProbe(until-1000, true)
	crashed.RecordProbe(until-500, true)
	if got := crashed.Status(until - 500).State; got != health.Trial {
		t.Errorf("got %v after probes that failed and pass again, want trial", got)
	}
}

// Half of the upstreams of a service fail. Their figures must not become the baseline,
// or the failures would look typical.
func TestMedian(t *testing.T) {
	failed := health.Baseline{Known: true, Failed: 0.5, Latency: 400, Tail: 800, Age: 10}
	unknown := health.Baseline{}
	cases := []struct {
		name string
		all  []health.Baseline
		want health.Baseline
	}{
		{"none", nil, unknown},
		{"one", []health.Baseline{typical}, unknown},
		{"few of those in view", []health.Baseline{typical, typical, unknown, unknown, unknown}, unknown},
		{"half failed", []health.Baseline{failed, typical, failed, typical}, typical},
		{"most failed", []health.Baseline{failed, typical, failed}, failed},
	}
	for _, c := range cases {
		if got := health.Median(c.all); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}
