package fleet_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
)

// A bad release reaches four of six backend servers, and most of their answers
// are errors. That is the service's usual state then, and none is set aside. The
// two healthy ones must get most of the work all the same.
func TestMajorityOfGrayUpstreamsGetsLittleWork(t *testing.T) {
	f := start(t, fleet.Config{Table: deployment(6), ServiceTime: 5})
	s := startSteady(6, callers(f))
	for _, name := range []string{"conferme-1", "conferme-2", "conferme-3", "conferme-4"} {
		f.Backends[name].SetFault(standin.Fault{Kind: standin.Fails, Share: 0.8})
	}
	healthy := f.Backends["conferme-6"]
	await(t, healthy, ran(healthy.Totals().Begun+300)) // the faults show
	count := func() (all uint64, good uint64) {
		for name, b := range f.Backends {
			begun := b.Totals().Begun
			all += begun
			if name == "conferme-5" || name == "conferme-6" {
				good += begun
			}
		}
		return all, good
	}
	all, good := count()
	await(t, healthy, ran(healthy.Totals().Begun+500))
	allAfter, goodAfter := count()
	close(s.stop)
	s.group.Wait()
	if got := float64(goodAfter-good) / float64(allAfter-all); got < 0.6 {
		t.Errorf("got %.2f of the work at the healthy third, want 0.6 or more", got)
	}
}
