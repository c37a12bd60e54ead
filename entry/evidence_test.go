package entry_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// tells answers enquiries with a slot, each time with the next of the severities, the last one
// from then on, beside a number of running requests.
func tells(name string, running int, severities ...float64) func(*wire.Enquiry, func(*wire.Hold)) {
	asked := 0
	return func(e *wire.Enquiry, told func(*wire.Hold)) {
		severity := severities[min(asked, len(severities)-1)]
		asked++
		told(&wire.Hold{
			ID: e.ID, Attempt: e.Attempt, Held: true, Running: running,
			Upstream: wire.Upstream{Name: name, Share: 1, Severity: severity},
		})
	}
}

// All nodes have just started. A confirmation sent at once meets an upstream that hangs as
// often as not known; the calls that run there would have told a moment later.
func TestRequestThatRunsOnceWaitsForEvidenceThatIsDue(t *testing.T) {
	hangs := &desk{name: "hangs", hold: tells("hangs", 2, 0.25, 0.4, 0.9)}
	sound := &desk{name: "sound", hold: tells("sound", 2, 0.3, 0.3, 0.02)}
	e := before(t, hangs, sound)
	status, by := post(e)
	if status != 200 || by != "sound" {
		t.Errorf("got %d from %q, want 200 from the one that proved sound", status, by)
	}
	if hangs.dispatched != 0 {
		t.Errorf("got %d sent to the one that hangs, want none", hangs.dispatched)
	}
	if got, want := len(hangs.waived)+len(sound.waived), hangs.enquired+sound.enquired-1; got != want {
		t.Errorf("got %d slots let go, want %d: all but the one that was taken", got, want)
	}
}

// Nothing runs that could tell more: to wait would only cost time. It is the same for what may
// run again, which is itself the evidence.
func TestRequestsDontWaitWithoutEvidenceDue(t *testing.T) {
	idle := &desk{name: "idle", hold: tells("idle", 0, 0.3)}
	busy := &desk{name: "busy", hold: tells("busy", 2, 0.3)}
	for name, one := range map[string]*desk{"nothing runs": idle, "may run again": busy} {
		e := before(t, one)
		if one == busy {
			e = beforeRepeatable(t, one)
		}
		if status, _ := post(e); status != 200 || one.enquired > 1 {
			t.Errorf("%s: got %d after %d enquiries, want 200 after one at most", name, status, one.enquired)
		}
	}
}

// The evidence doesn't come: the request must be sent while there is time for its run.
func TestWaitForEvidenceIsBounded(t *testing.T) {
	const target = 2 * clock.Second
	doubtful := &desk{name: "doubtful", hold: tells("doubtful", 1, 0.3)}
	e := beforeTarget(t, []string{}, target, doubtful)
	if status, _ := post(e); status != 200 {
		t.Errorf("got %d, want 200", status)
	}
	if got, most := doubtful.enquired, int(target/4/(100*clock.Millis(1)))+1; got < 2 || got > most {
		t.Errorf("got %d enquiries, want it asked again, and %d at most", got, most)
	}
}
