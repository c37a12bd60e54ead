package entry_test

import (
	"maps"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// refuseAll makes a gate refuse all dispatches and probes with the reason. It counts
// those that are retries.
func refuseAll(d *fakeGate, reason wire.Reason, retries *int) {
	refuse := refuseSlot(d.name, reason)
	d.onProbe = func(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) {
		if probe.Retry {
			*retries++
		}
		refuse(probe, func(r *wire.Reservation) {
			r.RetryAfter = 3 * clock.Second
			onReply(r)
		})
	}
	d.onDispatch = func(m *wire.Dispatch) *wire.Reply {
		if m.Retry {
			*retries++
		}
		return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.NotRun, Reason: reason, RetryAfter: 3 * clock.Second, Upstream: wire.Upstream{Name: d.name, Share: 1}}
	}
}

// Guards against charging the retry budget for attempts that reached no upstream: gates
// without a free slot were charged like upstreams that shed, which exhausted the budget.
func TestOnlyReachedUpstreamCountsAsRetry(t *testing.T) {
	for _, tt := range []struct {
		name   string
		reason wire.Reason
		want   bool
	}{{"shed by the upstream", wire.ReasonShed, true}, {"ejected by the gate", wire.ReasonEjected, false}, {"no free slot at the gate", wire.ReasonFull, false}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestService(t)
			s.addUpstream("a")
			s.publish()
			retries := 0
			refuseAll(s.gates["a"], tt.reason, new(int))
			s.addUpstream("b")
			s.publish()
			s.entry.UpdateUpstream(wire.Upstream{Name: "b", Share: 1, Severity: 0.45}) // tried last
			s.gates["b"].onDispatch = func(m *wire.Dispatch) *wire.Reply {
				if m.Retry {
					retries++
				}
				return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 200, Upstream: wire.Upstream{Name: "b", Share: 1}}
			}
			if status, _ := post(s.entry); status != 200 {
				t.Fatalf("got %d, want 200", status)
			}
			if got := retries > 0; got != tt.want {
				t.Errorf("got a retry: %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against giving up after one gate has denied a retry for lack of quota, while
// another gate still has quota for it.
func TestRetryDeniedByOneGateIsTriedAtOthers(t *testing.T) {
	s := newTestService(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		s.addUpstream(name)
	}
	s.publish()
	denied := 0
	refuseAll(s.gates["a"], wire.ReasonShed, new(int))
	refuseAll(s.gates["b"], wire.ReasonRetryBudget, &denied)
	refuseAll(s.gates["c"], wire.ReasonRetryBudget, &denied)
	s.entry.UpdateUpstream(wire.Upstream{Name: "a", Share: 1, Severity: 0.01})
	s.entry.UpdateUpstream(wire.Upstream{Name: "b", Share: 1, Severity: 0.2})
	s.entry.UpdateUpstream(wire.Upstream{Name: "c", Share: 1, Severity: 0.2})
	s.entry.UpdateUpstream(wire.Upstream{Name: "d", Share: 1, Severity: 0.45})
	status, body := post(s.entry)
	if status != 200 || body != "d" {
		t.Errorf("got %d %q, want it served by d", status, body)
	}
	if denied != 2 {
		t.Errorf("got %d gates that denied it, want 2", denied)
	}
}

// No gate grants a retry of a request that its upstream has shed. The entry must refuse
// the request immediately as not run, and report when the budget allows retries again.
func TestRetryDeniedByAllGatesIsRefused(t *testing.T) {
	s := newTestService(t)
	for _, name := range []string{"a", "b", "c"} {
		s.addUpstream(name)
	}
	s.publish()
	refuseAll(s.gates["a"], wire.ReasonShed, new(int))
	refuseAll(s.gates["b"], wire.ReasonRetryBudget, new(int))
	refuseAll(s.gates["c"], wire.ReasonRetryBudget, new(int))
	s.entry.UpdateUpstream(wire.Upstream{Name: "a", Share: 1, Severity: 0.01})
	s.entry.UpdateUpstream(wire.Upstream{Name: "b", Share: 1, Severity: 0.3})
	s.entry.UpdateUpstream(wire.Upstream{Name: "c", Share: 1, Severity: 0.3})
	response := send(s.entry)
	if got := response.StatusCode(); got != 503 {
		t.Errorf("got %d, want 503", got)
	}
	if got := string(response.Header.Peek("Fuchsiapick-Reason")); got != string(wire.ReasonRetryBudget) {
		t.Errorf("got reason %q, want %q", got, wire.ReasonRetryBudget)
	}
	if got := string(response.Header.Peek("Retry-After")); got != "3" && got != "4" && got != "5" {
		t.Errorf("got Retry-After %q, want 3 to 5: the 3 s that the gates reported plus up to half as jitter", got)
	}
}

// The path to an upstream is lost while a request is on it. The entry must retry the
// request elsewhere, as a retry since it may have arrived, and abandon the first run,
// which would otherwise hold a slot for nobody.
func TestRequestOnLostPathIsRetriedElsewhere(t *testing.T) {
	s := newTestService(t)
	s.addUpstream("a")
	s.addUpstream("b")
	s.publish()
	s.gates["a"].pathLost = true
	isRetry := false
	s.gates["b"].onDispatch = func(m *wire.Dispatch) *wire.Reply {
		isRetry = m.Retry
		return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 200, Upstream: wire.Upstream{Name: "b", Share: 1}}
	}
	s.entry.UpdateUpstream(wire.Upstream{Name: "b", Share: 1, Severity: 0.45}) // tried last
	if status, _ := post(s.entry); status != 200 || !isRetry {
		t.Errorf("got %d, sent as a retry: %v; want it served as a retry", status, isRetry)
	}
	if got := s.gates["a"].abandoned; got != 1 {
		t.Errorf("got %d runs abandoned, want 1", got)
	}
}

// A read has failed once and may run once more. Chosen like a first attempt, the second
// went to an upstream without an update for a second, and failed as well. The entry must
// probe the gates first, as it does for a request that may run only once.
func TestRetryProbesGatesForHealthiest(t *testing.T) {
	s := newTestService(t)
	for _, name := range []string{"a", "b", "c"} {
		s.addUpstream(name)
	}
	s.publish()
	s.entry.UpdateUpstream(wire.Upstream{Name: "a", Share: 1, Severity: 0.01})
	s.entry.UpdateUpstream(wire.Upstream{Name: "b", Share: 1, Severity: 0.1})
	s.entry.UpdateUpstream(wire.Upstream{Name: "c", Share: 1, Severity: 0.2})
	s.gates["a"].onDispatch = func(m *wire.Dispatch) *wire.Reply {
		return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 500, Upstream: wire.Upstream{Name: "a", Share: 1, Severity: 0.6}}
	}
	s.gates["b"].onProbe = grantSlot("b", 0.9) // more severe than its last update
	status, body := post(s.entry)
	if status != 200 || body != "c" {
		t.Errorf("got %d %q, want it served by c", status, body)
	}
	if got := s.gates["a"].probes; got != 0 {
		t.Errorf("got the upstream that failed the request probed %d times, want 0", got)
	}
}

// Guards against refusals that use up a request's attempts: a read was refused by seven
// gates before one upstream failed it, and was then not retried, though its route allows
// a second run and other upstreams had free slots.
func TestRefusalsUseUpNoAttempts(t *testing.T) {
	s := newTestService(t)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		s.addUpstream(name)
	}
	s.attempts = 2
	s.publish()
	for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
		refuseAll(s.gates[name], wire.ReasonEjected, new(int))
		s.entry.UpdateUpstream(wire.Upstream{Name: name, Share: 1, Severity: 0.01 * float64(i)})
	}
	s.gates["g"].onDispatch = func(m *wire.Dispatch) *wire.Reply {
		return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 500, Upstream: wire.Upstream{Name: "g", Share: 1}}
	}
	refuseAll(s.gates["h"], wire.ReasonFull, new(int))
	s.entry.UpdateUpstream(wire.Upstream{Name: "g", Share: 1, Severity: 0.3})
	s.entry.UpdateUpstream(wire.Upstream{Name: "h", Share: 1, Severity: 0.4})
	s.entry.UpdateUpstream(wire.Upstream{Name: "i", Share: 1, Severity: 0.45})
	if status, body := post(s.entry); status != 200 || body != "i" {
		t.Errorf("got %d %q, want it served by i", status, body)
	}
}

