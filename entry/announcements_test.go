package entry_test

import (
	"fmt"
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/announcement"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
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
// it leaves, because the gate beside it has restarted and doesn't know that: it is of an older
// release, or there is no link yet over which the entry would tell it first.
func TestLeavingUpstreamStaysUnusedAfterItsGateRestarts(t *testing.T) {
	for _, methods := range [][]string{{}, {table.AnyMethod}} {
		first, second := &fakeGate{name: "first", ignoresLimits: true}, &fakeGate{name: "second"}
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

// Guards against callers that are refused because all upstreams have announced to leave and were
// replaced, which their gates know and their entry doesn't.
func TestReplacedUpstreamsAreUsedAgain(t *testing.T) {
	for _, caution := range []table.Caution{table.Fast, table.ShortEpisodes} {
		first, second := &fakeGate{name: "first"}, &fakeGate{name: "second"}
		e := newServiceEntry(t, table.Service{Name: "conferme", Caution: caution, Floor: 0.3, Deadline: clock.Minute}, nil, first, second)
		announce(first, announcementHeaders.Leaving, "1")
		announce(second, announcementHeaders.Leaving, "1")
		for first.dispatched == 0 || second.dispatched == 0 {
			post(e)
		}
		for _, name := range []string{"first", "second"} {
			e.UpdateUpstream(wire.Upstream{Name: name, Share: 1, Leaving: true})
			e.UpdateUpstream(wire.Upstream{Name: name, Share: 1})
		}
		if status, by := post(e); status != 200 {
			t.Errorf("%v: got %d from %q, want 200", caution, status, by)
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

// Guards against entries that together send more than an upstream accepts to a gate of an older
// release, which doesn't keep the limit.
func TestEntriesShareTheRateLimitOfAGateThatDoesNotKeepIt(t *testing.T) {
	const (
		entries = 24
		rate    = 1.3
		span    = 40 * clock.Second
		step    = 50 * clock.Millis(1)
		window  = 4 * clock.Second
		// allowed is how many requests the users' rule allows in window.
		allowed = 12
	)
	for _, caution := range []table.Caution{table.Fast, table.ShortEpisodes} {
		now := clock.Millis(1000)
		limited := &fakeGate{name: "limited", ignoresLimits: true}
		gates := make([]*fakeGate, entries)
		gates[0] = limited
		for i := range entries - 1 {
			gates[i+1] = &fakeGate{name: fmt.Sprintf("other-%d", i)}
		}
		announce(limited, announcementHeaders.RateLimit, "1.3")
		s := table.Service{Name: "conferme", Caution: caution, Floor: 0.3, Deadline: clock.Minute}
		all := make([]*entry.Entry, entries)
		for i := range all {
			all[i] = newClockedEntry(t, entry.Config{Now: func() clock.Millis { return now }, Seed: uint64(i)}, s, nil, gates...)
			for before := limited.dispatched; limited.dispatched == before; {
				post(all[i]) // until the limit is announced to the entry
			}
		}
		var arrivals []clock.Millis
		for ; now < span; now += step {
			for _, e := range all {
				before := limited.dispatched
				if status, _ := post(e); status != 200 {
					t.Fatalf("%v: got status %d, want 200 from another upstream", caution, status)
				}
				for range limited.dispatched - before {
					arrivals = append(arrivals, now)
				}
			}
		}
		for i, from := range arrivals {
			end, _ := slices.BinarySearch(arrivals, from+window)
			if end-i > allowed {
				t.Fatalf("%v: got %d requests in %v from %v on, want at most %d", caution, end-i, window, from, allowed)
			}
		}
		if want := int(rate * span.Seconds() / 2); len(arrivals) < want {
			t.Errorf("%v: got %d requests in %v, want %d or more", caution, len(arrivals), span, want)
		}
		if limited.linkRequests == 0 {
			t.Errorf("%v: got no link requested, want one that tells whether the gate keeps the limit", caution)
		}
	}
}
