package choice_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
)

// The draws are the same on every run unless -rapid.seed is given.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const own = "palermo"

// Weights, leavings and attempts come in any mix. An upstream with weight zero
// or one that is leaving (not usable) is about to stop: a request sent to it
// is cut off. And while any other is left, no caller may be refused.
func TestChooseOnlyWhatMayServe(t *testing.T) {
	candidate := rapid.Custom(func(t *rapid.T) choice.Candidate {
		return choice.Candidate{
			Domain:   rapid.SampledFrom([]string{own, "catania"}).Draw(t, "domain"),
			Weight:   rapid.IntRange(0, 2).Draw(t, "weight"),
			Slots:    rapid.IntRange(0, 3).Draw(t, "slots"),
			InFlight: rapid.IntRange(0, 4).Draw(t, "in flight"),
			Share:    rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "share"),
			Usable:   rapid.Bool().Draw(t, "usable"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(candidate, 0, 9).Draw(t, "candidates")
		tried := rapid.Uint16().Draw(t, "tried")
		may, near := false, false
		for i, c := range all {
			if c.Usable && c.Weight > 0 && c.Slots > 0 && tried>>i&1 == 0 {
				may = true
				near = near || c.Domain == own && c.InFlight < c.Slots && c.Share == 1
			}
		}
		chooser := choice.New(choice.Config{Domain: own, Seed: rapid.Uint64().Draw(t, "seed")})
		i, ok := chooser.Choose(all, func(i int) bool { return tried>>i&1 == 1 })
		if ok != may {
			t.Fatalf("got a choice: %v, want %v", ok, may)
		}
		if !ok {
			return
		}
		got := all[i]
		if !got.Usable || got.Weight == 0 || got.Slots == 0 || tried>>i&1 == 1 {
			t.Fatalf("got %d, %+v, want one that may serve", i, got)
		}
		if near && (got.Domain != own || got.InFlight >= got.Slots) {
			t.Fatalf("got %d, %+v, want one with room in the own failure domain", i, got)
		}
	})
}

// picks counts 30,000 choices by candidate.
func picks(all []choice.Candidate) []float64 {
	chooser := choice.New(choice.Config{Domain: own, Seed: 1})
	counts := make([]float64, len(all))
	for range 30000 {
		if i, ok := chooser.Choose(all, nil); ok {
			counts[i] += 1.0 / 30000
		}
	}
	return counts
}

// six are upstreams in the own failure domain; change edits one of them.
func six(change func(c *choice.Candidate)) []choice.Candidate {
	all := make([]choice.Candidate, 6)
	for i := range all {
		all[i] = choice.Candidate{Domain: own, Weight: 1, Slots: 3, Share: 1, Usable: true}
	}
	change(&all[0])
	return all
}

func TestShares(t *testing.T) {
	alone := six(func(c *choice.Candidate) { c.Share = 0.1 })
	for i := range alone[1:] {
		alone[i+1].Domain = "catania"
	}
	tests := []struct {
		name        string
		all         []choice.Candidate
		least, most float64
	}{
		{"alike", six(func(*choice.Candidate) {}), 0.16, 0.175},
		{"weight 5 of 10", six(func(c *choice.Candidate) { c.Weight = 5 }), 0.49, 0.51},
		{"loaded", six(func(c *choice.Candidate) { c.InFlight = 2 }), 0, 0},
		{"slow start at a tenth", six(func(c *choice.Candidate) { c.Share = 0.1 }), 0.012, 0.022},
		{"slow start, alone in the failure domain", alone, 0.08, 0.12},
		{"in another failure domain", six(func(c *choice.Candidate) { c.Domain = "messina" }), 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := picks(tt.all)[0]; got < tt.least || got > tt.most {
				t.Errorf("got a share of %.3f, want %.3f to %.3f", got, tt.least, tt.most)
			}
		})
	}
}

func TestFade(t *testing.T) {
	for _, tt := range []struct {
		age  clock.Millis
		want int
	}{{-5, 8}, {0, 8}, {clock.Second, 4}, {2 * clock.Second, 0}, {clock.Hour, 0}} {
		if got := choice.DecayLoad(8, tt.age); got != tt.want {
			t.Errorf("age %v: got %d, want %d", tt.age, got, tt.want)
		}
	}
}

// fortyNine is the mean service of the size to design for.
func fortyNine() []choice.Candidate {
	all := make([]choice.Candidate, 49)
	for i := range all {
		all[i] = choice.Candidate{
			Domain: []string{own, "catania", "messina"}[i%3], Weight: 1 + i%2, Slots: 5, InFlight: i % 6,
			Share: 1, Usable: i%7 != 0,
		}
	}
	return all
}

func TestChooseAllocates(t *testing.T) {
	chooser, all := choice.New(choice.Config{Domain: own}), fortyNine()
	tried := func(i int) bool { return i == 3 }
	if got := testing.AllocsPerRun(100, func() { chooser.Choose(all, tried) }); got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	chooser, all := choice.New(choice.Config{Domain: own}), fortyNine()
	b.ReportAllocs()
	for b.Loop() {
		chooser.Choose(all, nil)
	}
}
