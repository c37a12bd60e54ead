package entry_test

import (
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Guards against ignoring work requests until the node's small share of the retries is
// earned: the work requests of a third of the upstreams then went unanswered for 2 s
// after traffic began, and the other upstreams got all requests.
func TestWorkRequestsAreFollowedFromFirstRequest(t *testing.T) {
	s := newTestService(t)
	for _, name := range []string{"a", "b", "c"} {
		s.addUpstream(name)
	}
	s.publish()
	s.entry.UpdateUpstream(wire.Upstream{Name: "c", Share: 1, Severity: 0.4})
	s.entry.HandleWorkRequest(&wire.WorkRequest{Upstream: "c", TTL: clock.Second})
	if status, _ := post(s.entry); status != 200 {
		t.Fatalf("got %d, want 200", status)
	}
	if s.gates["c"].dispatched != 1 {
		t.Errorf("got %d requests for the upstream with a work request, want 1", s.gates["c"].dispatched)
	}
}

// Guards against upstreams that get no requests for ten seconds: in a failure domain
// without callers no entry with requests had a link to them, so their gates could send no
// work requests. An entry keeps links to some upstreams regardless of its choices.
func TestEntryKeepsLinksToUpstreamsItDoesNotChoose(t *testing.T) {
	s := newTestService(t)
	for i := range 20 {
		s.addUpstream(fmt.Sprint("u", i))
	}
	s.publish()
	if status, _ := post(s.entry); status != 200 {
		t.Fatalf("got %d, want 200", status)
	}
	kept := 0
	for _, d := range s.gates {
		if d.linkRequests > 0 && d.dispatched == 0 {
			kept++
		}
	}
	if kept < 2 || kept > 10 {
		t.Errorf("got links to %d of 20 upstreams besides the chosen one, want 2 to 10", kept)
	}
}

// testService is an entry on a long-running node, with one service whose requests are
// repeatable.
type testService struct {
	entry   *entry.Entry
	service table.Service
	// attempts is the route's limit on runs.
	attempts int
	gates    map[string]*fakeGate
}

func newTestService(t *testing.T) *testService {
	t.Helper()
	return newTestServiceOf(t, entry.Config{})
}

// newTestServiceOf returns a testService whose entry has the clock, the recorder and the
// counter of retries of the configuration, if they are set.
func newTestServiceOf(t *testing.T, config entry.Config) *testService {
	t.Helper()
	c := &testService{gates: map[string]*fakeGate{}, service: table.Service{
		Name: "conferme", Caution: table.ShortEpisodes, Floor: 0.3, Deadline: clock.Minute,
		RetryRatio: 0.2, RetryWindow: 10 * clock.Second, ExtraRetries: 1,
	}}
	if config.Now == nil {
		system := clock.NewSystem().Now
		config.Now = func() clock.Millis { return system() + clock.Hour }
	}
	if config.Recorder == nil {
		config.Recorder = nopRecorder{}
	}
	config.Domain, config.Pool, config.Log = "catania", newPool(t), logging.Silent()
	config.GateClient = func(u table.Upstream) entry.GateClient { return c.gates[u.Name] }
	c.entry = entry.New(config)
	return c
}

func (c *testService) addUpstream(name string) {
	c.gates[name] = &fakeGate{name: name}
	c.service.Upstreams = append(c.service.Upstreams, table.Upstream{Name: name, Node: name, Domain: "catania", Weight: 100, Slots: 7})
}

func (c *testService) publish() {
	c.entry.Update(table.Index(table.Table{
		Services: []table.Service{c.service},
		Routes:   []table.Route{{Prefix: "/", Service: "conferme", Timeout: clock.Minute, LatencyTarget: clock.Second, MaxAttempts: c.attempts, Repeatable: []string{table.AnyMethod}}},
	}))
}
