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

// Traffic begins, and an upstream that nobody has chosen asks for a request. Of the
// retries that all nodes share this one's part is hardly one, and none of it is earned
// yet. Kept for that reason, the invitations of a third of the upstreams were followed
// by nobody for 2 s, and the rest of the service got all the work.
func TestInvitationsAreFollowedFromTheFirstRequest(t *testing.T) {
	s := crew(t)
	for _, name := range []string{"a", "b", "c"} {
		s.join(name)
	}
	s.publish()
	s.entry.UpdateUpstream(wire.Upstream{Name: "c", Share: 1, Severity: 0.4})
	s.entry.HandleWorkRequest(&wire.WorkRequest{Upstream: "c", TTL: clock.Second})
	if status, _ := post(s.entry); status != 200 {
		t.Fatalf("got %d, want 200", status)
	}
	if s.ways["c"].dispatched != 1 {
		t.Errorf("got %d requests for the one that asked, want 1", s.ways["c"].dispatched)
	}
}

// Nobody chooses the upstreams of a failure domain without callers, so that no entry that
// has requests has a link to them, and their gates can invite none: they got nothing for
// ten seconds. An entry keeps links to some, whatever it chooses.
func TestEntriesKeepLinksToUpstreamsThatTheyDoNotChoose(t *testing.T) {
	s := crew(t)
	for i := range 20 {
		s.join(fmt.Sprint("u", i))
	}
	s.publish()
	if status, _ := post(s.entry); status != 200 {
		t.Fatalf("got %d, want 200", status)
	}
	kept := 0
	for _, d := range s.ways {
		if d.kept > 0 && d.dispatched == 0 {
			kept++
		}
	}
	if kept < 2 || kept > 10 {
		t.Errorf("got links to %d of 20 upstreams kept beside the one chosen, want some", kept)
	}
}

// crews is an entry of a node that has run for long, before one service whose requests
// may be repeated.
type crews struct {
	entry   *entry.Entry
	service table.Service
	// attempts is the route's bound on runs.
	attempts int
	ways     map[string]*desk
}

func crew(t *testing.T) *crews {
	t.Helper()
	c := &crews{ways: map[string]*desk{}, service: table.Service{
		Name: "conferme", Caution: table.ShortEpisodes, Floor: 0.3, Deadline: clock.Minute,
		RetryRatio: 0.2, RetryWindow: 10 * clock.Second, ExtraRetries: 1,
	}}
	system := clock.NewSystem().Now
	c.entry = entry.New(entry.Config{
		Domain: "catania", Now: func() clock.Millis { return system() + clock.Hour },
		Pool: newPool(t), Recorder: journal{}, Log: logging.Silent(),
		GateClient: func(u table.Upstream) entry.GateClient { return c.ways[u.Name] },
	})
	return c
}

func (c *crews) join(name string) {
	c.ways[name] = &desk{name: name}
	c.service.Upstreams = append(c.service.Upstreams, table.Upstream{Name: name, Node: name, Domain: "catania", Weight: 100, Slots: 7})
}

func (c *crews) publish() {
	c.entry.Update(table.Index(table.Table{
		Services: []table.Service{c.service},
		Routes:   []table.Route{{Prefix: "/", Service: "conferme", Timeout: clock.Minute, LatencyTarget: clock.Second, MaxAttempts: c.attempts, Repeatable: []string{table.AnyMethod}}},
	}))
}
