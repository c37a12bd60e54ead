package fleet_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
)

// An upstream answers eight times slower for a moment, is set aside, and is sound again.
// After some five seconds of hold-off its gate offered it for trial, and no entry sent it a
// request while others had room: it stayed out until the trial ran out after half a
// minute. Ten good requests of its trial must bring it back.
func TestUpstreamIsBackAfterItsTrialBesideOthersWithRoom(t *testing.T) {
	d := deployment(3)
	d.Routes[0].Repeatable = []string{"GET"}
	d.Services[0].Deadline = 20 * clock.Second // a starved machine is no sick upstream
	f := start(t, fleet.Config{Table: d, ServiceTime: 10})
	s := startSteady(4, callers(f))
	sick := f.Backends["conferme-2"]
	await(t, sick, ran(30))
	sick.SetFault(standin.Fault{Kind: standin.Slow, Factor: 8})
	state := func() string { return stateOf(f.Members[0], "conferme-2") }
	until(t, "upstream set aside", func() bool { return state() == access.StateEjected })
	sick.SetFault(standin.Fault{})
	until(t, "upstream back", func() bool { return state() == access.StateRamp || state() == access.StateInUse })
	s.end(t)
}
