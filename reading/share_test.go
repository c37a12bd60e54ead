package reading_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/reading"
)

func nodeNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255)
	}
	return names
}

// Links break in every pattern, so that each node sees another part of the
// fleet. If each then left the platform to the others, nobody would read it and
// no change would come into force.
func TestShareLeavesAReaderWhateverTheViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := nodeNames(rapid.IntRange(1, 60).Draw(t, "nodes"))
		config := reading.ShareConfig{Readers: rapid.IntRange(1, 5).Draw(t, "readers")}
		key := rapid.SampledFrom([]string{"table", "instances"}).Draw(t, "key")
		direct := 0
		for _, self := range live {
			peers := rapid.SliceOfDistinct(rapid.SampledFrom(live), rapid.ID).Draw(t, "peers")
			if reading.Share(config, reading.View{Self: self, Peers: peers, Fleet: len(live)}, key).Direct {
				direct++
			}
		}
		if want := min(config.Readers, len(live)); direct < want {
			t.Fatalf("got %d readers of %d nodes, want at least %d", direct, len(live), want)
		}
	})
}

func TestShareKeepsTheBudgetForAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(1, 100_000).Draw(t, "fleet")
		plan := reading.Share(reading.ShareConfig{}, reading.View{Self: "a", Fleet: fleet}, "table")
		if allowed := 800 * plan.Pace; clock.Millis(fleet)*clock.Second > allowed {
			t.Fatalf("got a pace of %v with %d nodes, want at most 800 calls a second", plan.Pace, fleet)
		}
		if allowed := 200 * plan.Poll; clock.Millis(fleet)*clock.Second > allowed {
			t.Fatalf("got a poll every %v with %d nodes, want at most 200 a second", plan.Poll, fleet)
		}
	})
}

// change is the span between changes at 110,000 a day.
const change = clock.Day / 110_000

// callsOf plays a fleet that starts at one moment for five minutes of virtual
// time, with one key that changes all the while, and returns its readers and
// calls a second: the mean, and the most after the first second.
func callsOf(nodes, peers int) (readers int, mean, most float64) {
	const span = 5 * clock.Minute
	source := rand.New(rand.NewPCG(1, 1))
	live := nodeNames(nodes)
	perSecond := make([]float64, span/clock.Second)
	for _, self := range live {
		seen := live
		if peers < nodes {
			seen = nil
			for range peers {
				seen = append(seen, live[source.IntN(nodes)])
			}
		}
		plan := reading.Share(reading.ShareConfig{}, reading.View{Self: self, Peers: seen, Fleet: nodes}, "table")
		if plan.Direct {
			readers++
		}
		for at := clock.Millis(source.Int64N(250)); at < span; {
			perSecond[at/clock.Second]++
			if plan.Direct { // answered at the next change, which comes before a wait ends
				at += change - at%change + plan.AfterWatch(source)
			} else {
				at += plan.AfterPoll(source)
			}
		}
	}
	for _, calls := range perSecond {
		mean += calls / span.Seconds()
	}
	return readers, mean, slices.Max(perSecond[1:])
}

// views are how much of the fleet a node has links to.
var views = []struct {
	name  string
	peers int
}{{"whole view", 1 << 20}, {"8 peers", 8}, {"cut off", 0}}

func TestShareCallsGrowMoreSlowlyThanTheFleet(t *testing.T) {
	for _, view := range views {
		_, before, _ := callsOf(24, view.peers)
		for _, nodes := range []int{240, 2400} {
			readers, mean, most := callsOf(nodes, view.peers)
			if readers < 3 || readers > 3 && view.peers >= nodes || mean > 800 || most > 1000 {
				t.Errorf("%s, %d nodes: got %d readers, %.0f calls a second and %.0f at most, want 3 or more, 800 and 1,000",
					view.name, nodes, readers, mean, most)
			}
			if mean > 5*before {
				t.Errorf("%s, %d nodes: got %.0f calls a second from %.0f, want at most fivefold", view.name, nodes, mean, before)
			}
			before = mean
		}
	}
}

func BenchmarkShareCalls(b *testing.B) {
	for _, view := range views {
		for _, nodes := range []int{24, 240, 2400} {
			b.Run(fmt.Sprintf("%s/%d", view.name, nodes), func(b *testing.B) {
				var readers int
				var mean, most float64
				for b.Loop() {
					readers, mean, most = callsOf(nodes, view.peers)
				}
				b.ReportMetric(float64(readers), "readers")
				b.ReportMetric(mean, "calls/s")
				b.ReportMetric(most, "most-calls/s")
			})
		}
	}
}
