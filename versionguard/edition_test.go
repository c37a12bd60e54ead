package versionguard_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/versionguard"
)

// A fixed seed gives property tests the same verdict in every run. A flag on
// the command line still goes before it.
var _ = flag.Set("rapid.seed", "20")

func offer(version uint64, digest string) versionguard.Candidate {
	return versionguard.Candidate{Version: version, Digest: digest, Source: versionguard.Platform}
}

func TestOfferVerdicts(t *testing.T) {
	steps := []struct {
		name  string
		offer versionguard.Candidate
		want  versionguard.Decision
		force versionguard.Candidate
	}{
		{"no version", offer(0, "a"), versionguard.Older, versionguard.Candidate{}},
		{"first", offer(3, "b"), versionguard.Accept, offer(3, "b")},
		{"again", offer(3, "b"), versionguard.Same, offer(3, "b")},
		{"below", offer(2, "z"), versionguard.Older, offer(3, "b")},
		{"other text that loses", offer(3, "a"), versionguard.Conflict, offer(3, "b")},
		{"other text that wins", offer(3, "c"), versionguard.Accept, offer(3, "c")},
		{"the loser again", offer(3, "b"), versionguard.Conflict, offer(3, "c")},
		{"above", offer(4, "a"), versionguard.Accept, offer(4, "a")},
	}
	f := versionguard.New()
	for _, s := range steps {
		if got := f.Propose(s.offer); got != s.want || f.Current() != s.force {
			t.Errorf("%s: got %s with %v in force, want %s with %v", s.name, got, f.Current(), s.want, s.force)
		}
	}
}

// Two operators edit version 7 at once and both publish version 8. Half of the
// callers would get one table and half the other, for hours. The cause: each
// node keeps the text that it heard first. All must end on one, and say that
// there was another.
func TestFencesEndOnOneOfTwoEditsAtOnce(t *testing.T) {
	a, b := offer(8, "aa"), offer(8, "bb")
	first, second := versionguard.New(), versionguard.New()
	first.Propose(a)
	first.Propose(b)
	second.Propose(b)
	second.Propose(a)
	for name, f := range map[string]*versionguard.VersionGuard{"a first": first, "b first": second} {
		if rival, ok := f.Conflicting(); f.Current() != b || !ok || rival != a {
			t.Errorf("%s: got %v in force with rival %v, want %v with %v", name, f.Current(), rival, b, a)
		}
	}
	first.Propose(offer(9, "a"))
	if rival, ok := first.Conflicting(); ok {
		t.Errorf("got rival %v after a newer version, want none", rival)
	}
}

// A node hears editions from a stale replica, from peers and twice over. If
// the order could decide, the fleet would end on two tables, or go back to a
// weight that an operator has withdrawn.
func TestFenceNeverRevertsAndOrderDecidesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) versionguard.Candidate {
			o := offer(rapid.Uint64Range(0, 5).Draw(t, "version"), rapid.StringMatching(`[abc]`).Draw(t, "digest"))
			o.Source = rapid.SampledFrom([]versionguard.Source{versionguard.Platform, versionguard.Peer}).Draw(t, "source")
			return o
		})
		set := rapid.SliceOfN(draw, 1, 20).Draw(t, "offers")
		repeats := rapid.SliceOfN(rapid.SampledFrom(set), 0, 20).Draw(t, "repeats")
		orders := rapid.Permutation(append(repeats, set...))
		want := replay(t, set)
		got := replay(t, orders.Draw(t, "order"))
		if !sameText(got.Current(), want.Current()) {
			t.Errorf("got %v in force, want %v", got.Current(), want.Current())
		}
		gotRival, _ := got.Conflicting()
		wantRival, _ := want.Conflicting()
		if !sameText(gotRival, wantRival) {
			t.Errorf("got rival %v, want %v", gotRival, wantRival)
		}
	})
}

func sameText(a, b versionguard.Candidate) bool {
	return a.Version == b.Version && a.Digest == b.Digest
}

func replay(t *rapid.T, offers []versionguard.Candidate) *versionguard.VersionGuard {
	f := versionguard.New()
	for _, o := range offers {
		before := f.Current()
		verdict := f.Propose(o)
		after := f.Current()
		if after.Version < before.Version {
			t.Errorf("got version %d after %d, want no return", after.Version, before.Version)
		}
		if accepted := verdict == versionguard.Accept; accepted != (after != before) || accepted && after != o {
			t.Errorf("%v: got %s with %v after %v in force", o, verdict, after, before)
		}
	}
	return f
}
