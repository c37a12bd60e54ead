package measure_test

import (
	"reflect"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/measure"
	"fuchsiapick.example/fuchsiapick/table"
)

var cautious = measure.GateRule(table.Cautious)

func projectRules() []measure.Rule {
	return []measure.Rule{measure.GateRule(table.Fast), measure.GateRule(table.Balanced), cautious}
}

// Guards against a run that depends on more than its seed, for example on the order of
// map iteration or goroutines: a bound on its figures would then prove nothing.
func TestRunRepeats(t *testing.T) {
	size := measure.Sizes()[0]
	first := measure.Repeat(size, measure.ReferenceFault(), cautious, 4)
	second := measure.Repeat(size, measure.ReferenceFault(), cautious, 4)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("got %+v, want %+v", second, first)
	}
}

// Guards against slower detection and more false ejections than users accept: an
// upstream that fails 30% is detected within 50 outcomes (p99), with at most 0.2 false
// ejections per million healthy outcomes. TestMedianDetectionBound bounds the median
// over more runs.
func TestDetectionBounds(t *testing.T) {
	size := measure.Sizes()[0]
	found := measure.Repeat(size, measure.ReferenceFault(), cautious, 400)
	if found.Missed > 0 {
		t.Errorf("got %d missed, want 0", found.Missed)
	}
	if got := measure.Quantile(found.DetectionOutcomes, 0.5); got > 20 {
		t.Errorf("got a median of %d outcomes, want at most 20", got)
	}
	if got := measure.Quantile(found.DetectionOutcomes, 0.99); got > 50 {
		t.Errorf("got a 99th percentile of %d outcomes, want at most 50", got)
	}
	healthy := measure.Repeat(size, measure.Healthy(10*clock.Minute), cautious, 30)
	if healthy.HealthyOutcomes < 5_000_000 {
		t.Errorf("got %d healthy outcomes, want 5 million", healthy.HealthyOutcomes)
	}
	if got := healthy.FalsePerMillion(); got > 0.2 {
		t.Errorf("got %.2f false ejections per million, want at most 0.2", got)
	}
}

// Guards against slower detection in the median: half of the upstreams that fail 30% are
// detected within 20 outcomes.
func TestMedianDetectionBound(t *testing.T) {
	found := measure.Repeat(measure.Sizes()[0], measure.ReferenceFault(), cautious, 1000)
	if got := measure.Quantile(found.DetectionOutcomes, 0.5); got > 20 {
		t.Errorf("got a median of %d outcomes, want at most 20", got)
	}
}

// Guards against a fault that goes undetected at one of the cautions or in one of the
// two deployments.
func TestDetectsEveryFault(t *testing.T) {
	for _, size := range measure.Sizes()[:3] {
		for _, scenario := range measure.Faults() {
			for _, rule := range projectRules() {
				f := measure.Repeat(size, scenario, rule, 4)
				if f.Missed > 0 {
					t.Errorf("%s, %s, %s: got %d missed, want 0", size.Name, scenario.Name, rule.Name, f.Missed)
				}
			}
		}
	}
}

// Guards against ejections that take away capacity when it is needed most: in a cold
// start, under a surge, or when a dependency that all upstreams share fails.
func TestEjectionsWithoutUpstreamFaultAreBounded(t *testing.T) {
	size := measure.Sizes()[0]
	const runs = 12
	// Some ejections remain, so they are bounded and not forbidden: in a common
	// fault, the baseline lags the first failures, and a blip can coincide with
	// the failures of a healthy upstream.
	limits := map[string]float64{
		"cold start":             0,
		"shedding under a burst": 0,
		"one bad caller":         0,
		"blips of 100ms":         0.1,
		"common, fail 10%":       0.03,
		"common, fail 30%":       0.03,
		"common, fail 100%":      0.03,
		"common, slow 3x":        0.03,
		"common, slow 10x":       0.04,
	}
	for _, scenario := range measure.NoEjection(size) {
		limit, ok := limits[scenario.Name]
		if !ok {
			t.Errorf("%s: got no bound, want one", scenario.Name)
		}
		f := measure.Repeat(size, scenario, cautious, runs)
		if got := float64(f.FalseEjections) / float64(runs*size.Upstreams); got > limit {
			t.Errorf("%s: got %.3f ejections per upstream, want at most %.3f", scenario.Name, got, limit)
		}
	}
}

// Guards against losing the advantage over the rules of common proxies: detection in a
// fifth of the time that five failures in a row take, with half as many false ejections
// as three in a row.
func TestBeatsProxyRules(t *testing.T) {
	size := measure.Sizes()[0]
	balanced := measure.GateRule(table.Balanced)
	three, five := measure.ConsecutiveFailures("3", 3), measure.ConsecutiveFailures("5", 5)
	own := measure.Repeat(size, measure.ReferenceFault(), balanced, 50)
	proxy := measure.Repeat(size, measure.ReferenceFault(), five, 50)
	if got, other := measure.Quantile(own.DetectionTimes, 0.5), measure.Quantile(proxy.DetectionTimes, 0.5); 5*got > other {
		t.Errorf("got %v against %v of five in a row, want a fifth", got, other)
	}
	blips := measure.NoEjection(size)[3]
	own = measure.Repeat(size, blips, balanced, 10)
	proxy = measure.Repeat(size, blips, three, 10)
	if 2*own.FalseEjections > proxy.FalseEjections {
		t.Errorf("got %d false ejections against %d of three in a row, want half", own.FalseEjections, proxy.FalseEjections)
	}
}

func BenchmarkDetection(b *testing.B) {
	for _, size := range measure.Sizes()[:3] {
		for _, rule := range projectRules() {
			b.Run(size.Name+"/"+rule.Name, func(b *testing.B) {
				var f measure.Figures
				for b.Loop() {
					f = measure.Repeat(size, measure.ReferenceFault(), rule, 50)
				}
				b.ReportMetric(float64(measure.Quantile(f.DetectionOutcomes, 0.5)), "outcomes-p50")
				b.ReportMetric(float64(measure.Quantile(f.DetectionOutcomes, 0.99)), "outcomes-p99")
				b.ReportMetric(float64(measure.Quantile(f.DetectionTimes, 0.5)), "virtual-ms-p50")
				b.ReportMetric(float64(measure.Quantile(f.DetectionTimes, 0.99)), "virtual-ms-p99")
			})
		}
	}
}

func BenchmarkFalseEjections(b *testing.B) {
	for _, rule := range append(projectRules(), measure.ConsecutiveFailures("3-in-a-row", 3), measure.FailureWindow()) {
		b.Run(rule.Name, func(b *testing.B) {
			var f measure.Figures
			for b.Loop() {
				f = measure.Repeat(measure.Sizes()[0], measure.Healthy(clock.Minute), rule, 100)
			}
			b.ReportMetric(f.FalsePerMillion(), "false/million")
			b.ReportMetric(f.FalsePerDay(), "false/upstream-day")
		})
	}
}
