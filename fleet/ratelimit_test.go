package fleet_test

import (
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
)

const (
	// namedRate is the rate limit, in requests per second, that a backend server names.
	namedRate = 1
	// limitWindow is the span over which the users' rule counts arrivals, limitNotice the time
	// after the first naming from which it does.
	limitWindow = 4 * clock.Second
	limitNotice = 3 * clock.Second
	// allowedArrivals is how many requests the users' rule allows in limitWindow.
	allowedArrivals = 1.5*namedRate*4 + 5
	// loadSpan is how long callers send after the backend server has named its limit.
	loadSpan = 9 * time.Second
)

// nameLimit makes a backend server name its rate limit from now on, and returns a function
// that fails the test if the server has got more requests than allowed.
func nameLimit(b *standin.Backend) (check func(t *testing.T)) {
	b.SetFault(standin.Fault{Kind: standin.Limits, Rate: namedRate})
	before := len(b.Ledger())
	return func(t *testing.T) {
		t.Helper()
		arrivals := b.Ledger()[before:]
		if len(arrivals) == 0 {
			t.Fatal("got no request at the limited backend server")
		}
		from := arrivals[0].Started + limitNotice
		for i, first := range arrivals {
			count := 0
			for _, e := range arrivals[i:] {
				if e.Started < first.Started+limitWindow {
					count++
				}
			}
			if first.Started >= from && count > allowedArrivals {
				t.Fatalf("got %d requests in %v from %v on, want at most %v", count, limitWindow, first.Started-arrivals[0].Started, allowedArrivals)
			}
		}
		if last := arrivals[len(arrivals)-1].Started; last < from {
			t.Errorf("got the last request %v after the first, want some after %v", last-arrivals[0].Started, limitNotice)
		}
	}
}

// Guards against a backend server that is sent more requests than it has said it accepts, by all
// nodes together, while other upstreams can serve them.
func TestRateLimitOfABackendServerHoldsOverAllNodes(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(6), ServiceTime: 20})
	s := startSteadyLoad(12, callerAddresses(f))
	check := nameLimit(f.Backends["conferme-1"])
	<-time.After(loadSpan)
	s.stopAndCheck(t)
	check(t)
}

// Guards against a node that restarts and forgets what the backend server beside it has named,
// while the other nodes go on sending to it.
func TestRateLimitHoldsThroughRestartsOfTheNodeBesideIt(t *testing.T) {
	table := newTable(6)
	table.Services[0].Queue = 0
	for i := range table.Services[0].Upstreams {
		table.Services[0].Upstreams[i].Slots = 1 // so that all others are full
	}
	table.Services[0].Upstreams[0].Slots = 24
	f := startFleet(t, fleet.Config{Table: table, ServiceTime: 400})
	s := startSteadyLoad(24, callerAddresses(f)[1:])
	check := nameLimit(f.Backends["conferme-1"])
	<-time.After(loadSpan / 2)
	for range 2 {
		if err := f.Replace(t.Context(), f.Members[0]); err != nil {
			t.Fatal(err)
		}
		<-time.After(time.Second)
	}
	<-time.After(loadSpan / 3)
	close(s.stop)
	s.group.Wait()
	check(t)
}

// Guards against a node that restarts and lets requests through to a backend server that has
// announced to leave, from an entry that has forwarded the announcement.
func TestAnnouncedLeavingHoldsThroughARestartOfTheNodeBesideIt(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(2), ServiceTime: 20})
	leaving, entryNode := f.Backends["conferme-1"], f.Members[1]
	leaving.SetFault(standin.Fault{Kind: standin.Leaves})
	for send(t, "POST", entryNode.Caller, "/conferme/turno", "").backend != "conferme-1" {
		continue // until the entry has forwarded the announcement
	}
	before := len(leaving.Ledger())
	if err := f.Replace(t.Context(), f.Members[0]); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if got := send(t, "POST", entryNode.Caller, "/conferme/turno", ""); got.status != 200 || got.backend != "conferme-2" {
			t.Fatalf("got %d from %q (%s), want 200 from conferme-2", got.status, got.backend, got.reason)
		}
		<-time.After(10 * time.Millisecond)
	}
	if got := len(leaving.Ledger()) - before; got != 0 {
		t.Errorf("got %d requests at the leaving backend server after the restart, want none", got)
	}
}
