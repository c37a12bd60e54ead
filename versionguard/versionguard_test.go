package versionguard_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/versionguard"
)

// The seed of the property tests is fixed unless -rapid.seed is given on the command line.
var _ = flag.Set("rapid.seed", "20")

func candidate(version uint64, digest string) versionguard.Candidate {
	return versionguard.Candidate{Version: version, Digest: digest, Source: versionguard.Platform}
}

func TestProposeDecisions(t *testing.T) {
	steps := []struct {
		name      string
		candidate versionguard.Candidate
		want      versionguard.Decision
		current   versionguard.Candidate
	}{
		{"no version", candidate(0, "a"), versionguard.Older, versionguard.Candidate{}},
		{"first", candidate(3, "b"), versionguard.Accept, candidate(3, "b")},
		{"repeated", candidate(3, "b"), versionguard.Same, candidate(3, "b")},
		{"older", candidate(2, "z"), versionguard.Older, candidate(3, "b")},
		{"same version, lower digest", candidate(3, "a"), versionguard.Conflict, candidate(3, "b")},
		{"same version, higher digest", candidate(3, "c"), versionguard.Accept, candidate(3, "c")},
		{"lower digest again", candidate(3, "b"), versionguard.Conflict, candidate(3, "c")},
		{"newer", candidate(4, "a"), versionguard.Accept, candidate(4, "a")},
	}
	g := versionguard.New()
	for _, s := range steps {
		if got := g.Propose(s.candidate); got != s.want || g.Current() != s.current {
			t.Errorf("%s: got %s with %v in force, want %s with %v", s.name, got, g.Current(), s.want, s.current)
		}
	}
}

// Guards against nodes that serve different tables for hours after two operators edit
// version 7 concurrently and both publish version 8: each node kept the text that it received
// first. All nodes must put the same text in force and report the conflict.
func TestConcurrentEditsConvergeOnOneTable(t *testing.T) {
	a, b := candidate(8, "aa"), candidate(8, "bb")
	first, second := versionguard.New(), versionguard.New()
	first.Propose(a)
	first.Propose(b)
	second.Propose(b)
	second.Propose(a)
	for name, g := range map[string]*versionguard.VersionGuard{"a first": first, "b first": second} {
		if conflicting, ok := g.Conflicting(); g.Current() != b || !ok || conflicting != a {
			t.Errorf("%s: got %v in force with conflict %v, want %v with %v", name, g.Current(), conflicting, b, a)
		}
	}
	first.Propose(candidate(9, "a"))
	if conflicting, ok := first.Conflicting(); ok {
		t.Errorf("got conflict %v after a newer version, want none", conflicting)
	}
}

// Guards against a result that depends on the order of arrival. A node receives table
// versions from a stale replica, from peers and repeatedly; nodes would end with two
// different tables, or return to a weight that an operator has withdrawn.
func TestVersionNeverDecreasesAndOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.Custom(func(t *rapid.T) versionguard.Candidate {
			c := candidate(rapid.Uint64Range(0, 5).Draw(t, "version"), rapid.StringMatching(`[abc]`).Draw(t, "digest"))
			c.Source = rapid.SampledFrom([]versionguard.Source{versionguard.Platform, versionguard.Peer}).Draw(t, "source")
			return c
		})
		set := rapid.SliceOfN(candidates, 1, 20).Draw(t, "offers")
		repeats := rapid.SliceOfN(rapid.SampledFrom(set), 0, 20).Draw(t, "repeats")
		orders := rapid.Permutation(append(repeats, set...))
		want := replay(t, set)
		got := replay(t, orders.Draw(t, "order"))
		if !sameText(got.Current(), want.Current()) {
			t.Errorf("got %v in force, want %v", got.Current(), want.Current())
		}
		gotConflict, _ := got.Conflicting()
		wantConflict, _ := want.Conflicting()
		if !sameText(gotConflict, wantConflict) {
			t.Errorf("got conflict %v, want %v", gotConflict, wantConflict)
		}
	})
}

func sameText(a, b versionguard.Candidate) bool {
	return a.Version == b.Version && a.Digest == b.Digest
}

func replay(t *rapid.T, candidates []versionguard.Candidate) *versionguard.VersionGuard {
	g := versionguard.New()
	for _, c := range candidates {
		before := g.Current()
		decision := g.Propose(c)
		after := g.Current()
		if after.Version < before.Version {
			t.Errorf("got version %d after %d, want no decrease", after.Version, before.Version)
		}
		if accepted := decision == versionguard.Accept; accepted != (after != before) || accepted && after != c {
			t.Errorf("%v: got %s with %v after %v in force", c, decision, after, before)
		}
	}
	return g
}
