package entry_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// An ejected upstream is replaced by another process under the same name. The state that
// the gate of the old process reported must not keep requests from the new one.
func TestRestartedUpstreamStartsAfresh(t *testing.T) {
	log := logging.Silent()
	e := entry.New(entry.Config{
		Now: clock.NewSystem().Now, Recorder: access.New(access.Config{}), Log: log,
		GateClient: func(table.Upstream) entry.GateClient { return &fakeGate{} },
	})
	listed := func(started int64) *table.Table {
		return table.Index(table.Table{Services: []table.Service{{
			Name: "conferme", Caution: table.ShortEpisodes, Floor: 0.5,
			Upstreams: []table.Upstream{
				{Name: "c1", Node: "10.0.0.1:1", Weight: 100, Slots: 1, Started: started},
				{Name: "c2", Node: "10.0.0.2:1", Weight: 100, Slots: 1},
			},
		}}})
	}
	e.Update(listed(1))
	e.UpdateUpstream(wire.Upstream{Name: "c1", State: uint8(health.Ejected), Severity: 1, Until: clock.Minute})
	before := e.States()[0].State
	e.Update(listed(2))
	if after := e.States()[0].State; after == before {
		t.Errorf("got state %s before and after the restart, want the old state dropped", after)
	}
}
