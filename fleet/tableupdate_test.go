package fleet_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// One node can't reach the platform, and as no caller uses the node, it has no open link
// either. A table that an operator publishes must come into force there too, through its
// peers.
func TestEditReachesNodeCutFromThePlatform(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(4), PlatformRelays: true})
	cut := f.Members[2]
	cut.PlatformRelay.SetMode(standin.Refuse)
	if err := f.Publish(func(tt *table.Table) { tt.Services[0].Queue++ }); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f)
}

// The registration of an upstream expires twice while it runs a request of another node. Guards
// against a node that doesn't count the run, for a gate that another gate has replaced.
func TestRunOutlivesTwoRemovalsOfItsUpstream(t *testing.T) {
	d := newTable(2)
	d.Services[0].Deadline = 20 * clock.Second
	d.Services[0].Floor, d.Services[0].Upstreams[1].Weight = 0, 0 // the request goes to the other one
	f := startFleet(t, fleet.Config{Table: d, ServiceTime: 3000})
	done := make(chan answer, 1)
	go func() { done <- send(t, "POST", f.Members[1].Caller, "/conferme/turno", "") }()
	awaitTotals(t, f.Backends["conferme-1"], begunAtLeast(1))
	all := f.Table.Services[0].Upstreams
	for _, upstreams := range [][]table.Upstream{all[1:], all, all[1:]} {
		if err := f.Publish(func(tt *table.Table) { tt.Services[0].Upstreams = upstreams }); err != nil {
			t.Fatal(err)
		}
		awaitVersion(t, f)
	}
	if got := f.Members[0].Node.InFlight(); got != 1 {
		t.Errorf("got %d requests in flight at the gate's node, want 1", got)
	}
	if got := <-done; got.outcome != string(access.Served) {
		t.Errorf("got outcome %q (%s), want served", got.outcome, got.reason)
	}
}
