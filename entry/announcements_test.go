package entry_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/announcement"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// announcementHeaders are the names that the tests' upstreams use.
var announcementHeaders = announcement.Headers{RateLimit: "Rate-Limit", Leaving: "Leaving"}

// announce makes a gate return replies with a header.
func announce(d *fakeGate, name, value string) {
	d.onDispatch = func(m *wire.Dispatch) *wire.Reply {
		reply := d.served(m)
		reply.Headers = reply.Headers.Add([]byte(name), []byte(value))
		return reply
	}
}

// Guards against requests that an entry sends to an upstream after forwarding its response that
// it leaves, because the gate beside it has restarted and doesn't know that.
func TestLeavingUpstreamStaysUnusedAfterItsGateRestarts(t *testing.T) {
	for _, methods := range [][]string{{}, {table.AnyMethod}} {
		first, second := &fakeGate{name: "first"}, &fakeGate{name: "second"}
		e := newRouteEntry(t, methods, first, second)
		announce(first, announcementHeaders.Leaving, "1")
		for first.dispatched == 0 {
			post(e)
		}
		e.UpdateUpstream(wire.Upstream{Name: "first", Share: 1}) // the restarted gate's status
		for range 100 {
			if status, by := post(e); status != 200 || by != "second" {
				t.Fatalf("got %d from %q, want 200 from second", status, by)
			}
		}
	}
}

// Guards against a restarted gate that isn't told the limits that an entry knows, or is told
// limits of other nodes' upstreams or such that have ended.
func TestEntryTellsWhatUpstreamsOfANodeHaveAnnounced(t *testing.T) {
	first, second := &fakeGate{name: "first"}, &fakeGate{name: "second"}
	e := newEntry(t, first, second)
	announce(first, announcementHeaders.RateLimit, "1.5")
	announce(second, announcementHeaders.Leaving, "1")
	for first.dispatched == 0 || second.dispatched == 0 {
		post(e)
	}
	got := e.Announcements("first").Upstreams
	if len(got) != 1 || got[0].Upstream != "first" || !got[0].IsLimited || got[0].RateLimit != 1.5 || got[0].IsLeaving {
		t.Errorf("got %+v, want the limit of first", got)
	}
	if got := e.Announcements("second").Upstreams; len(got) != 1 || !got[0].IsLeaving || got[0].IsLimited {
		t.Errorf("got %+v, want that second leaves", got)
	}
	first.onDispatch = nil
	for before := first.dispatched; first.dispatched == before; {
		post(e)
	}
	if got := e.Announcements("first").Upstreams; len(got) != 0 {
		t.Errorf("got %+v, want nothing after a response without a limit", got)
	}
}
