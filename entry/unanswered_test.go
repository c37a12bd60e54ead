package entry_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// A link is cut in one direction, which the path detector takes seconds to find. Guards against
// each request losing 100 ms at the same gates that don't answer, while others have room.
func TestGateThatDoesNotAnswerIsAskedLast(t *testing.T) {
	for _, tt := range []struct {
		waiting table.Waiting
		want    int // times that the silent gate is asked by two requests
	}{{table.WaitForService, 1}, {table.WaitAtGates, 2}} {
		silent := &fakeGate{name: "silent", onProbe: func(*wire.CapacityProbe, func(*wire.Reservation)) {}}
		gates := []*fakeGate{silent, {name: "a"}, {name: "b"}, {name: "c"}, {name: "d"}}
		for _, g := range gates[1:] {
			g.onProbe = grantSlot(g.name, 0.2)
		}
		s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Waiting: tt.waiting, Floor: 0.1, Deadline: clock.Minute}
		e := newClockedEntry(t, entry.Config{Now: clock.NewSystem().Now}, s, []string{}, gates...)
		for _, g := range gates[1:] {
			e.UpdateUpstream(wire.Upstream{Name: g.name, Share: 1, Severity: 0.2}) // the silent one is preferred
		}
		for range 2 {
			if status, by := post(e); status != 200 || by == silent.name {
				t.Errorf("%s: got %d from %q, want 200 from another gate", tt.waiting, status, by)
			}
		}
		if silent.probes != tt.want {
			t.Errorf("%s: got the silent gate asked %d times, want %d", tt.waiting, silent.probes, tt.want)
		}
	}
}
