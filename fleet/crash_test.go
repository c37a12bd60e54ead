package fleet_test

import (
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// crashingPath is the path prefix of requests that crash each backend server that runs
// them.
const crashingPath = "/conferme/veleno"

// startCrashing starts a deployment whose service has a retry budget. Its backend servers
// crash on requests to crashingPath and restart a moment later.
func startCrashing(t *testing.T, upstreams int, caution table.Caution) *fleet.Fleet {
	t.Helper()
	c := newTable(upstreams)
	s := &c.Services[0]
	s.Caution, s.Floor, s.ExtraRetries, s.RetryWindow = caution, 0.7, 62, 10*clock.Second
	c.Routes[0].MaxAttempts, c.Routes[0].Repeatable = 3, []string{"GET"}
	f := startFleet(t, fleet.Config{Table: c, ServiceTime: 2})
	for _, b := range f.Backends {
		b.SetFault(standin.Fault{Kind: standin.Crashes, Path: crashingPath})
	}
	return f
}

// crashCount returns how often backend servers have crashed.
func crashCount(f *fleet.Fleet) int {
	sum := 0
	for _, b := range f.Backends {
		sum += b.Crashes()
	}
	return sum
}

// awaitAllUp waits until every backend server is running.
func awaitAllUp(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	waitUntil(t, "all backend servers running", func() bool {
		for _, b := range f.Backends {
			if b.IsDown() {
				return false
			}
		}
		return true
	})
}

// Guards against a request that crashes every backend server that runs it being sent to
// one server after the other, because it arrives again under new ids through all nodes.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, caution := range []table.Caution{table.ShortEpisodes, table.Fast} {
		t.Run(string(caution), func(t *testing.T) {
			f := startCrashing(t, 6, caution)
			for i := range 30 {
				send(t, "GET", f.Members[i%6].Caller, crashingPath+"?n=7", "")
				awaitAllUp(t, f)
			}
			if got := crashCount(f); got > 6 {
				t.Errorf("got %d crashes by one request, want at most 3 and 3 retries", got)
			}
		})
	}
}

// Backend servers that fail most requests immediately also fail the crashing request
// without a crash. Guards against these failures being taken as proof that the request is
// harmless, so that nodes send it again and again.
func TestCrashingRequestIsQuarantinedAmongFailingServers(t *testing.T) {
	f := startCrashing(t, 6, table.ShortEpisodes)
	for _, name := range []string{"conferme-1", "conferme-2", "conferme-3", "conferme-5"} {
		f.Backends[name].SetFault(standin.Fault{Kind: standin.Crashes, Path: crashingPath, FailFastShare: 0.9})
	}
	arrivalsAtThird := -1
	for i := range 60 {
		send(t, "GET", f.Members[i%6].Caller, crashingPath, "")
		awaitAllUp(t, f)
		if arrivalsAtThird < 0 && crashCount(f) >= 3 {
			arrivalsAtThird = crashingArrivals(f)
		}
	}
	if got := crashingArrivals(f) - arrivalsAtThird; arrivalsAtThird < 0 || got > 3 {
		t.Errorf("got %d sends that reached servers after the third crash (%d crashes), want 3 at most", got, crashCount(f))
	}
}

// Guards against harmless requests being quarantined, or failing for more than a moment,
// because they ran at the same time as a crashing request. One of them is sent often,
// others once.
func TestHarmlessRequestsAreServedBesideACrashingOne(t *testing.T) {
	f := startCrashing(t, 6, table.ShortEpisodes)
	s := startSteadyLoad(6, callerAddresses(f))
	for i := range 20 {
		send(t, "GET", f.Members[i%6].Caller, crashingPath, "")
		for j := range 6 {
			got := send(t, "GET", f.Members[j].Caller, fmt.Sprintf("/conferme/turno?n=%d", i*6+j), "")
			if got.outcome != "served" {
				t.Errorf("send %d through %s: got %q %q, want served", i, f.Members[j].Name, got.outcome, got.reason)
			}
		}
		awaitAllUp(t, f)
	}
	close(s.stop)
	s.group.Wait()
	if got := send(t, "GET", f.Members[0].Caller, crashingPath, ""); got.reason != "quarantined" || got.outcome != "unknown" || got.status != 502 {
		t.Errorf("got %d %q %q for the crashing request, want 502 unknown quarantined", got.status, got.outcome, got.reason)
	}
	for _, m := range f.Members {
		for _, c := range m.Node.Quarantine() {
			if c.Verdict == access.VerdictQuarantined && len(c.Upstreams) < 3 {
				t.Errorf("%s: got %+v quarantined, want three crashes by it", m.Name, c)
			}
		}
	}
}

// Backend servers crash on their own, and a popular request runs on almost all of them at
// the time. Guards against the request being quarantined for these crashes.
func TestPopularRequestIsNotBlamedForUnrelatedCrashes(t *testing.T) {
	f := startCrashing(t, 6, table.ShortEpisodes)
	s := startSteadyLoad(6, callerAddresses(f))
	for i := range 40 {
		b := f.Backends[fmt.Sprintf("conferme-%d", i%6+1)]
		awaitTotals(t, b, begunAtLeast(b.Totals().Begun+5))
		b.CrashFor(0)
		awaitAllUp(t, f)
		got := send(t, "GET", f.Members[i%6].Caller, "/conferme/turno", "")
		if got.reason == "quarantined" {
			t.Fatalf("crash %d: got %q %q, want it not quarantined", i, got.outcome, got.reason)
		}
	}
	close(s.stop)
	s.group.Wait()
	for _, m := range f.Members {
		for _, c := range m.Node.Quarantine() {
			if c.Verdict == access.VerdictQuarantined {
				t.Errorf("%s: got %+v quarantined, want none", m.Name, c)
			}
		}
	}
}

// Guards against a request that stays quarantined after an operator lifts it, and against
// upstreams that stay ejected for crashes that a request caused.
func TestOperatorLiftsAQuarantine(t *testing.T) {
	f := startCrashing(t, 4, table.ShortEpisodes)
	for i := range 6 {
		send(t, "GET", f.Members[i%4].Caller, crashingPath, "")
		awaitAllUp(t, f)
	}
	cases := f.Members[0].Node.Quarantine()
	if len(cases) != 1 || cases[0].Verdict != access.VerdictQuarantined {
		t.Fatalf("got %+v, want one request quarantined", cases)
	}
	for _, b := range f.Backends {
		b.SetFault(standin.Fault{Kind: standin.Healthy}) // a fixed release is deployed
	}
	if got := send(t, "GET", f.Members[1].Caller, crashingPath, ""); got.reason != "quarantined" {
		t.Errorf("got %q %q before it is lifted, want it quarantined", got.outcome, got.reason)
	}
	if err := f.Publish(func(c *table.Table) { c.Services[0].LiftedFingerprints = []string{cases[0].Fingerprint} }); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "request served by all nodes", func() bool {
		for _, m := range f.Members {
			if send(t, "GET", m.Caller, crashingPath, "").outcome != "served" {
				return false
			}
		}
		return true
	})
	waitUntil(t, "all upstreams in use", func() bool {
		for _, b := range f.Backends {
			before := b.Totals().Begun
			for range 12 {
				send(t, "GET", f.Members[0].Caller, "/conferme/turno", "")
			}
			if b.Totals().Begun == before {
				return false
			}
		}
		return true
	})
}
