package entry_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// A busy machine slowed an upstream for half a second, and its gate ejected it. On trial
// five seconds later, beside an upstream with room for all requests, it got none until
// the trial expired after half a minute: its gate reports a share of 0 for a trial, which
// the choice took for an upstream to avoid.
func TestUpstreamOnTrialGetsRequests(t *testing.T) {
	tests := []struct {
		name   string
		update wire.Upstream
	}{
		{"on trial", wire.Upstream{Name: "b", State: uint8(health.Trial), Severity: 0.6, Until: clock.Minute}},
		{"ejection over since the last update", wire.Upstream{Name: "b", State: uint8(health.Ejected), Severity: 0.6}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestService(t)
			s.service.Caution = table.Fast
			s.addUpstream("a")
			s.addUpstream("b")
			s.publish()
			s.entry.UpdateUpstream(tt.update)
			const sent = 200
			for range sent {
				if status, _ := post(s.entry); status != 200 {
					t.Fatalf("got %d, want 200", status)
				}
				if s.gates["b"].dispatched > 0 {
					return
				}
			}
			t.Errorf("got none of %d requests for the upstream on trial, want some", sent)
		})
	}
}

// One of two upstreams is ejected, and the gate of the other ejects it when a request
// arrives. From then on the floor keeps the one of lower severity in use, which could
// serve the request. The request was refused, because the count of untried upstreams
// dated from before the second ejection.
func TestRequestIsServedUnderFloorAfterLastEjection(t *testing.T) {
	for _, tt := range []struct {
		name     string
		severity float64 // of the last upstream in use
		want     string
	}{{"the last upstream is kept", 0.5, "a"}, {"the other upstream is kept", 0.7, "b"}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestService(t)
			s.service.Caution, s.service.Floor = table.Fast, 0.5
			for _, name := range []string{"a", "b"} {
				s.addUpstream(name)
				s.gates[name].publish = s.entry.UpdateUpstream
				s.gates[name].verdict = &wire.Upstream{Name: name, State: uint8(health.Ejected), Severity: 0.6, Until: clock.Minute}
			}
			s.gates["a"].verdict.Severity = tt.severity
			s.publish()
			s.entry.UpdateUpstream(*s.gates["b"].verdict)
			status, body := post(s.entry)
			if status != 200 || body != tt.want {
				t.Errorf("got %d %q, want it served by %s", status, body, tt.want)
			}
		})
	}
}
