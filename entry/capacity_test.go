package entry_test

import (
	"math"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Upstreams of different speed got the same number of requests, so that the slow ones were the
// busiest of their service. A slow one must get less, as long as its profile is recent.
func TestSlowUpstreamGetsLessLoad(t *testing.T) {
	tests := []struct {
		name      string
		placement table.Placement
		speed     float64
		age       clock.Millis
		wantLess  bool
	}{
		{"a recent profile", table.PlaceByCost, 0.25, 0, true},
		{"an old profile", table.PlaceByCost, 0.25, clock.Minute, false},
		{"a profile that can't be used", table.PlaceByCost, math.NaN(), 0, false},
		{"a service without placement by cost", table.PlaceNear, 0.25, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := clock.Second
			slow, fast := &fakeGate{name: "slow"}, &fakeGate{name: "fast"}
			s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Placement: tt.placement, Floor: 0.3, Deadline: clock.Minute}
			e := newClockedEntry(t, entry.Config{Now: func() clock.Millis { return now }}, s, []string{table.AnyMethod}, slow, fast)
			e.UpdateProfile(&wire.UpstreamProfile{Upstream: "slow", Speed: tt.speed})
			now += tt.age
			const requests = 200
			for range requests {
				for _, name := range []string{"slow", "fast"} {
					e.UpdateUpstream(wire.Upstream{Name: name, Share: 1, InFlight: 1})
				}
				if status, _ := post(e); status != 200 {
					t.Fatalf("got %d, want 200", status)
				}
			}
			if got := slow.dispatched < requests/4; got != tt.wantLess {
				t.Errorf("got %d of %d requests at the slow upstream, want less than a quarter: %v", slow.dispatched, requests, tt.wantLess)
			}
			if slow.dispatched > requests*3/4 {
				t.Errorf("got %d of %d requests at the slow upstream, want three quarters at most", slow.dispatched, requests)
			}
		})
	}
}
