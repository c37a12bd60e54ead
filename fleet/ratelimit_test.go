package fleet_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/retry"
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

// requestRate is how many requests per second sendPaced sends, idleShare the share of requests that
// must be served while upstreams have free slots.
const (
	requestRate = 60
	idleShare   = 0.97
)

// sendPaced sends requests through all nodes in turn for a span, a third of them POST. It returns
// the share that was served, and how many attempts each took.
func sendPaced(f *fleet.Fleet, span time.Duration) (served, attempts float64) {
	var group sync.WaitGroup
	var count atomic.Int64
	ticker := time.NewTicker(time.Second / requestRate)
	defer ticker.Stop()
	sent := 0
	for end := time.Now().Add(span); time.Now().Before(end); sent++ {
		<-ticker.C
		address, isWrite := f.Members[sent%len(f.Members)].Caller, sent%3 == 0
		group.Go(func() {
			got, err := sendOnce(&fasthttp.Client{}, address, isWrite)
			if err == nil && got.outcome == string(access.Served) {
				count.Add(1)
			}
		})
	}
	group.Wait()
	total := 0
	for _, m := range f.Members {
		for _, r := range m.Node.Snapshot(access.Filter{}).Records {
			total += r.Attempts
		}
	}
	return float64(count.Load()) / float64(sent), float64(total) / float64(sent)
}

// Guards against requests that are refused for the rate limits of some upstreams while others have
// free slots, and against requests that try one limited upstream after the other if all are.
func TestRateLimitsCostNothingThatOtherUpstreamsCanServe(t *testing.T) {
	for _, tt := range []struct {
		name         string
		limited      int
		minServed    float64
		mostAttempts float64
	}{
		{"three upstreams without a limit", 9, idleShare, retry.MaxRefused},
		{"all limited", 12, 0, retry.MaxAttempts},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable(12)
			table.Routes[0].Repeatable = []string{"GET"}
			f := startFleet(t, fleet.Config{Table: table, ServiceTime: 20})
			for i := range tt.limited {
				f.Backends[fmt.Sprintf("conferme-%d", i+1)].SetFault(standin.Fault{Kind: standin.Limits, Rate: 2})
			}
			served, attempts := sendPaced(f, loadSpan)
			t.Logf("served %.3f, %.2f attempts a request", served, attempts)
			if served < tt.minServed {
				t.Errorf("got a share of %.3f served, want %.2f at least", served, tt.minServed)
			}
			if attempts > tt.mostAttempts {
				t.Errorf("got %.2f attempts a request, want %.2f at most", attempts, tt.mostAttempts)
			}
		})
	}
}
