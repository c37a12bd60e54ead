package entry_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// refusesBy is a gate that refuses dispatches and enquiries for a reason, and counts the
// retries.
func refusesBy(d *desk, reason wire.Reason, retries *int) {
	refuse := refuses(d.name, reason)
	d.hold = func(e *wire.CapacityProbe, told func(*wire.Reservation)) {
		if e.Retry {
			*retries++
		}
		refuse(e, func(h *wire.Reservation) {
			h.RetryAfter = 3 * clock.Second
			told(h)
		})
	}
	d.answer = func(m *wire.Dispatch) *wire.Reply {
		if m.Retry {
			*retries++
		}
		return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.NotRun, Reason: reason, RetryAfter: 3 * clock.Second, Upstream: wire.Upstream{Name: d.name, Share: 1}}
	}
}

// Only what has reached an upstream counts against the retry budget: gates that had no
// free slot were charged like upstreams that shed, and the budget was gone.
func TestOnlyArrivalsMakeARetry(t *testing.T) {
	for _, tt := range []struct {
		name   string
		reason wire.Reason
		want   bool
	}{{"shed by the upstream", wire.ReasonShed, true}, {"set aside by the gate", wire.ReasonEjected, false}, {"no room at the gate", wire.ReasonFull, false}} {
		t.Run(tt.name, func(t *testing.T) {
			s := crew(t)
			s.join("a")
			s.publish()
			retries := 0
			refusesBy(s.ways["a"], tt.reason, new(int))
			s.join("b")
			s.publish()
			s.entry.UpdateUpstream(wire.Upstream{Name: "b", Share: 1, Severity: 0.45}) // tried last
			s.ways["b"].answer = func(m *wire.Dispatch) *wire.Reply {
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

// A gate without room in its quota refuses a retry that another gate has room for.
func TestRetryDeniedByOneGateIsAskedOfOthers(t *testing.T) {
	s := crew(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		s.join(name)
	}
	s.publish()
	denied := 0
	refusesBy(s.ways["a"], wire.ReasonShed, new(int))
	refusesBy(s.ways["b"], wire.ReasonRetryBudget, &denied)
	refusesBy(s.ways["c"], wire.ReasonRetryBudget, &denied)
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

// No gate grants a retry of a request that its upstream has shed. Its caller is refused
// at once, as not run, and told when the budget has room again.
func TestRetryDeniedByAllIsRefusedAtOnce(t *testing.T) {
	s := crew(t)
	for _, name := range []string{"a", "b", "c"} {
		s.join(name)
	}
	s.publish()
	refusesBy(s.ways["a"], wire.ReasonShed, new(int))
	refusesBy(s.ways["b"], wire.ReasonRetryBudget, new(int))
	refusesBy(s.ways["c"], wire.ReasonRetryBudget, new(int))
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
		t.Errorf("got Retry-After %q, want the 3 to 4.5 s that the gates said", got)
	}
}

// The path to an upstream is lost with a request on it. The request goes elsewhere, as a
// retry, for it may have arrived; the first run is called off, or it would hold a slot for
// nobody.
func TestRequestOnALostPathIsSentElsewhere(t *testing.T) {
	s := crew(t)
	s.join("a")
	s.join("b")
	s.publish()
	s.ways["a"].isCut = true
	isRetry := false
	s.ways["b"].answer = func(m *wire.Dispatch) *wire.Reply {
		isRetry = m.Retry
		return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 200, Upstream: wire.Upstream{Name: "b", Share: 1}}
	}
	s.entry.UpdateUpstream(wire.Upstream{Name: "b", Share: 1, Severity: 0.45}) // tried last
	if status, _ := post(s.entry); status != 200 || !isRetry {
		t.Errorf("got %d, sent as a retry: %v; want it served as one", status, isRetry)
	}
	if got := s.ways["a"].abandoned; got != 1 {
		t.Errorf("got %d runs called off, want 1", got)
	}
}

// A read has failed once and may run once more. Placed like a first try, the second one
// went to an upstream of which nothing had been heard for a second, and failed as well. Its
// gates are asked first, as for a request that may run once only.
func TestSecondTryGoesWhereAGateSaysItIsSound(t *testing.T) {
	s := crew(t)
	for _, name := range []string{"a", "b", "c"} {
		s.join(name)
	}
	s.publish()
	s.entry.UpdateUpstream(wire.Upstream{Name: "a", Share: 1, Severity: 0.01})
	s.entry.UpdateUpstream(wire.Upstream{Name: "b", Share: 1, Severity: 0.1})
	s.entry.UpdateUpstream(wire.Upstream{Name: "c", Share: 1, Severity: 0.2})
	s.ways["a"].answer = func(m *wire.Dispatch) *wire.Reply {
		return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 500, Upstream: wire.Upstream{Name: "a", Share: 1, Severity: 0.6}}
	}
	s.ways["b"].hold = holds("b", 0.9) // it has failed since it was heard of
	status, body := post(s.entry)
	if status != 200 || body != "c" {
		t.Errorf("got %d %q, want it served by c", status, body)
	}
	if got := s.ways["a"].enquired; got != 0 {
		t.Errorf("got the upstream that failed it asked %d times, want not at all", got)
	}
}

// A read met seven gates without room before the upstream that failed it. The refusals
// had used up its attempts, though its route allows a second run and others had room.
func TestRefusalsUseUpNoAttempts(t *testing.T) {
	s := crew(t)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		s.join(name)
	}
	s.attempts = 2
	s.publish()
	for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
		refusesBy(s.ways[name], wire.ReasonEjected, new(int))
		s.entry.UpdateUpstream(wire.Upstream{Name: name, Share: 1, Severity: 0.01 * float64(i)})
	}
	s.ways["g"].answer = func(m *wire.Dispatch) *wire.Reply {
		return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 500, Upstream: wire.Upstream{Name: "g", Share: 1}}
	}
	refusesBy(s.ways["h"], wire.ReasonFull, new(int))
	s.entry.UpdateUpstream(wire.Upstream{Name: "g", Share: 1, Severity: 0.3})
	s.entry.UpdateUpstream(wire.Upstream{Name: "h", Share: 1, Severity: 0.4})
	s.entry.UpdateUpstream(wire.Upstream{Name: "i", Share: 1, Severity: 0.45})
	if status, body := post(s.entry); status != 200 || body != "i" {
		t.Errorf("got %d %q, want it served by i", status, body)
	}
}
