package quarantine_test

import (
	"fmt"
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
)

// endOf is the end of a server under runs of requests, each a trial where it says so.
func endOf(id uint64, at clock.Millis, suspects ...quarantine.Suspect) quarantine.Crash {
	return quarantine.Crash{ID: id, Service: "salons", Upstream: fmt.Sprint("s", id), Version: "v1", Upstreams: 9, Suspects: suspects, At: at}
}

func suspect(name byte, isTrial bool) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: quarantine.Fingerprint{name}, Hint: uint64(name), Elapsed: 50, IsTrial: isTrial}
}

func verdict(r *quarantine.Registry, now clock.Millis, name byte) quarantine.Verdict {
	return r.Status(now, quarantine.Fingerprint{name}).Verdict
}

// convicted is a register with one request held after its third end at 3 s.
func convicted() *quarantine.Registry {
	r := quarantine.NewRegistry()
	r.Merge(3000, []quarantine.Crash{
		endOf(1, 1000, suspect('d', false), suspect('b', false)), endOf(2, 2000, suspect('d', true)), endOf(3, 3000, suspect('d', true)),
	})
	return r
}

// Guards against a request that crashed two servers going on to a fourth one, and against
// one that ran beside it being blamed for the same ends.
func TestThreeEndsConvictOneAndExplainThem(t *testing.T) {
	r := quarantine.NewRegistry()
	steps := []struct {
		end         quarantine.Crash
		want, other quarantine.Verdict
	}{
		{endOf(1, 1000, suspect('d', false), suspect('b', false)), quarantine.Suspected, quarantine.Suspected},
		{endOf(2, 1100, suspect('d', true), suspect('b', false)), quarantine.Suspected, quarantine.Suspected},
		{endOf(3, 1200, suspect('d', true), suspect('b', false)), quarantine.Quarantined, quarantine.Free},
	}
	for i, step := range steps {
		r.Merge(1300, []quarantine.Crash{step.end})
		if got := verdict(r, 1300, 'd'); got != step.want {
			t.Errorf("end %d: got %v, want %v", i+1, got, step.want)
		}
		if got := verdict(r, 1300, 'b'); got != step.other {
			t.Errorf("end %d: got %v for the other, want %v", i+1, got, step.other)
		}
	}
}

// Guards against one cause of several ends at an instant, such as a rack's, being put down
// to a request that ran at all of them.
func TestEndsAtOneInstantConvictNobody(t *testing.T) {
	r := quarantine.NewRegistry()
	for id := range uint64(12) {
		r.Merge(1000, []quarantine.Crash{endOf(id+1, 1000, suspect('p', false))})
	}
	if got := verdict(r, 1000, 'p'); got != quarantine.Suspected {
		t.Errorf("got %v of a request that ran at 12 servers as they ended, want it on trial", got)
	}
	r.Clear(1100, quarantine.Fingerprint{'p'})
	if got := verdict(r, 1100, 'p'); got != quarantine.Free {
		t.Errorf("got %v after it came to its end, want it free", got)
	}
}

// Guards against a request being held for good: by the clock, by an operator, by a run that
// came to its end, and by another version of the software.
func TestAQuarantineEnds(t *testing.T) {
	r := convicted()
	if got := verdict(r, 3000+10*clock.Minute-1, 'd'); got != quarantine.Quarantined {
		t.Errorf("got %v after nearly 10 minutes, want it held", got)
	}
	if got := verdict(r, 3000+10*clock.Minute, 'd'); got != quarantine.Suspected {
		t.Errorf("got %v after 10 minutes, want one trial", got)
	}
	r.Merge(700_000, []quarantine.Crash{endOf(4, 700_000, suspect('d', true))})
	if got := verdict(r, 700_000+20*clock.Minute-1, 'd'); got != quarantine.Quarantined {
		t.Errorf("got %v nearly 20 minutes after the trial, want it held", got)
	}
	r = convicted()
	r.Lift([]quarantine.Fingerprint{{'d'}})
	if got := verdict(r, 3000, 'd'); got != quarantine.Free {
		t.Errorf("got %v of one that an operator lifted, want it free", got)
	}
	r.Lift(nil)
	if got := verdict(r, 3000, 'd'); got != quarantine.Quarantined {
		t.Errorf("got %v once the table names it no longer, want it held", got)
	}
	r.Clear(4000, quarantine.Fingerprint{'d'})
	if got := verdict(r, 4000, 'd'); got != quarantine.Free {
		t.Errorf("got %v of one that came to its end, want it free", got)
	}
}

