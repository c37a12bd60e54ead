package choice_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/choice"
)

// Half of a service fails in an episode and answers within milliseconds, so that
// it looks idle. A rule of least load would send most work there.
func TestRankPrefersSoundToIdle(t *testing.T) {
	sound := choice.Option{Risk: 0.02, Load: 2, Slots: 3, Near: true, Usable: true}
	tests := []struct {
		name   string
		other  choice.Option
		weight float64
		want   int
	}{
		{"an idle one that fails", choice.Option{Risk: 0.9, Slots: 3, Near: true, Usable: true}, 1, 0},
		{"an idle doubtful one, for work that runs once", choice.Option{Risk: 0.4, Slots: 3, Near: true, Usable: true}, 1, 0},
		{"an idle sound one", choice.Option{Risk: 0.02, Slots: 3, Near: true, Usable: true}, 1, 1},
		{"an idle sound one far away", choice.Option{Risk: 0.02, Slots: 3, Usable: true}, 1, 0},
		{"one that may not be used", choice.Option{Slots: 3, Near: true}, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := choice.NewRanker(1)
			for range 100 {
				got, ok := r.Choose([]choice.Option{sound, tt.other}, tt.weight)
				if !ok || got != tt.want {
					t.Fatalf("got option %d and %v, want %d", got, ok, tt.want)
				}
			}
		})
	}
}

// A queue costs more than the way to another failure domain: an answer that
// waits for a whole service time is late.
func TestRankGoesFarBeforeItWaits(t *testing.T) {
	r := choice.NewRanker(1)
	full := choice.Option{Load: 4, Slots: 3, Near: true, Usable: true}
	far := choice.Option{Load: 1, Slots: 3, Usable: true}
	if got, ok := r.Choose([]choice.Option{full, far}, 1); !ok || got != 1 {
		t.Errorf("got option %d and %v, want the far one", got, ok)
	}
}

// Entries that see the same must not all send to the same upstream.
func TestRankSpreadsOverEquals(t *testing.T) {
	counts := make([]int, 3)
	for seed := range uint64(300) {
		options := make([]choice.Option, 3)
		for i := range options {
			options[i] = choice.Option{Risk: 0.01 * float64(i), Slots: 3, Near: true, Usable: true}
		}
		i, _ := choice.NewRanker(seed).Choose(options, 1)
		counts[i]++
	}
	for i, n := range counts {
		if n < 50 {
			t.Errorf("option %d: got %d of 300 choices, want 50 at least", i, n)
		}
	}
}
