package fleet_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// The platform is out of reach for one node, which no caller uses, so that no
// link of it is open. An operator's edit must be in force there as well, by way
// of its neighbours.
func TestEditReachesNodeCutFromThePlatform(t *testing.T) {
	f := start(t, fleet.Config{Table: deployment(4), PlatformRelays: true})
	cut := f.Members[2]
	cut.PlatformRelay.SetMode(standin.Refuse)
	if err := f.Publish(func(tt *table.Table) { tt.Services[0].Queue++ }); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f)
}
