package entry_test

import (
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
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
// line for each exchange would overwrite all other events and fill the log.
func TestExchangesUnderTheFloorAreNotRecorded(t *testing.T) {
	now := clock.Hour
	recorder := &eventCounter{kind: access.ForcedUnderFloor}
	s := newTestServiceOf(t, entry.Config{Now: func() clock.Millis { return now }, Recorder: recorder})
	s.service.Floor, s.attempts = 0.5, 1
	for i := range 9 {
		name := fmt.Sprint("c", i)
		s.addUpstream(name)
		failing := wire.Upstream{Name: name, Share: 1, Severity: 0.98}
		s.gates[name].onDispatch = func(m *wire.Dispatch) *wire.Reply {
			s.entry.UpdateUpstream(failing)
			return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 500, Upstream: failing}
		}
		s.publish()
		s.entry.UpdateUpstream(failing)
	}
	const requests = 500
	for range requests {
		now += 20
		post(s.entry)
	}
	if got := recorder.count; got == 0 || got > 10*len(s.gates)/2 {
		t.Errorf("got %d events in 10 s, want some, at most one in 2 s for each of 9 upstreams", got)
	}
}
