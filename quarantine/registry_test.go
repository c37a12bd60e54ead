package quarantine_test

import (
	"fmt"
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
)

// newCrash returns a crash of upstream s<id> while it ran the suspects.
func newCrash(id uint64, at clock.Millis, suspects ...quarantine.Suspect) quarantine.Crash {
	return quarantine.Crash{ID: id, Service: "salons", Upstream: fmt.Sprint("s", id), Version: "v1", Upstreams: 9, Suspects: suspects, At: at}
}

func newSuspect(name byte, isTrial bool) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: quarantine.Fingerprint{name}, Hint: uint64(name), Elapsed: 50, IsTrial: isTrial}
}

func verdictOf(r *quarantine.Registry, now clock.Millis, name byte) quarantine.Verdict {
	return r.Status(now, quarantine.Fingerprint{name}).Verdict
}

// newQuarantinedRegistry returns a registry in which request d is quarantined since its
// third crash at 3 s.
func newQuarantinedRegistry() *quarantine.Registry {
	r := quarantine.NewRegistry()
	r.Merge(3000, []quarantine.Crash{
		newCrash(1, 1000, newSuspect('d', false), newSuspect('b', false)), newCrash(2, 2000, newSuspect('d', true)), newCrash(3, 3000, newSuspect('d', true)),
	})
	return r
}

// Guards against a request that crashed three servers being sent to a fourth one, and
// against a request that ran at the same time being blamed for the same crashes.
func TestThirdCrashQuarantinesOnlyTheCause(t *testing.T) {
	r := quarantine.NewRegistry()
	steps := []struct {
		crash       quarantine.Crash
		want, other quarantine.Verdict
	}{
		{newCrash(1, 1000, newSuspect('d', false), newSuspect('b', false)), quarantine.Suspected, quarantine.Suspected},
		{newCrash(2, 1100, newSuspect('d', true), newSuspect('b', false)), quarantine.Suspected, quarantine.Suspected},
		{newCrash(3, 1200, newSuspect('d', true), newSuspect('b', false)), quarantine.Quarantined, quarantine.Free},
	}
	for i, step := range steps {
		r.Merge(1300, []quarantine.Crash{step.crash})
		if got := verdictOf(r, 1300, 'd'); got != step.want {
			t.Errorf("crash %d: got %v, want %v", i+1, got, step.want)
		}
		if got := verdictOf(r, 1300, 'b'); got != step.other {
			t.Errorf("crash %d: got %v for the other request, want %v", i+1, got, step.other)
		}
	}
}

// Guards against several crashes at one instant that share a cause, such as a rack failure,
// being blamed on a request that was running at all of them.
func TestSimultaneousCrashesQuarantineNothing(t *testing.T) {
	r := quarantine.NewRegistry()
	for id := range uint64(12) {
		r.Merge(1000, []quarantine.Crash{newCrash(id+1, 1000, newSuspect('p', false))})
	}
	if got := verdictOf(r, 1000, 'p'); got != quarantine.Suspected {
		t.Errorf("got verdict %v for a request that was running when 12 servers crashed, want Suspected", got)
	}
	r.Clear(1100, quarantine.Fingerprint{'p'})
	if got := verdictOf(r, 1100, 'p'); got != quarantine.Free {
		t.Errorf("got verdict %v after the request completed, want Free", got)
	}
}

// Guards against a quarantine that never ends: it ends with time, when an operator lifts it,
// and when a run of the request completes.
func TestQuarantineEnds(t *testing.T) {
	r := newQuarantinedRegistry()
	if got := verdictOf(r, 3000+10*clock.Minute-1, 'd'); got != quarantine.Quarantined {
		t.Errorf("got verdict %v after nearly 10 minutes, want Quarantined", got)
	}
	if got := verdictOf(r, 3000+10*clock.Minute, 'd'); got != quarantine.Suspected {
		t.Errorf("got verdict %v after 10 minutes, want Suspected", got)
	}
	r.Merge(700_000, []quarantine.Crash{newCrash(4, 700_000, newSuspect('d', true))})
	if got := verdictOf(r, 700_000+20*clock.Minute-1, 'd'); got != quarantine.Quarantined {
		t.Errorf("got verdict %v nearly 20 minutes after the trial, want Quarantined", got)
	}
	r = newQuarantinedRegistry()
	r.Lift([]quarantine.Fingerprint{{'d'}})
	if got := verdictOf(r, 3000, 'd'); got != quarantine.Free {
		t.Errorf("got verdict %v after an operator lifted the quarantine, want Free", got)
	}
	r.Lift(nil)
	if got := verdictOf(r, 3000, 'd'); got != quarantine.Quarantined {
		t.Errorf("got verdict %v after the table stopped naming the request, want Quarantined", got)
	}
	r.Clear(4000, quarantine.Fingerprint{'d'})
	if got := verdictOf(r, 4000, 'd'); got != quarantine.Free {
		t.Errorf("got verdict %v after the request completed, want Free", got)
	}
}

