package fleet_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
)

// A bad release makes four of six backend servers fail most requests. Failures are then
// typical of the service, so that no upstream is ejected. The two healthy backend servers
// must still get most of the requests.
func TestFailingMajorityGetsFewRequests(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(6), ServiceTime: 5})
	s := startSteadyLoad(6, callerAddresses(f))
	for _, name := range []string{"conferme-1", "conferme-2", "conferme-3", "conferme-4"} {
		f.Backends[name].SetFault(standin.Fault{Kind: standin.Fails, Share: 0.8})
	}
	healthy := f.Backends["conferme-6"]
	awaitTotals(t, healthy, begunAtLeast(healthy.Totals().Begun+300)) // until the nodes have seen the failures
	countBegun := func() (all uint64, good uint64) {
		for name, b := range f.Backends {
			begun := b.Totals().Begun
			all += begun
			if name == "conferme-5" || name == "conferme-6" {
				good += begun
			}
		}
		return all, good
	}
	all, good := countBegun()
	awaitTotals(t, healthy, begunAtLeast(healthy.Totals().Begun+500))
	allAfter, goodAfter := countBegun()
	close(s.stop)
	s.group.Wait()
	if got := float64(goodAfter-good) / float64(allAfter-all); got < 0.6 {
		t.Errorf("got %.2f of the requests at the healthy third, want 0.6 or more", got)
	}
}
