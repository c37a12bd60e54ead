package choice_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/choice"
)

// During an episode, half of a service fails its requests within milliseconds and so looks
// idle. A choice by least load alone would send it most requests.
func TestRankerPrefersHealthyToIdle(t *testing.T) {
	healthy := choice.Option{Risk: 0.02, Load: 2, Slots: 3, Near: true, Usable: true}
	tests := []struct {
		name   string
		other  choice.Option
		weight float64
		want   int
	}{
		{"an idle one that fails", choice.Option{Risk: 0.9, Slots: 3, Near: true, Usable: true}, 1, 0},
		{"an idle suspected one, for a request that can't be repeated", choice.Option{Risk: 0.4, Slots: 3, Near: true, Usable: true}, 1, 0},
		{"an idle healthy one", choice.Option{Risk: 0.02, Slots: 3, Near: true, Usable: true}, 1, 1},
		{"an idle healthy one in another failure domain", choice.Option{Risk: 0.02, Slots: 3, Usable: true}, 1, 0},
		{"one that may not be used", choice.Option{Slots: 3, Near: true}, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := choice.NewRanker(1)
			for range 100 {
				got, ok := r.Choose([]choice.Option{healthy, tt.other}, tt.weight)
				if !ok || got != tt.want {
					t.Fatalf("got option %d and %v, want %d", got, ok, tt.want)
				}
			}
		})
	}
}

// A queue costs more than a request to another failure domain: an answer that waits for a
// whole service time is late.
func TestRankerPrefersFarToQueue(t *testing.T) {
	r := choice.NewRanker(1)
	full := choice.Option{Load: 4, Slots: 3, Near: true, Usable: true}
	far := choice.Option{Load: 1, Slots: 3, Usable: true}
	if got, ok := r.Choose([]choice.Option{full, far}, 1); !ok || got != 1 {
		t.Errorf("got option %d and %v, want the far one", got, ok)
	}
}

// Entries with the same view must not all send to the same upstream.
func TestRankerSpreadsOverEquals(t *testing.T) {
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
