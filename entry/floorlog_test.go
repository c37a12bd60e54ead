package entry_test

import (
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// eventCounter counts the events of one kind.
type eventCounter struct {
	nopRecorder

	kind  access.EventKind
	count int
}

func (c *eventCounter) RecordEvent(e access.Event) {
	if e.Kind == c.kind {
		c.count++
	}
}

// All upstreams of a service fail for ten seconds. Each failed request makes the upstream
// that failed it the worst, so that the floor exchanges it for another one. An event and a
// line for each exchange were 18,109 lines, and overwrote all other events.
func TestExchangesUnderTheFloorAreNotRecorded(t *testing.T) {
	now := clock.Hour
	gates := map[string]*fakeGate{}
	service := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Floor: 0.5, Deadline: clock.Minute, RetryRatio: 0.2, RetryWindow: 10 * clock.Second}
	recorder := &eventCounter{kind: access.ForcedUnderFloor}
	e := entry.New(entry.Config{
		Domain: "catania", Now: func() clock.Millis { return now }, Pool: newPool(t), Recorder: recorder, Log: logging.Silent(),
		GateClient: func(u table.Upstream) entry.GateClient { return gates[u.Name] },
	})
	for i := range 9 {
		g := &fakeGate{name: fmt.Sprint("c", i)}
		g.onDispatch = func(m *wire.Dispatch) *wire.Reply {
			failing := wire.Upstream{Name: g.name, Share: 1, Severity: 0.98}
			e.UpdateUpstream(failing)
			return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 500, Upstream: failing}
		}
		gates[g.name] = g
		service.Upstreams = append(service.Upstreams, table.Upstream{Name: g.name, Node: g.name, Domain: "catania", Weight: 100, Slots: 5})
	}
	e.Update(table.Index(table.Table{
		Services: []table.Service{service},
		Routes:   []table.Route{{Prefix: "/", Service: "conferme", Timeout: clock.Minute, MaxAttempts: 1, Repeatable: []string{table.AnyMethod}}},
	}))
	for name := range gates {
		e.UpdateUpstream(wire.Upstream{Name: name, Share: 1, Severity: 0.98})
	}
	const requests = 500
	for range requests {
		now += 20
		post(e)
	}
	if got := recorder.count; got == 0 || got > 10*len(gates)/2 {
		t.Errorf("got %d events in 10 s, want some, at most one in 2 s for each of 9 upstreams", got)
	}
	t.Logf("%d events for %d requests", recorder.count, requests)
}
