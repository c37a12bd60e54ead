package health_test

import (
	"math"
	"strconv"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
)

var typical = health.Baseline{Known: true, Failed: 0.01, Latency: 40, Tail: 80}

func cautions() []table.Caution {
	return []table.Caution{table.Fast, table.Balanced, table.Cautious}
}

// feed sets the baseline and observes one outcome every step, until the upstream is
// ejected or count outcomes are over. It returns the number of outcomes up to the
// ejection, or count+1 without one, and the instant at which it stopped.
func feed(d *health.Detector, from, step clock.Millis, count int, b health.Baseline, o func(i int) health.Observation) (int, clock.Millis) {
	now := from
	for i := range count {
		d.SetBaseline(b)
		if d.Observe(now, o(i)) && d.Status(now).State == health.Ejected {
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

// warmDetector returns a detector of an upstream that served well for its first minute.
func warmDetector(caution table.Caution) *health.Detector {
	d := health.New(health.Config{Caution: caution, Seed: 7})
	feed(d, 0, 20, int(clock.Minute/20), typical, good)
	return d
}

// An upstream begins to fail all requests. Callers see errors until it is ejected, so this
// must take few outcomes and little time.
func TestEjectsWhenAllFail(t *testing.T) {
	for _, caution := range cautions() {
		outcomes, now := feed(warmDetector(caution), clock.Minute, 100, 100, typical, failing)
		if outcomes > 10 {
			t.Errorf("%s: got %d failed outcomes before the ejection, want at most 10", caution, outcomes)
		}
		if now > clock.Minute+clock.Second {
			t.Errorf("%s: got ejected after %v, want at most 1s", caution, now-clock.Minute)
		}
	}
}

// A node has just started and has no baseline from the others. An upstream that fails
// every request must still be ejected, although after more outcomes.
func TestEjectsWithoutBaseline(t *testing.T) {
	for _, caution := range cautions() {
		d := health.New(health.Config{Caution: caution, Seed: 1})
		outcomes, now := feed(d, 0, 100, 100, health.Baseline{}, failing)
		if outcomes < 10 || now > 3*clock.Second {
			t.Errorf("%s: got ejected after %d outcomes and %v, want at least 10 and at most 3s", caution, outcomes, now)
		}
	}
}

// One caller's requests, a tenth of all, always fail for an hour; those of the other
// callers succeed. The healthy upstream must stay in use.
func TestOneFailingCallerDoesNotEject(t *testing.T) {
	for _, caution := range cautions() {
		outcome := func(i int) health.Observation {
			if i%10 == 0 {
				return health.Observation{Result: health.Failed, Latency: 40, Caller: "bad"}
			}
			return good(i % 97)
		}
		d := warmDetector(caution)
		if outcomes, _ := feed(d, clock.Minute, 30, 120_000, typical, outcome); outcomes <= 120_000 {
			t.Errorf("%s: got ejected after %d outcomes, want never", caution, outcomes)
		}
	}
}

// A service has a single caller, and its upstream fails. The bound on the contribution of
// one caller must not keep the upstream in use.
func TestSingleCallerIsEvidence(t *testing.T) {
	d := warmDetector(table.Cautious)
	only := func(int) health.Observation { return health.Observation{Result: health.Failed, Caller: "only"} }
	feed(d, clock.Minute, 20, 300, typical, func(int) health.Observation {
		return health.Observation{Result: health.Good, Latency: 40, Caller: "only"}
	})
	if outcomes, _ := feed(d, 2*clock.Minute, 100, 100, typical, only); outcomes > 10 {
		t.Errorf("got ejected after %d outcomes, want at most 10", outcomes)
	}
}

// A single connection reset fails all seven requests in flight at the same instant. One
// event must not eject a healthy upstream.
func TestOneBurstDoesNotEject(t *testing.T) {
	for _, caution := range cautions() {
		d := warmDetector(caution)
		feed(d, clock.Minute, 0, 7, typical, failing)
		feed(d, clock.Minute+20, 20, 3000, typical, good)
		if got := d.Status(2 * clock.Minute); got.State != health.InUse || got.Evidence.Outcomes > 0 {
			t.Errorf("%s: got %v with evidence %+v, want in use", caution, got.State, got.Evidence)
		}
	}
}

// One upstream answers correctly but five times slower than typical, and must be ejected.
func TestEjectsWhenSlow(t *testing.T) {
	for _, caution := range cautions() {
		late := func(i int) health.Observation {
			return health.Observation{Result: health.Good, Latency: 200, Caller: strconv.Itoa(i)}
		}
		d := warmDetector(caution)
		if outcomes, _ := feed(d, clock.Minute, 50, 100, typical, late); outcomes > 30 {
			t.Errorf("%s: got ejected after %d late answers, want at most 30", caution, outcomes)
		}
	}
}

// Results that are no evidence must never eject an upstream, however many there are.
func TestNeutralResultsDoNotEject(t *testing.T) {
	for _, result := range []health.Result{health.Shed, health.Cancelled, health.CallerFault, health.ShortDeadline} {
		d := warmDetector(table.Fast)
		outcome := func(i int) health.Observation { return health.Observation{Result: result, Caller: strconv.Itoa(i)} }
		if outcomes, _ := feed(d, clock.Minute, 10, 5000, typical, outcome); outcomes <= 5000 {
			t.Errorf("%v: got ejected after %d, want never", result, outcomes)
		}
	}
}

// The database behind all upstreams fails for a while, and each gate receives a baseline
// that shows it. No upstream may be ejected, neither then nor afterwards.
func TestCommonFaultDoesNotEject(t *testing.T) {
	for _, caution := range cautions() {
		d := warmDetector(caution)
		common := typical
		for i := range 1000 {
			common.Failed = min(1, 0.06*float64(i))
			d.SetBaseline(common)
			d.Observe(clock.Minute+clock.Millis(i*30), failing(i))
		}
		feed(d, 2*clock.Minute, 30, 4000, typical, good)
		if got := d.Status(5 * clock.Minute); got.Evidence.Outcomes > 0 {
			t.Errorf("%s: got ejected on %+v, want never", caution, got.Evidence)
		}
	}
}

// The gate runs these calls for every request, so they must not allocate.
func TestObserveAllocatesNothing(t *testing.T) {
	d := warmDetector(table.Balanced)
	now := clock.Minute
	got := testing.AllocsPerRun(1000, func() {
		now += 10
		d.SetBaseline(typical)
		d.Observe(now, health.Observation{Result: health.Good, Latency: 40, Caller: "a"})
		d.Admit(now, true)
		d.Status(now)
		d.LocalBaseline()
		d.OverdueAfter()
	})
	if got != 0 {
		t.Errorf("got %.1f allocations a request, want 0", got)
	}
}

// A faulty entry sends figures that are out of range. The detector must ignore them and
// still eject a failing upstream.
func TestRejectsInvalidBaselines(t *testing.T) {
	cases := []health.Baseline{
		{Known: true, Failed: math.NaN(), Latency: 40},
		{Known: true, Failed: math.Inf(1), Latency: 40},
		{Known: true, Failed: -1, Latency: 40},
		{Known: true, Failed: 0.01, Latency: -1},
	}
	for _, invalid := range cases {
		d := warmDetector(table.Cautious)
		d.SetBaseline(invalid)
		if outcomes, _ := feed(d, clock.Minute, 200, 100, typical, failing); outcomes > 10 {
			t.Errorf("%+v: got ejected after %d outcomes, want at most 10", invalid, outcomes)
		}
	}
}

// The report shows operators why an upstream was ejected: the evidence must be complete.
func TestEvidenceExplainsEjection(t *testing.T) {
	d := warmDetector(table.Balanced)
	_, now := feed(d, clock.Minute, 100, 100, typical, failing)
	got := d.Status(now).Evidence
	if got.Failed == 0 || got.Failed != got.Outcomes || got.Score < got.Threshold || got.At != now || got.Baseline != typical {
		t.Errorf("got %+v, want failures only, a score over its threshold, and the baseline", got)
	}
	want := strconv.Itoa(got.Failed) + " failed, 0 overdue and 0 slow of " + strconv.Itoa(got.Outcomes) +
		" outcomes in " + (got.At - got.Since).String() + "; usual are 1.0% failed and nine answers in ten within 80ms"
	if got.Reason != want {
		t.Errorf("got %q, want %q", got.Reason, want)
	}
}

func BenchmarkJudge(b *testing.B) {
	d := warmDetector(table.Balanced)
	now := clock.Minute
	for b.Loop() {
		now += 10
		d.SetBaseline(typical)
		d.Observe(now, health.Observation{Result: health.Good, Latency: 40, Caller: "a"})
		d.Admit(now, true)
		d.LocalBaseline()
	}
}
