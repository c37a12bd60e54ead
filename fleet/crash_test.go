package fleet_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// deadly begins the paths of requests that crash each backend server that runs them.
const deadly = "/conferme/veleno"

// crashing starts a deployment with a budget of retries for the whole service, whose
// backend servers crash at deadly requests and come back a moment later.
func crashing(t *testing.T, upstreams int, caution table.Caution) *fleet.Fleet {
	t.Helper()
	c := deployment(upstreams)
	s := &c.Services[0]
	s.Caution, s.Floor, s.Extra, s.Window = caution, 0.7, 62, 10*clock.Second
	c.Routes[0].Attempts, c.Routes[0].Repeatable = 3, []string{"GET"}
	f := start(t, fleet.Config{Table: c, Service: 2})
	for _, b := range f.Backends {
		b.SetFault(standin.Fault{Kind: standin.Crashes, Path: deadly})
	}
	return f
}

func crashes(f *fleet.Fleet) int {
	sum := 0
	for _, b := range f.Backends {
		sum += b.Crashes()
	}
	return sum
}

// allUp waits until every backend server is there.
func allUp(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	until(t, "backend servers that are all up", func() bool {
		for _, b := range f.Backends {
			if b.IsDown() {
				return false
			}
		}
		return true
	})
}

// Guards against a request that crashes the backend servers which run it being sent to
// one after the other, as it comes again under new ids through all nodes.
func TestARequestThatCrashesItsBackendsIsStopped(t *testing.T) {
	for _, caution := range []table.Caution{table.Brief, table.Fast} {
		t.Run(string(caution), func(t *testing.T) {
			f := crashing(t, 6, caution)
			for i := range 30 {
				send(t, "GET", f.Members[i%6].Caller, deadly+"?n=7", "")
				allUp(t, f)
			}
			if got := crashes(f); got > 6 {
				t.Errorf("got %d crashes under one request, want at most 3 and 3 retries", got)
			}
		})
	}
}
