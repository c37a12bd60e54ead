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
		{"hold-off over since it was heard", wire.Upstream{Name: "b", State: uint8(health.Ejected), Severity: 0.6}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := crew(t)
			s.service.Caution = table.Fast
			s.join("a")
			s.join("b")
			s.publish()
			s.entry.UpdateUpstream(tt.heard)
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

// One of two upstreams is set aside already, and the gate of the other sets it aside, too,
// at the moment when a request comes. The floor keeps the less sick of them in use from
// then on, and the request could be served there; it was refused, for when it was sent no
// other was left.
func TestRefusedByTheLastUpstreamInUseIsServedUnderTheFloor(t *testing.T) {
	for _, tt := range []struct {
		name     string
		severity float64 // of the last one
		want     string
	}{{"the last one is kept", 0.5, "a"}, {"the other one is kept", 0.7, "b"}} {
		t.Run(tt.name, func(t *testing.T) {
			s := crew(t)
			s.service.Caution, s.service.Floor = table.Fast, 0.5
			for _, name := range []string{"a", "b"} {
				s.join(name)
				s.ways[name].told = s.entry.UpdateUpstream
				s.ways[name].verdict = &wire.Upstream{Name: name, State: uint8(health.Ejected), Severity: 0.6, Until: clock.Minute}
			}
			s.ways["a"].verdict.Severity = tt.severity
			s.publish()
			s.entry.UpdateUpstream(*s.ways["b"].verdict)
			status, body := post(s.entry)
			if status != 200 || body != tt.want {
				t.Errorf("got %d %q, want it served by %s", status, body, tt.want)
			}
		})
	}
}
