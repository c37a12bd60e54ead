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

// deadly begins the paths of requests that crash each backend server that runs them.
const deadly = "/conferme/veleno"

// crashing starts a deployment with a budget of retries for the whole service, whose
// backend servers crash at deadly requests and come back a moment later.
func crashing(t *testing.T, upstreams int, caution table.Caution) *fleet.Fleet {
	t.Helper()
	c := deployment(upstreams)
	s := &c.Services[0]
	s.Caution, s.Floor, s.ExtraRetries, s.RetryWindow = caution, 0.7, 62, 10*clock.Second
	c.Routes[0].MaxAttempts, c.Routes[0].Repeatable = 3, []string{"GET"}
	f := start(t, fleet.Config{Table: c, ServiceTime: 2})
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
	for _, caution := range []table.Caution{table.ShortEpisodes, table.Fast} {
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

// Guards against a deadly request being cleared by backend servers that fail all they get
// at once, and being sent on and on to these.
func TestADeadlyRequestIsStoppedAmongFailingServers(t *testing.T) {
	f := crashing(t, 6, table.ShortEpisodes)
	for _, name := range []string{"conferme-1", "conferme-2", "conferme-3", "conferme-5"} {
		f.Backends[name].SetFault(standin.Fault{Kind: standin.Crashes, Path: deadly, FailFastShare: 0.9})
	}
	third := -1
	for i := range 60 {
		send(t, "GET", f.Members[i%6].Caller, deadly, "")
		allUp(t, f)
		if third < 0 && crashes(f) >= 3 {
			third = arrivals(f)
		}
	}
	if got := arrivals(f) - third; third < 0 || got > 3 {
		t.Errorf("got %d sends that reached servers after those under which the third ended (%d crashes), want 3 at most", got, crashes(f))
	}
}

// Guards against harmless requests being refused, or failing for more than a moment, since
// they ran beside a deadly one: a popular one, and others that are sent once.
func TestHarmlessRequestsOutliveADeadlyOne(t *testing.T) {
	f := crashing(t, 6, table.ShortEpisodes)
	s := startSteady(6, callers(f))
	for i := range 20 {
		send(t, "GET", f.Members[i%6].Caller, deadly, "")
		for j := range 6 {
			got := send(t, "GET", f.Members[j].Caller, fmt.Sprintf("/conferme/turno?n=%d", i*6+j), "")
			if got.outcome != "served" {
				t.Errorf("send %d through %s: got %q %q, want served", i, f.Members[j].Name, got.outcome, got.reason)
			}
		}
		allUp(t, f)
	}
	close(s.stop)
	s.group.Wait()
	if got := send(t, "GET", f.Members[0].Caller, deadly, ""); got.reason != "quarantined" || got.outcome != "unknown" || got.status != 502 {
		t.Errorf("got %d %q %q for the deadly one, want 502 unknown quarantined", got.status, got.outcome, got.reason)
	}
	for _, m := range f.Members {
		for _, c := range m.Node.Quarantine() {
			if c.Verdict == access.VerdictQuarantined && len(c.Upstreams) < 3 {
				t.Errorf("%s: got %+v held, want three ends under it", m.Name, c)
			}
		}
	}
}

// Guards against a popular request being blamed for backend servers that end by themselves,
// at nearly all of which it runs.
func TestAPopularRequestOutlivesEndsByThemselves(t *testing.T) {
	f := crashing(t, 6, table.ShortEpisodes)
	s := startSteady(6, callers(f))
	for i := range 40 {
		b := f.Backends[fmt.Sprintf("conferme-%d", i%6+1)]
		await(t, b, ran(b.Totals().Begun+5))
		b.CrashFor(0)
		allUp(t, f)
		got := send(t, "GET", f.Members[i%6].Caller, "/conferme/turno", "")
		if got.reason == "quarantined" {
			t.Fatalf("crash %d: got %q %q, want it not held", i, got.outcome, got.reason)
		}
	}
	close(s.stop)
	s.group.Wait()
	for _, m := range f.Members {
		for _, c := range m.Node.Quarantine() {
			if c.Verdict == access.VerdictQuarantined {
				t.Errorf("%s: got %+v held, want none", m.Name, c)
			}
		}
	}
}

// Guards against a crashed upstream being held for gray though the request was to blame,
// and against a request being held for good: an operator's word frees it.
func TestAnOperatorLiftsAQuarantine(t *testing.T) {
	f := crashing(t, 4, table.ShortEpisodes)
	for i := range 6 {
		send(t, "GET", f.Members[i%4].Caller, deadly, "")
		allUp(t, f)
	}
	cases := f.Members[0].Node.Quarantine()
	if len(cases) != 1 || cases[0].Verdict != access.VerdictQuarantined {
		t.Fatalf("got %+v, want one request held", cases)
	}
	for _, b := range f.Backends {
		b.SetFault(standin.Fault{Kind: standin.Healthy}) // a mended version
	}
	if got := send(t, "GET", f.Members[1].Caller, deadly, ""); got.reason != "quarantined" {
		t.Errorf("got %q %q before it is lifted, want it held", got.outcome, got.reason)
	}
	if err := f.Publish(func(c *table.Table) { c.Services[0].LiftedFingerprints = []string{cases[0].Fingerprint} }); err != nil {
		t.Fatal(err)
	}
	until(t, "request served at all nodes", func() bool {
		for _, m := range f.Members {
			if send(t, "GET", m.Caller, deadly, "").outcome != "served" {
				return false
			}
		}
		return true
	})
	until(t, "upstreams that are all in use", func() bool {
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
