package choice_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/choice"
)

// With one cost for all sizes, uploads crossed between failure domains as readily as requests
// without a body, and took most of the bandwidth of the links between them. With a cost that
// is too high, ordinary requests would queue beside idle upstreams of another domain.
func TestRankerWeighsDistanceByBytes(t *testing.T) {
	// queued costs about 0.04 more than the fixed cost of another failure domain.
	queued := choice.Option{Load: 8, Slots: 8, Near: true, Usable: true}
	tests := []struct {
		name     string
		transfer choice.Transfer
		want     int // 0 for the queue, 1 for the other domain
	}{
		{"no body", choice.Transfer{}, 1},
		{"a body of 5 KB", choice.Transfer{Request: 5_000, Response: 5_000}, 1},
		{"a large response only", choice.Transfer{Response: 400_000}, 1},
		{"a body of 15 KB", choice.Transfer{Request: 15_000}, 0},
		{"an upload", choice.Transfer{Request: 60_000}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			far := choice.Option{Slots: 8, Usable: true}
			counts := [2]int{}
			for seed := range uint64(400) {
				i, _ := choice.NewRanker(seed).ChooseWithTransfer([]choice.Option{queued, far}, 1, tt.transfer)
				counts[i]++
			}
			if counts[tt.want] < 240 {
				t.Errorf("got %d of 400 choices for option %d, want 240 at least", counts[tt.want], tt.want)
			}
		})
	}
}

// A larger response must tip the choice between equals, and must not outweigh a busy slot.
func TestResponseSizeDecidesBetweenEquals(t *testing.T) {
	small, large := choice.Transfer{Response: 400}, choice.Transfer{Response: 360_000}
	if small.Cost() >= large.Cost() {
		t.Errorf("got cost %v for a small response and %v for a large one, want less for the small one", small.Cost(), large.Cost())
	}
	if oneRequest := 0.08 / 5; large.Cost() >= oneRequest {
		t.Errorf("got cost %v for a large response, want less than %v for a request at an upstream with 5 slots", large.Cost(), oneRequest)
	}
}
