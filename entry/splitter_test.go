package entry_test

import (
	"math"
	"testing"

	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/table"
)

// Operators move a tenth of a route's requests to another service, and each of 24 entries
// sees few of them. Assigned at random, 300 requests would miss the share by several
// percent, which operators would take for a fault.
func TestSharesHoldForFewRequests(t *testing.T) {
	route := &table.Route{Host: "a.example", Prefix: "/x/", Shares: []table.Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "off", Weight: 0}}}
	counts := map[string]int{}
	for seed := range uint64(24) {
		s := entry.NewSplitter(seed)
		for range 13 {
			counts[s.PickService(route)]++
		}
	}
	total := 24 * 13
	if got := float64(counts["new"]) / float64(total); math.Abs(got-0.1) > 0.04 {
		t.Errorf("got %.3f of the requests for the new service, want 0.1 within 0.04", got)
	}
	if counts["off"] > 0 {
		t.Errorf("got %d requests for a share of weight 0, want none", counts["off"])
	}
}

// Each upstream that joins causes a table update. The split must continue across updates.
func TestSharesSurviveTableEdits(t *testing.T) {
	s := entry.NewSplitter(1)
	counts := map[string]int{}
	for range 200 {
		route := &table.Route{Prefix: "/x/", Shares: []table.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
		counts[s.PickService(route)]++
	}
	if got := counts["a"]; got < 95 || got > 105 {
		t.Errorf("got %d of 200 for one of two equal shares, want 95 to 105", got)
	}
}
