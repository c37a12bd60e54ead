package health_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
)

// setAside returns a judge that has just set its upstream aside, and when.
func setAside(t *testing.T) (*health.Detector, clock.Millis) {
	t.Helper()
	j := warm(table.Balanced)
	_, now := feed(j, clock.Minute, 100, 100, usual, failing)
	if got := j.Status(now).State; got != health.Ejected {
		t.Fatalf("got %v, want aside", got)
	}
	return j, now
}

// An upstream that is well again returns by hold-off, trial and ramp; in the
// trial only so many requests are at risk, all of them repeatable.
func TestReturns(t *testing.T) {
	j, now := setAside(t)
	if j.Admit(now, true) {
		t.Error("got a request admitted in the hold-off, want none")
	}
	now = j.Status(now).Until
	if got := j.Status(now).State; got != health.Trial {
		t.Fatalf("got %v after the hold-off, want trial", got)
	}
	if j.Admit(now, false) {
		t.Error("got a request that isn't repeatable admitted to a trial, want none")
	}
	places := 0
	for j.Admit(now, true) {
		places++
	}
	if places > 12 {
		t.Errorf("got %d places in a trial, want at most 12", places)
	}
	_, now = feed(j, now+50, 50, places, usual, good)
	first := j.Status(now)
	if first.State != health.Ramp || first.Share > 0.2 {
		t.Errorf("got %v with share %.2f after the trial, want ramp with at most 0.2", first.State, first.Share)
	}
	if half := j.Status(now + 5*clock.Second); half.Share <= first.Share || half.Share >= 1 {
		t.Errorf("got share %.2f in the middle of the ramp, want between %.2f and 1", half.Share, first.Share)
	}
	if got := j.Status(now + 11*clock.Second); got.State != health.InUse || got.Share != 1 {
		t.Errorf("got %v with share %.2f after the ramp, want in use with 1", got.State, got.Share)
	}
}

// The service has no traffic that may be repeated, or none at all. The trial
// must end all the same, and give the upstream little at first.
func TestTrialEndsWithoutTraffic(t *testing.T) {
	j, now := setAside(t)
	now = j.Status(now).Until
	until := j.Status(now).Until
	if got := j.Status(until); got.State != health.Ramp || got.Share > 0.2 {
		t.Errorf("got %v with share %.2f, want ramp with at most 0.2", got.State, got.Share)
	}
}

// An upstream fails whenever it is tried. Each hold-off is longer, and the
// growth ends, so that it gets its trial every few minutes. Judges with other
// seeds don't try again in the same instant.
func TestHoldOffGrows(t *testing.T) {
	j, now := setAside(t)
	before := j.Status(now).Until - now
	for range 5 {
		now = j.Status(now).Until
		j.Status(now)
		_, now = feed(j, now+50, 50, 10, usual, failing)
		got := j.Status(now)
		if got.State != health.Ejected {
			t.Fatalf("got %v after a failed trial, want aside", got.State)
		}
		if hold := got.Until - now; hold <= before {
			t.Errorf("got a hold-off of %v after one of %v, want a longer one", hold, before)
		}
		before = j.Status(now).Until - now
	}
	if before > 400*clock.Second {
		t.Errorf("got a hold-off of %v, want at most 400s", before)
	}
	first, at := setAside(t)
	other := health.New(health.Config{Caution: table.Balanced, Seed: 8})
	feed(other, 0, 20, 3000, usual, good)
	feed(other, clock.Minute, 100, 100, usual, failing)
	if first.Status(at).Until == other.Status(at).Until {
		t.Error("got hold-offs of the same length with two seeds, want jitter")
	}
}

// Relapses of last week must not lengthen the hold-off of today.
func TestGoodServiceForgives(t *testing.T) {
	j, now := setAside(t)
	now = j.Status(now).Until
	j.Status(now)
	_, now = feed(j, now+50, 50, 10, usual, failing)
	if got := j.Status(now).Relapses; got != 1 {
		t.Fatalf("got %d relapses, want 1", got)
	}
	for now < 10*clock.Minute {
		j.SetBaseline(usual)
		j.Observe(now, good(int(now)))
		now += 50
	}
	if got := j.Status(now); got.State != health.InUse || got.Relapses != 0 {
		t.Errorf("got %v with %d relapses after ten good minutes, want in use with 0", got.State, got.Relapses)
	}
}

// The upstream answers its probes and fails its requests. Probes neither set
// it aside, nor readmit it, nor shorten its hold-off.
func TestProbesDecideNothing(t *testing.T) {
	j := warm(table.Fast)
	for i := range clock.Millis(1000) {
		j.RecordProbe(clock.Minute+i, false)
	}
	if got := j.Status(clock.Minute + clock.Second).State; got != health.InUse {
		t.Errorf("got %v after failed probes alone, want in use", got)
	}
	sick, now := setAside(t)
	until := sick.Status(now).Until
	for at := now; at < until; at += 100 {
		sick.RecordProbe(at, true)
		if got := sick.Status(at).State; got != health.Ejected {
			t.Fatalf("got %v after probes that never failed, want aside", got)
		}
	}
	crashed, now := setAside(t)
	until = crashed.Status(now).Until
	crashed.RecordProbe(now+100, false)
	crashed.RecordProbe(until-1000, true)
	crashed.RecordProbe(until-500, true)
	if got := crashed.Status(until - 500).State; got != health.Trial {
		t.Errorf("got %v after probes that failed and pass again, want trial", got)
	}
}

// Half of the upstreams of a service are sick: they must not be the usual.
func TestMedian(t *testing.T) {
	sick := health.Baseline{Known: true, Failed: 0.5, Latency: 400, Tail: 800, Age: 10}
	unknown := health.Baseline{}
	cases := []struct {
		name string
		all  []health.Baseline
		want health.Baseline
	}{
		{"none", nil, unknown},
		{"one", []health.Baseline{usual}, unknown},
		{"few of those in view", []health.Baseline{usual, usual, unknown, unknown, unknown}, unknown},
		{"half sick", []health.Baseline{sick, usual, sick, usual}, usual},
		{"most sick", []health.Baseline{sick, usual, sick}, sick},
	}
	for _, c := range cases {
		if got := health.Median(c.all); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}