// rulingCounter counts the rulings of an entry's retry budget.
type rulingCounter map[retry.Ruling]int

func (c rulingCounter) RecordRetry(_ string, ruling retry.Ruling) { c[ruling]++ }

// Operators could not see why entries denied retries. Where gates bound the retries, the
// gates count what is granted, and an entry that counted it, too, would double it.
func TestEntryCountsRulingsOnRetries(t *testing.T) {
	for _, tt := range []struct {
		name   string
		window clock.Millis
		want   rulingCounter
	}{
		{"bound by the entry", 0, rulingCounter{retry.Granted: 2, retry.DeniedAttempts: 1}},
		{"bound by gates", 10 * clock.Second, rulingCounter{retry.DeniedAttempts: 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rulings := rulingCounter{}
			s := newTestServiceOf(t, entry.Config{Retries: rulings})
			s.service.Caution, s.service.RetryWindow = table.Fast, tt.window
			for _, name := range []string{"a", "b", "c", "d"} {
				s.addUpstream(name)
				refuseAll(s.gates[name], wire.ReasonShed, new(int))
			}
			s.publish()
			if status, _ := post(s.entry); status != 503 {
				t.Fatalf("got %d, want the request refused", status)
			}
			if !maps.Equal(rulings, tt.want) {
				t.Errorf("got %v, want %v", rulings, tt.want)
			}
		})
	}
}

// An upstream sheds a request. Of the gates that reserve a slot for its retry, one has a
// slightly higher severity, and the other's upstream sheds most of its runs.
func TestRetryAfterShedPrefersUpstreamThatShedsLess(t *testing.T) {
	for _, tt := range []struct {
		placement table.Placement
		want      string
	}{{table.PlaceByCost, "c"}, {table.PlaceNear, "b"}} {
		t.Run(string(tt.placement), func(t *testing.T) {
			s := newTestService(t)
			s.service.Placement = tt.placement
			for _, name := range []string{"a", "b", "c"} {
				s.addUpstream(name)
			}
			s.publish()
			refuseAll(s.gates["a"], wire.ReasonShed, new(int))
			s.entry.UpdateUpstream(wire.Upstream{Name: "a", Share: 1})
			s.entry.UpdateUpstream(wire.Upstream{Name: "b", Share: 1, Severity: 0.4})
			s.entry.UpdateUpstream(wire.Upstream{Name: "c", Share: 1, Severity: 0.4})
			grantB := grantSlot("b", 0.1)
			s.gates["b"].onProbe = func(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) {
				s.entry.UpdateProfile(&wire.UpstreamProfile{Upstream: "b", Speed: 1, Shed: 0.6})
				grantB(probe, onReply)
			}
			s.gates["c"].onProbe = grantSlot("c", 0.2)
			if status, body := post(s.entry); status != 200 || body != tt.want {
				t.Errorf("got %d %q, want it served by %s", status, body, tt.want)
			}
		})
	}
}
