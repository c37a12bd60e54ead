package fleet_test

import (
	"testing"

	"github.com/pelletier/go-toml/v2"

	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/table"
)

// Guards against edits that no node puts in force, because the platform was restored from a backup
// and gives them revisions that nodes have seen before, also if a node restarts meanwhile and the
// platform is restored twice.
func TestEditsAfterARestoreReachAllNodes(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(4)})
	edit := func(tt *table.Table) { tt.Services[0].Queue++ }
	for round := range 2 {
		f.Platform.Backup()
		for range 5 {
			if err := f.Publish(edit); err != nil {
				t.Fatal(err)
			}
		}
		awaitVersion(t, f)
		f.Platform.Rewind()
		if round == 1 {
			if err := f.Replace(t.Context(), f.Members[2]); err != nil {
				t.Fatal(err)
			}
		}
		text, err := toml.Marshal(f.Table)
		if err != nil {
			t.Fatal(err)
		}
		f.Platform.Publish("table", f.Table.Version, text) // operators publish the last table again
		if err := f.Publish(edit); err != nil {
			t.Fatal(err)
		}
		awaitVersion(t, f)
	}
}