// Guards against a gate running a request that an entry has quarantined, and against a gate
// refusing a request that was cleared after the entry's last update, or a trial with another
// software version.
func TestAdmission(t *testing.T) {
	quarantined := quarantine.Status{Verdict: quarantine.Quarantined, Versions: []string{"v1"}}
	tests := []struct {
		name    string
		status  quarantine.Status
		entry   quarantine.Verdict
		version string
		want    quarantine.Admission
	}{
		{"nothing known", quarantine.Status{}, quarantine.Free, "v1", quarantine.Run},
		{"suspected here", quarantine.Status{Verdict: quarantine.Suspected}, quarantine.Free, "v1", quarantine.RunAlone},
		{"suspected there", quarantine.Status{}, quarantine.Suspected, "v1", quarantine.RunAlone},
		{"suspected there, cleared here", quarantine.Status{IsCleared: true}, quarantine.Suspected, "v1", quarantine.Run},
		{"quarantined here", quarantined, quarantine.Free, "v1", quarantine.Refuse},
		{"quarantined there", quarantine.Status{}, quarantine.Quarantined, "v1", quarantine.Refuse},
		{"quarantined there, cleared here", quarantine.Status{IsCleared: true}, quarantine.Quarantined, "v1", quarantine.Run},
		{"quarantined there, cleared and suspected here", quarantine.Status{Verdict: quarantine.Suspected, IsCleared: true}, quarantine.Quarantined, "v1", quarantine.RunAlone},
		{"another version, suspected there", quarantined, quarantine.Suspected, "v2", quarantine.RunAlone},
		{"another version, free there", quarantined, quarantine.Free, "v2", quarantine.Refuse},
		{"version unknown", quarantined, quarantine.Suspected, "", quarantine.Refuse},
	}
	for _, tt := range tests {
		if got := tt.status.Admit(tt.entry, tt.version); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against registries that differ by the order of their updates, and against a peer
// that isn't sent the crashes which it lacks.
func TestRegistriesAgreeInAnyOrder(t *testing.T) {
	crashes := []quarantine.Crash{
		newCrash(1, 1000, newSuspect('d', false), newSuspect('b', false)), newCrash(2, 2000, newSuspect('d', true)), newCrash(3, 3000, newSuspect('d', true), newSuspect('b', true)),
	}
	one, other := quarantine.NewRegistry(), quarantine.NewRegistry()
	one.Merge(3000, crashes)
	slices.Reverse(crashes)
	for _, c := range crashes {
		other.Merge(3000, []quarantine.Crash{c})
	}
	if one.Digest() != other.Digest() || one.Digest() == 0 {
		t.Errorf("got digests %x and %x, want equal ones other than 0", one.Digest(), other.Digest())
	}
	one.Clear(3100, quarantine.Fingerprint{'b'})
	if one.Digest() == other.Digest() {
		t.Error("got equal digests though one registry knows more, want different ones")
	}
	isChanged, behind := one.Merge(3200, crashes)
	if isChanged || len(behind) != 2 {
		t.Errorf("got changed %t and %d crashes that the sender lacks, want false and the 2 of the cleared request", isChanged, len(behind))
	}
	other.Merge(3200, behind)
	if one.Digest() != other.Digest() {
		t.Error("got different digests after both received all crashes, want equal ones")
	}
}

// Guards against memory that callers or peers can fill, and against a flood of harmless
// crashes evicting the evidence against a fatal request.
func TestRegistryIsBounded(t *testing.T) {
	r := newQuarantinedRegistry()
	for i := range uint64(5000) {
		s := quarantine.Suspect{Fingerprint: quarantine.Fingerprint{1, byte(i), byte(i >> 8)}, Hint: i}
		r.Merge(4000+clock.Millis(i), []quarantine.Crash{newCrash(100+i, 4000+clock.Millis(i), s)})
	}
	if all, _ := r.ChangedSince(0); len(all) > 512 {
		t.Errorf("got %d crashes stored, want 512 at most", len(all))
	}
	if got := verdictOf(r, 9000, 'd'); got != quarantine.Quarantined {
		t.Errorf("got verdict %v after 5000 other crashes, want Quarantined", got)
	}
	many := make([]quarantine.Suspect, quarantine.MaxSuspects+1)
	if isChanged, _ := r.Merge(9000, []quarantine.Crash{newCrash(9999, 9000, many...), newCrash(9998, 9000)}); isChanged {
		t.Error("got a crash with too many suspects or none stored, want both rejected")
	}
	r.Expire(9000 + quarantine.OpenTTL + clock.Minute)
	if !r.IsEmpty() {
		t.Error("got a request under suspicion after all crashes expired, want none")
	}
}
