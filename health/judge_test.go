package health_test

import (
	"math"
	"strconv"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
)

var usual = health.Baseline{Known: true, Failed: 0.01, Latency: 40, Tail: 80}

func cautions() []table.Caution {
	return []table.Caution{table.Fast, table.Balanced, table.Cautious}
}

// feed gives the judge one outcome every step, told the baseline each time,
// until it sets aside or count outcomes are over, and returns how many it took
// and the instant of the last.
func feed(j *health.Detector, from, step clock.Millis, count int, b health.Baseline, o func(i int) health.Observation) (int, clock.Millis) {
	now := from
	for i := range count {
		j.SetBaseline(b)
		if j.Observe(now, o(i)) && j.Status(now).State == health.Ejected {
			return i + 1, now
		}
		now += step
	}
	return count + 1, now
}

func failing(i int) health.Observation {
	return health.Observation{Result: health.Failed, Latency: 40, Caller: strconv.Itoa(i)}
}

func good(i int) health.Observation {
	return health.Observation{Result: health.Good, Latency: 40, Caller: strconv.Itoa(i)}
}

// warm returns a judge that has served well for its first minute.
func warm(caution table.Caution) *health.Detector {
	j := health.New(health.Config{Caution: caution, Seed: 7})
	feed(j, 0, 20, int(clock.Minute/20), usual, good)
	return j
}

// A caller sees errors until the upstream is set aside. All its requests
// fail from one moment on, and nothing else is wrong.
func TestSetsAsideWhenAllFail(t *testing.T) {
	for _, caution := range cautions() {
		outcomes, now := feed(warm(caution), clock.Minute, 100, 100, usual, failing)
		if outcomes > 10 {
			t.Errorf("%s: got %d failed outcomes before set aside, want at most 10", caution, outcomes)
		}
		if now > clock.Minute+clock.Second {
			t.Errorf("%s: got set aside after %v, want at most 1s", caution, now-clock.Minute)
		}
	}
}

// A node has just started and has heard nothing of the others. Its upstream
// fails every request: it is set aside later, but not never.
func TestSetsAsideWithoutBaseline(t *testing.T) {
	for _, caution := range cautions() {
		j := health.New(health.Config{Caution: caution, Seed: 1})
		outcomes, now := feed(j, 0, 100, 100, health.Baseline{}, failing)
		if outcomes < 10 || now > 3*clock.Second {
			t.Errorf("%s: got set aside after %d outcomes and %v, want at least 10 and at most 3s", caution, outcomes, now)
		}
	}
}

// Users would lose a healthy upstream. One caller sends requests that always
// fail, a tenth of all, for an hour; those of the others succeed.
func TestOneCallerSetsNobodyAside(t *testing.T) {
	for _, caution := range cautions() {
		outcome := func(i int) health.Observation {
			if i%10 == 0 {
				return health.Observation{Result: health.Failed, Latency: 40, Caller: "bad"}
			}
			return good(i % 97)
		}
		j := warm(caution)
		if outcomes, _ := feed(j, clock.Minute, 30, 120_000, usual, outcome); outcomes <= 120_000 {
			t.Errorf("%s: got set aside after %d outcomes, want never", caution, outcomes)
		}
	}
}

// A service has a single caller, and its upstream fails. The bound on what
// one caller contributes must not keep the upstream in use for good.
func TestOnlyCallerIsEvidence(t *testing.T) {
	j := warm(table.Cautious)
	only := func(int) health.Observation { return health.Observation{Result: health.Failed, Caller: "only"} }
	feed(j, clock.Minute, 20, 300, usual, func(int) health.Observation {
		return health.Observation{Result: health.Good, Latency: 40, Caller: "only"}
	})
	if outcomes, _ := feed(j, 2*clock.Minute, 100, 100, usual, only); outcomes > 10 {
		t.Errorf("got set aside after %d outcomes, want at most 10", outcomes)
	}
}

// A connection reset fails all seven requests in flight within one instant,
// once. Users would lose a healthy upstream for one event.
func TestOneBurstSetsNobodyAside(t *testing.T) {
	for _, caution := range cautions() {
		j := warm(caution)
		feed(j, clock.Minute, 0, 7, usual, failing)
		feed(j, clock.Minute+20, 20, 3000, usual, good)
		if got := j.Status(2 * clock.Minute); got.State != health.InUse || got.Evidence.Outcomes > 0 {
			t.Errorf("%s: got %v with evidence %+v, want in use", caution, got.State, got.Evidence)
		}
	}
}

