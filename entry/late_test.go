package entry_test

import (
	"bufio"
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Guards against a leaving entry that sends a request which may still run when its node stops, and then ends it
// without its answer: nobody knows whether it ran.
func TestLeavingEntrySendsNothingThatMayOutlastItsNode(t *testing.T) {
	const left = 4 * clock.Second
	for _, caution := range []table.Caution{table.Balanced, table.ShortEpisodes} {
		for _, tt := range []struct {
			name    string
			runs    clock.Millis // how long earlier requests of the route took, 0 without any
			timeout clock.Millis // the caller's
			passed  clock.Millis // since the departure began
			isSent  bool
		}{
			{"short route", 200, clock.Minute, 0, true},
			{"long route", 3 * clock.Second, clock.Minute, 0, false},
			{"long route, whose caller leaves sooner", 3 * clock.Second, clock.Second, 0, true},
			{"unknown route", 0, clock.Minute, 0, false},
			{"unknown route, whose caller leaves sooner", 0, clock.Second, 0, true},
			{"short route, early", 200, clock.Minute, 2 * clock.Second, true},
			{"short route, late", 200, clock.Minute, 3 * clock.Second, false},
			{"short route, late, whose caller leaves sooner", 200, clock.Second, 3 * clock.Second, true},
		} {
			for _, method := range []string{"GET", "POST"} {
				gate := &fakeGate{name: "a", onDispatch: func(m *wire.Dispatch) *wire.Reply {
					return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 200, Took: tt.runs}
				}}
				now := clock.NewSystem().Now
				service := table.Service{Name: "conferme", Caution: caution, Floor: 0.3, Deadline: clock.Hour}
				route := table.Route{Prefix: "/", Service: "conferme", MaxAttempts: 2, Repeatable: []string{"GET"}}
				e := newRoutedEntry(t, entry.Config{Now: now}, service, route, gate)
				conn := connectCaller(t, e, now)
				reader := bufio.NewReader(conn)
				request := func(timeout clock.Millis) (status int, reason string) {
					_, err := fmt.Fprintf(conn, "%s /turno HTTP/1.1\r\nHost: a\r\nFuchsiapick-Deadline: %d\r\nContent-Length: 0\r\n\r\n", method, timeout)
					if err != nil {
						t.Fatal(err)
					}
					got := readResponse(t, conn, reader)
					return got.StatusCode(), string(got.Header.Peek(entry.HeaderReason))
				}
				for range 20 {
					if tt.runs > 0 {
						request(clock.Minute)
					}
				}
				before := gate.dispatched
				e.Depart(departure.Stop{Begins: now() - tt.passed, At: now() + left})
				status, reason := request(tt.timeout)
				if isSent := gate.dispatched > before; isSent != tt.isSent {
					t.Errorf("%s, %s %s: got sent %v, %d %s; want sent %v", caution, method, tt.name, isSent, status, reason, tt.isSent)
				}
				if !tt.isSent && (status != 503 || reason != string(wire.ReasonLeaving)) {
					t.Errorf("%s, %s %s: got %d %s, want 503 %s", caution, method, tt.name, status, reason, wire.ReasonLeaving)
				}
			}
		}
	}
}
