package fleet_test

import (
	"testing"

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
