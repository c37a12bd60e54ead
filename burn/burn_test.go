package burn_test

import (
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

var objective = table.Objective{Availability: 0.999, Latency: 250, LatencyRatio: 0.99}

// addSamples adds one sample per second over the span and returns its end. One in failEvery
// samples fails, none if it is 0.
func addSamples(m *burn.Meter, from, span clock.Millis, failEvery int) clock.Millis {
	end := from + span
	for i := 0; from < end; i++ {
		s := burn.Sample{Upstream: "bacheca-4", Reason: "failed", Failed: failEvery > 0 && i%failEvery == 0}
		m.Add(from, "bacheca", s)
		from += clock.Second
	}
	return end
}

// Alerts must fire at their burn rates and clear after recovery, and not on a few requests.
func TestEvaluateAlerts(t *testing.T) {
	tests := []struct {
		name      string
		healthy   clock.Millis
		failing   clock.Millis
		failEvery int
		recovered clock.Millis
		want      []string
	}{
		{"calm", 6 * clock.Hour, 0, 0, 0, nil},
		{"all fails for ten minutes", 6 * clock.Hour, 10 * clock.Minute, 1, 0, []string{"fast", "steady", "slow"}},
		{"over for ten minutes", 6 * clock.Hour, 5 * clock.Minute, 1, 10 * clock.Minute, []string{"steady", "slow"}},
		{"two in a hundred for an hour", clock.Day, clock.Hour, 50, 0, []string{"fast"}},
		{"one in 130 for six hours", 3 * clock.Day, 6 * clock.Hour, 130, 0, []string{"steady"}},
		{"two in a thousand for three days", clock.Hour, 3 * clock.Day, 500, 0, []string{"slow"}},
		{"too few to tell", 0, 9 * clock.Second, 1, 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := burn.NewMeter(burn.Config{})
			now := addSamples(m, 0, tt.healthy, 0)
			now = addSamples(m, now, tt.failing, tt.failEvery)
			now = addSamples(m, now, tt.recovered, 0)
			var got []string
			for _, a := range burn.Evaluate(objective, m.Windows(now, now, "bacheca")).Alerts {
				got = append(got, a.Name)
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got alerts %v, want %v", got, tt.want)
			}
		})
	}
}

// Burn rates and the budget left must be computed from shares of bad requests: 2 failed of
// 1,000, and 20 slow of the 998 answered.
func TestEvaluateRatesAndBudget(t *testing.T) {
	m := burn.NewMeter(burn.Config{})
	for i := range 1000 {
		m.Add(clock.Millis(i), "bacheca", burn.Sample{Failed: i < 2, Slow: i >= 2 && i < 22, Upstream: "bacheca-4", Reason: "failed"})
	}
	e := burn.Evaluate(objective, m.Windows(clock.Second, clock.Second, "bacheca"))
	if got, want := e.Rates[0].Availability, 2.0; math.Abs(got-want) > 1e-6 {
		t.Errorf("got availability burn %v, want %v", got, want)
	}
	if got, want := e.Rates[0].Latency, 20.0/998/0.01; math.Abs(got-want) > 1e-6 {
		t.Errorf("got latency burn %v, want %v", got, want)
	}
	if got, want := e.Budgets[0].Left, -1.0; math.Abs(got-want) > 1e-6 {
		t.Errorf("got budget left %v, want %v", got, want)
	}
	if got, want := e.Rates[3].Covered, clock.Second; got != want {
		t.Errorf("got %v covered, want %v", got, want)
	}
}

// Windows must drop samples older than their span, or a report would show last week's
// outage as a current one.
func TestWindowsDropOldSamples(t *testing.T) {
	m := burn.NewMeter(burn.Config{})
	m.Add(0, "bacheca", burn.Sample{Failed: true})
	for i, want := range []uint64{0, 0, 1, 1} {
		at := clock.Hour + 5*clock.Minute
		if got := m.Windows(at, at, "bacheca")[i].Failed; got != want {
			t.Errorf("got %d failed over %v, want %d", got, burn.Spans[i], want)
		}
	}
	if got := m.Windows(4*clock.Day, 4*clock.Day, "bacheca")[3].Total; got != 0 {
		t.Errorf("got %d requests after four days, want 0", got)
	}
}

// Samples whose cause or service is beyond a bound must stay in the totals, as Other or as
// unmetered.
func TestBoundsKeepTotals(t *testing.T) {
	m := burn.NewMeter(burn.Config{Causes: 8, Services: 1})
	for i := range 50 {
		m.Add(0, "bacheca", burn.Sample{Failed: true, Upstream: string(rune('a' + i))})
	}
	m.Add(0, "conferme", burn.Sample{})
	w := m.Windows(0, 0, "bacheca")[0]
	var sum uint64
	for _, c := range w.Causes {
		sum += c.Count
	}
	if sum != w.Failed || len(w.Causes) != 3 {
		t.Errorf("got %d of %d failed in %d causes, want all in 3", sum, w.Failed, len(w.Causes))
	}
	if got := m.Unmetered(); got != 1 {
		t.Errorf("got %d unmetered, want 1", got)
	}
}

// The merged windows of two nodes must equal those of one node that counted all samples.
func TestMergeEqualsOneMeter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, left, right := burn.NewMeter(burn.Config{}), burn.NewMeter(burn.Config{}), burn.NewMeter(burn.Config{})
		var now clock.Millis
		for range rapid.IntRange(1, 60).Draw(t, "samples") {
			now += clock.Millis(rapid.IntRange(0, int(2*clock.Hour)).Draw(t, "step"))
			s := burn.Sample{Upstream: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream")}
			s.Failed = rapid.Bool().Draw(t, "failed")
			s.Slow = !s.Failed && rapid.Bool().Draw(t, "slow")
			one.Add(now, "s", s)
			if rapid.Bool().Draw(t, "left") {
				left.Add(now, "s", s)
			} else {
				right.Add(now, "s", s)
			}
		}
		got := burn.Merge(left.Windows(now, now, "s"), right.Windows(now, now, "s"))
		if want := one.Windows(now, now, "s"); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}