// Guards against a gate running what an entry holds back, and against its refusing what
// came to its end since the entry heard of it.
func TestAdmission(t *testing.T) {
	held := quarantine.Status{Verdict: quarantine.Quarantined, Versions: []string{"v1"}}
	tests := []struct {
		name     string
		standing quarantine.Status
		entry    quarantine.Verdict
		version  string
		want     quarantine.Admission
	}{
		{"nothing known", quarantine.Status{}, quarantine.Free, "v1", quarantine.Run},
		{"suspected here", quarantine.Status{Verdict: quarantine.Suspected}, quarantine.Free, "v1", quarantine.RunAlone},
		{"suspected there", quarantine.Status{}, quarantine.Suspected, "v1", quarantine.RunAlone},
		{"suspected there, cleared here", quarantine.Status{IsCleared: true}, quarantine.Suspected, "v1", quarantine.Run},
		{"held here", held, quarantine.Free, "v1", quarantine.Refuse},
		{"held there", quarantine.Status{}, quarantine.Quarantined, "v1", quarantine.Refuse},
		{"held there, cleared here", quarantine.Status{IsCleared: true}, quarantine.Quarantined, "v1", quarantine.Run},
		{"held there, cleared and suspected here", quarantine.Status{Verdict: quarantine.Suspected, IsCleared: true}, quarantine.Quarantined, "v1", quarantine.RunAlone},
		{"another version, on trial", held, quarantine.Suspected, "v2", quarantine.RunAlone},
		{"another version, unheard of there", held, quarantine.Free, "v2", quarantine.Refuse},
		{"no version told", held, quarantine.Suspected, "", quarantine.Refuse},
	}
	for _, tt := range tests {
		if got := tt.standing.Admit(tt.entry, tt.version); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against registers that differ by the order in which they heard, and against what a
// peer knows less of going unsaid.
func TestRegistersAgreeInAnyOrder(t *testing.T) {
	ends := []quarantine.Crash{
		endOf(1, 1000, suspect('d', false), suspect('b', false)), endOf(2, 2000, suspect('d', true)), endOf(3, 3000, suspect('d', true), suspect('b', true)),
	}
	one, other := quarantine.NewRegistry(), quarantine.NewRegistry()
	one.Merge(3000, ends)
	slices.Reverse(ends)
	for _, e := range ends {
		other.Merge(3000, []quarantine.Crash{e})
	}
	if one.Digest() != other.Digest() || one.Digest() == 0 {
		t.Errorf("got digests %x and %x, want one", one.Digest(), other.Digest())
	}
	one.Clear(3100, quarantine.Fingerprint{'b'})
	if one.Digest() == other.Digest() {
		t.Error("got one digest though one register knows more")
	}
	isNews, behind := one.Merge(3200, ends)
	if isNews || len(behind) != 2 {
		t.Errorf("got news %t and %d ends to tell, want none and the two of the request that was cleared", isNews, len(behind))
	}
	other.Merge(3200, behind)
	if one.Digest() != other.Digest() {
		t.Error("got two digests after both heard all")
	}
}

// Guards against memory that clients or peers can fill, and against a flood of harmless
// ends driving out what holds a deadly request back.
func TestTheRegisterIsBounded(t *testing.T) {
	r := convicted()
	for i := range uint64(5000) {
		s := quarantine.Suspect{Fingerprint: quarantine.Fingerprint{1, byte(i), byte(i >> 8)}, Hint: i}
		r.Merge(4000+clock.Millis(i), []quarantine.Crash{endOf(100+i, 4000+clock.Millis(i), s)})
	}
	if all, _ := r.ChangedSince(0); len(all) > 512 {
		t.Errorf("got %d ends held, want 512 at most", len(all))
	}
	if got := verdict(r, 9000, 'd'); got != quarantine.Quarantined {
		t.Errorf("got %v after 5000 other ends, want it held", got)
	}
	many := make([]quarantine.Suspect, quarantine.MaxSuspects+1)
	if isNews, _ := r.Merge(9000, []quarantine.Crash{endOf(9999, 9000, many...), endOf(9998, 9000)}); isNews {
		t.Error("got an end taken in with too many runs, or none")
	}
	r.Expire(9000 + quarantine.OpenTTL + clock.Minute)
	if !r.IsEmpty() {
		t.Error("got something suspected after all is too old")
	}
}
