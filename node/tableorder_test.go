package node_test

import (
	"sync"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Guards against a log that says that an older table came into force after a newer one, while the newer one
// was in force: peers offer tables at the same time.
func TestTablesAreLoggedInTheOrderInWhichTheyAreInForce(t *testing.T) {
	const rounds, versions = 60, 6
	deployment := tableOf([]*node.Listeners{listen(t)})
	deployment.Services[0].Objective = table.Objective{Availability: table.DefaultAvailability, Latency: 500, LatencyRatio: table.DefaultLatencyRatio}
	for range rounds {
		log, hook := logtest.NewNullLogger()
		n, err := node.New(node.Config{Log: log, Settings: &settings.Settings{
			Node: "n", Domain: "palermo", Secret: "a secret of this test", HeartbeatInterval: clock.Second,
			Listen: settings.Listen{Caller: "127.0.0.1:1", Link: "127.0.0.1:2", Admin: "127.0.0.1:3"},
			Limits: settings.Limits{Body: 1 << 20, Answer: 1 << 20, Requests: 16, Records: 16},
		}})
		if err != nil {
			t.Fatal(err)
		}
		var offers sync.WaitGroup
		for version := range uint64(versions) {
			offered := deployment.Clone()
			offered.Version = version + 1
			text, err := toml.Marshal(offered)
			if err != nil {
				t.Fatal(err)
			}
			offers.Go(func() { n.ReceiveTable("peer", &wire.TableVersion{Version: version + 1, Text: text}) })
		}
		offers.Wait()
		last := uint64(0)
		for _, entry := range hook.AllEntries() {
			if version, ok := entry.Data["version"].(uint64); ok && entry.Level == logrus.InfoLevel && entry.Message == "table in force" {
				if version < last {
					t.Fatalf("got version %d in force after %d, want ascending versions", version, last)
				}
				last = version
			}
		}
		if last != versions {
			t.Fatalf("got version %d in force at last, want %d", last, versions)
		}
	}
}
