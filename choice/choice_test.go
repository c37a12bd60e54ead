package choice_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
)

// init fixes the seed of the property tests unless -rapid.seed is given on the command line.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const localDomain = "palermo"

// An upstream with weight zero or one that is leaving (not usable) is about to stop, and a
// request sent to it is cut off. While any other upstream is left, no request may be refused.
// Weights, usability and earlier attempts are random.
func TestChoosesOnlyUsableUpstreams(t *testing.T) {
	candidate := rapid.Custom(func(t *rapid.T) choice.Candidate {
		return choice.Candidate{
			Domain:   rapid.SampledFrom([]string{localDomain, "catania"}).Draw(t, "domain"),
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
		anyUsable, anyNear := false, false
		for i, c := range all {
			if c.Usable && c.Weight > 0 && c.Slots > 0 && tried>>i&1 == 0 {
				anyUsable = true
				anyNear = anyNear || c.Domain == localDomain && c.InFlight < c.Slots && c.Share == 1
			}
		}
		chooser := choice.New(choice.Config{Domain: localDomain, Seed: rapid.Uint64().Draw(t, "seed")})
		i, ok := chooser.Choose(all, func(i int) bool { return tried>>i&1 == 1 })
		if ok != anyUsable {
			t.Fatalf("got a choice: %v, want %v", ok, anyUsable)
		}
		if !ok {
			return
		}
		got := all[i]
		if !got.Usable || got.Weight == 0 || got.Slots == 0 || tried>>i&1 == 1 {
			t.Fatalf("got %d, %+v, want a usable one", i, got)
		}
		if anyNear && (got.Domain != localDomain || got.InFlight >= got.Slots) {
			t.Fatalf("got %d, %+v, want one with a free slot in the entry's own failure domain", i, got)
		}
	})
}

// choiceShares returns the share of 30,000 choices that each candidate gets.
func choiceShares(all []choice.Candidate) []float64 {
	chooser := choice.New(choice.Config{Domain: localDomain, Seed: 1})
	shares := make([]float64, len(all))
	for range 30000 {
		if i, ok := chooser.Choose(all, nil); ok {
			shares[i] += 1.0 / 30000
		}
	}
	return shares
}

// sixUpstreams returns six equal upstreams in the entry's own failure domain, of which change
// edits the first.
func sixUpstreams(change func(c *choice.Candidate)) []choice.Candidate {
	all := make([]choice.Candidate, 6)
	for i := range all {
		all[i] = choice.Candidate{Domain: localDomain, Weight: 1, Slots: 3, Share: 1, Usable: true}
	}
	change(&all[0])
	return all
}

func TestShareOfChoices(t *testing.T) {
	alone := sixUpstreams(func(c *choice.Candidate) { c.Share = 0.1 })
	for i := range alone[1:] {
		alone[i+1].Domain = "catania"
	}
	tests := []struct {
		name               string
		all                []choice.Candidate
		minShare, maxShare float64
	}{
		{"equal", sixUpstreams(func(*choice.Candidate) {}), 0.16, 0.175},
		{"weight 5 of 10", sixUpstreams(func(c *choice.Candidate) { c.Weight = 5 }), 0.49, 0.51},
		{"loaded", sixUpstreams(func(c *choice.Candidate) { c.InFlight = 2 }), 0, 0},
		{"slow start at a tenth", sixUpstreams(func(c *choice.Candidate) { c.Share = 0.1 }), 0.012, 0.022},
		{"slow start, alone in the failure domain", alone, 0.08, 0.12},
		{"in another failure domain", sixUpstreams(func(c *choice.Candidate) { c.Domain = "messina" }), 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := choiceShares(tt.all)[0]; got < tt.minShare || got > tt.maxShare {
				t.Errorf("got a share of %.3f, want %.3f to %.3f", got, tt.minShare, tt.maxShare)
			}
		})
	}
}

func TestDecayLoad(t *testing.T) {
	for _, tt := range []struct {
		age  clock.Millis
		want int
	}{{-5, 8}, {0, 8}, {clock.Second, 4}, {2 * clock.Second, 0}, {clock.Hour, 0}} {
		if got := choice.DecayLoad(8, tt.age); got != tt.want {
			t.Errorf("age %v: got %d, want %d", tt.age, got, tt.want)
		}
	}
}

// largeService returns the candidates of a mean service of the deployment size that the
// design targets.
func largeService() []choice.Candidate {
	all := make([]choice.Candidate, 49)
	for i := range all {
		all[i] = choice.Candidate{
			Domain: []string{localDomain, "catania", "messina"}[i%3], Weight: 1 + i%2, Slots: 5, InFlight: i % 6,
			Share: 1, Usable: i%7 != 0,
		}
	}
	return all
}

func TestChooseAllocatesNothing(t *testing.T) {
	chooser, all := choice.New(choice.Config{Domain: localDomain}), largeService()
	tried := func(i int) bool { return i == 3 }
	if got := testing.AllocsPerRun(100, func() { chooser.Choose(all, tried) }); got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	chooser, all := choice.New(choice.Config{Domain: localDomain}), largeService()
	b.ReportAllocs()
	for b.Loop() {
		chooser.Choose(all, nil)
	}
}