// The answers stay right and come five times too late, on one upstream only.
func TestSetsAsideWhenSlow(t *testing.T) {
	for _, caution := range cautions() {
		late := func(i int) health.Observation {
			return health.Observation{Result: health.Good, Latency: 200, Caller: strconv.Itoa(i)}
		}
		j := warm(caution)
		if outcomes, _ := feed(j, clock.Minute, 50, 100, usual, late); outcomes > 30 {
			t.Errorf("%s: got set aside after %d late answers, want at most 30", caution, outcomes)
		}
	}
}

// Results that say nothing about the upstream come in any number.
func TestNoEvidence(t *testing.T) {
	for _, result := range []health.Result{health.Shed, health.Cancelled, health.CallerFault, health.ShortDeadline} {
		j := warm(table.Fast)
		outcome := func(i int) health.Observation { return health.Observation{Result: result, Caller: strconv.Itoa(i)} }
		if outcomes, _ := feed(j, clock.Minute, 10, 5000, usual, outcome); outcomes <= 5000 {
			t.Errorf("%v: got set aside after %d, want never", result, outcomes)
		}
	}
}

// The database behind all upstreams fails for a while. Each gate hears that
// the others ail as well, and nobody may be set aside, then or afterwards.
func TestCommonFaultSetsNobodyAside(t *testing.T) {
	for _, caution := range cautions() {
		j := warm(caution)
		ailing := usual
		for i := range 1000 {
			ailing.Failed = min(1, 0.06*float64(i))
			j.SetBaseline(ailing)
			j.Observe(clock.Minute+clock.Millis(i*30), failing(i))
		}
		feed(j, 2*clock.Minute, 30, 4000, usual, good)
		if got := j.Status(5 * clock.Minute); got.Evidence.Outcomes > 0 {
			t.Errorf("%s: got set aside on %+v, want never", caution, got.Evidence)
		}
	}
}

// The gate judges every request of the busiest path, so this must not
// allocate or take much memory.
func TestObserveAllocatesNothing(t *testing.T) {
	j := warm(table.Balanced)
	now := clock.Minute
	got := testing.AllocsPerRun(1000, func() {
		now += 10
		j.SetBaseline(usual)
		j.Observe(now, health.Observation{Result: health.Good, Latency: 40, Caller: "a"})
		j.Admit(now, true)
		j.Status(now)
		j.LocalBaseline()
		j.OverdueAfter()
	})
	if got != 0 {
		t.Errorf("got %.1f allocations a request, want 0", got)
	}
}

// A broken entry sends figures that no service can have. They must neither
// blind the judge nor break its sums.
func TestRefusesUnsoundBaselines(t *testing.T) {
	cases := []health.Baseline{
		{Known: true, Failed: math.NaN(), Latency: 40},
		{Known: true, Failed: math.Inf(1), Latency: 40},
		{Known: true, Failed: -1, Latency: 40},
		{Known: true, Failed: 0.01, Latency: -1},
	}
	for _, unsound := range cases {
		j := warm(table.Cautious)
		j.SetBaseline(unsound)
		if outcomes, _ := feed(j, clock.Minute, 200, 100, usual, failing); outcomes > 10 {
			t.Errorf("%+v: got set aside after %d outcomes, want at most 10", unsound, outcomes)
		}
	}
}

// Managers read in the report why an upstream was set aside.
func TestEvidenceSaysWhy(t *testing.T) {
	j := warm(table.Balanced)
	_, now := feed(j, clock.Minute, 100, 100, usual, failing)
	got := j.Status(now).Evidence
	if got.Failed == 0 || got.Failed != got.Outcomes || got.Score < got.Threshold || got.At != now || got.Baseline != usual {
		t.Errorf("got %+v, want failures only, a score over its threshold, and the baseline", got)
	}
	want := strconv.Itoa(got.Failed) + " failed, 0 overdue and 0 slow of " + strconv.Itoa(got.Outcomes) +
		" outcomes in " + (got.At - got.Since).String() + "; usual are 1.0% failed and nine answers in ten within 80ms"
	if got.Reason != want {
		t.Errorf("got %q, want %q", got.Reason, want)
	}
}

func BenchmarkJudge(b *testing.B) {
	j := warm(table.Balanced)
	now := clock.Minute
	for b.Loop() {
		now += 10
		j.SetBaseline(usual)
		j.Observe(now, health.Observation{Result: health.Good, Latency: 40, Caller: "a"})
		j.Admit(now, true)
		j.LocalBaseline()
	}
}
