package fleet_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// A backend server never answers requests, but its health endpoint reports success.
// Repeatable requests that are sent to it must be retried at another backend server and
// be served within their timeout.
func TestReadsAreServedDespiteAHungBackendServer(t *testing.T) {
	deployed := newTable(4)
	s := &deployed.Services[0]
	s.Caution, s.RetryRatio, s.ExtraRetries, s.RetryWindow = table.ShortEpisodes, 0.2, 200, 10*clock.Second
	deployed.Routes[0].Timeout, deployed.Routes[0].LatencyTarget, deployed.Routes[0].MaxAttempts = 5*clock.Second, 600, 2
	deployed.Routes[0].Repeatable = []string{"GET"}
	f := startFleet(t, fleet.Config{Table: deployed, ServiceTime: 20})
	for i := range 80 {
		if got := send(t, "GET", f.Members[i%4].Caller, "/conferme/lista", ""); got.outcome != "served" {
			t.Fatalf("request %d before: got %d %q, want it served", i, got.status, got.reason)
		}
	}
	f.Backends["conferme-2"].SetFault(standin.Fault{Kind: standin.Hangs, Share: 1})
	for i := range 80 {
		if got := send(t, "GET", f.Members[i%4].Caller, "/conferme/lista", ""); got.status != 200 {
			t.Errorf("request %d: got %d %q, want it served by another upstream", i, got.status, got.reason)
		}
	}
}
