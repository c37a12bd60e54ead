package fleet_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
)

// An upstream answers eight times slower for a moment, is ejected, and recovers. After a
// hold-off of about five seconds its gate offered the upstream for trial, but no entry
// sent it a request while other upstreams had room: it stayed out until the trial expired
// after half a minute. Ten good requests of its trial must bring it back.
func TestEjectedUpstreamReturnsAfterItsTrial(t *testing.T) {
	d := newTable(3)
	d.Routes[0].Repeatable = []string{"GET"}
	d.Services[0].Deadline = 20 * clock.Second // a machine short of CPU must not look like a faulty upstream
	f := startFleet(t, fleet.Config{Table: d, ServiceTime: 10})
	s := startSteadyLoad(4, callerAddresses(f))
	slow := f.Backends["conferme-2"]
	awaitTotals(t, slow, begunAtLeast(30))
	slow.SetFault(standin.Fault{Kind: standin.Slow, Factor: 8})
	state := func() string { return upstreamState(f.Members[0], "conferme-2") }
	waitUntil(t, "upstream ejected", func() bool { return state() == access.StateEjected })
	slow.SetFault(standin.Fault{})
	waitUntil(t, "upstream back", func() bool { return state() == access.StateRamp || state() == access.StateInUse })
	s.stopAndCheck(t)
}
