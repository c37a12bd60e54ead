package overload_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/measure/overload"
)

// run runs the scenario with that name and returns its result.
func run(t *testing.T, name string) overload.Result {
	t.Helper()
	for _, s := range overload.Scenarios() {
		if s.Name == name {
			return overload.Run(s.Config)
		}
	}
	t.Fatalf("got no scenario %s", name)
	return overload.Result{}
}

// Guards against congestion collapse at twice the capacity of a service: with unbounded
// queues and retries, as the baseline rules have them, callers time out and retry until the
// slots run only requests that nobody waits for. Here, excess requests are refused
// immediately, and the slots do useful work.
func TestUsefulWorkUnderOverload(t *testing.T) {
	baseline := run(t, "overload/usual")
	if baseline.Useful > 0.2 {
		t.Errorf("baseline rules: got useful work %.3f of capacity, want it to collapse to at most 0.2", baseline.Useful)
	}
	for _, size := range []string{"sicily", "kingston", "planned"} {
		got := run(t, "overload/"+size)
		if got.Useful < 0.9 || got.Wasted > 0.01 {
			t.Errorf("%s: got useful work %.3f and wasted %.3f of capacity, want 0.9 and 0.01", size, got.Useful, got.Wasted)
		}
		if got.PerRequest() > 1.2 {
			t.Errorf("%s: got %.2f attempts a request, want at most 1.2", size, got.PerRequest())
		}
		if got.Late > 0 || got.Served+got.Refused != got.Requests {
			t.Errorf("%s: got %d late, %d served, %d refused of %d, want each served or refused",
				size, got.Late, got.Served, got.Refused, got.Requests)
		}
	}
}

// Guards against longer waits or more refusals than with round robin, at normal and high
// load and with one of nine upstreams ten times as slow and not yet ejected: round robin
// sends each ninth request there, where it waits behind others.
func TestTwoChoicesAgainstRoundRobin(t *testing.T) {
	for _, size := range []string{"sicily", "kingston"} {
		for _, load := range []string{"", "-high", "-slow"} {
			got, roundRobin := run(t, "routing/"+size+load), run(t, "routing/"+size+load+"-robin")
			if got.Wait(0.99) >= roundRobin.Wait(0.99) {
				t.Errorf("%s%s: got a p99 wait of %v, want less than round robin's %v",
					size, load, got.Wait(0.99), roundRobin.Wait(0.99))
			}
			if 2*got.Refusals > roundRobin.Refusals {
				t.Errorf("%s%s: got %d refusals, want at most half of round robin's %d",
					size, load, got.Refusals, roundRobin.Refusals)
			}
		}
	}
}

// Guards against repeated refusals after a burst of 400 callers: if all refused callers
// get the same Retry-After of one second, they return together and are refused again.
func TestComputedRetryAfterReducesRefusals(t *testing.T) {
	got, constant := run(t, "comeback/computed"), run(t, "comeback/constant")
	if got.Served != got.Requests {
		t.Errorf("got %d of %d served, want all", got.Served, got.Requests)
	}
	if float64(got.Refusals) > 0.6*float64(constant.Refusals) {
		t.Errorf("got %d refusals, want at most 0.6 of the %d with a constant", got.Refusals, constant.Refusals)
	}
	got, constant = run(t, "comeback/flood"), run(t, "comeback/flood-constant")
	rounded := run(t, "comeback/flood-rounded")
	if got.Refused > 0 || rounded.Refused >= constant.Refused {
		t.Errorf("flood: got %d given up, %d in whole seconds, want 0 and less than the constant's %d",
			got.Refused, rounded.Refused, constant.Refused)
	}
}

func BenchmarkOverload(b *testing.B) {
	for _, s := range overload.Scenarios() {
		b.Run(s.Name, func(b *testing.B) {
			var r overload.Result
			for b.Loop() {
				r = overload.Run(s.Config)
			}
			b.ReportMetric(r.Useful, "useful/capacity")
			b.ReportMetric(r.Wasted, "wasted/capacity")
			b.ReportMetric(float64(r.Refused+r.Late)/float64(r.Requests), "lost/request")
			b.ReportMetric(r.PerRequest(), "attempts/request")
			b.ReportMetric(float64(r.Refusals), "refusals")
			b.ReportMetric(float64(r.Wait(0.5)), "p50-wait-ms")
			b.ReportMetric(float64(r.Wait(0.99)), "p99-wait-ms")
		})
	}
}
