package entry_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// A busy machine slowed an upstream for half a second, and it was set aside. After five
// seconds its gate offered it for trial, beside one that had room for all requests: it
// got none, and its trial lasted until it ran out after half a minute. The share of work
// that is told of a trial was none, which stands for one that must not be chosen.
func TestTrialGetsRequestsBesideUpstreamsWithRoom(t *testing.T) {
	tests := []struct {
		name  string
		heard wire.Upstream
	}{
		{"on trial", wire.Upstream{Name: "b", State: uint8(health.Trial), Severity: 0.6, Until: clock.Minute}},
		{"hold-off over since it was heard", wire.Upstream{Name: "b", State: uint8(health.Aside), Severity: 0.6}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := crew(t, 1)
			s.service.Caution = table.Fast
			s.join("a")
			s.join("b")
			s.publish()
			s.entry.Heard(tt.heard)
			const sent = 200
			for range sent {
				if status, _ := post(s.entry); status != 200 {
					t.Fatalf("got %d, want 200", status)
				}
				if s.ways["b"].dispatched > 0 {
					return
				}
			}
			t.Errorf("got none of %d requests for the upstream on trial, want some", sent)
		})
	}
}
