package episodes_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/measure/episodes"
)

// play adds up runs over several seeds.
func play(policy episodes.Policy, load float64) episodes.Report {
	sum := episodes.Report{Kinds: map[string]episodes.Result{}}
	const runs = 4
	for seed := range uint64(runs) {
		c := episodes.Squadre()
		c.Policy, c.Load, c.Seed = policy, load, seed+1
		r := episodes.Run(c)
		for name, k := range r.Kinds {
			all := sum.Kinds[name]
			all.Requests += k.Requests
			all.Served += k.Served
			all.InTarget += k.InTarget
			all.Failed += k.Failed
			all.Refused += k.Refused
			sum.Kinds[name] = all
		}
		sum.Retries += r.Retries / runs
	}
	return sum
}

// Half of a service fails at any time. A confirmation that meets a failing
// upstream is lost; a list or a call that does is sent again, within what the
// operators allow. The bounds hold what the filter, the ranks and the trials buy
// beside round robin, and how far one central queue with perfect knowledge is.
func TestWorkGoesWhereItSucceeds(t *testing.T) {
	tests := []struct {
		load float64
		// least is the share that must be served of each kind.
		least map[string]float64
		// retries is the most that may run twice.
		retries float64
	}{
		{0.5, map[string]float64{"roster": 0.95, "check": 0.98, "call": 0.98, "confirm": 0.95}, 0.1},
		{1, map[string]float64{"roster": 0.87, "check": 0.965, "call": 0.96, "confirm": 0.945}, 0.1},
		{1.4, map[string]float64{"roster": 0.71, "check": 0.94, "call": 0.93, "confirm": 0.915}, 0.1},
	}
	for _, tt := range tests {
		blind, brief, perfect := play(episodes.RoundRobin, tt.load), play(episodes.ShortEpisodes, tt.load), play(episodes.Oracle, tt.load)
		for name, least := range tt.least {
			got, before, best := brief.Kinds[name], blind.Kinds[name], perfect.Kinds[name]
			t.Logf("load %.1f, %s: served %.3f (in target %.3f, refused %.3f); round robin %.3f, perfect %.3f", tt.load, name,
				got.Share(), float64(got.InTarget)/float64(got.Requests), float64(got.Refused)/float64(got.Requests), before.Share(), best.Share())
			if got.Share() < least {
				t.Errorf("load %.1f, %s: got %.3f served, want %.2f at least", tt.load, name, got.Share(), least)
			}
		}
		t.Logf("load %.1f: run twice %.3f, round robin %.3f", tt.load, brief.Retries, blind.Retries)
		if brief.Retries > tt.retries {
			t.Errorf("load %.1f: got %.3f run twice, want %.2f at most", tt.load, brief.Retries, tt.retries)
		}
	}
}

// The price lists have 23 upstreams before 95 entries, and a third of their slots
// is in use. A sound upstream that got nothing for two seconds is unused capacity;
// with over 0.3 of them unused, callers are turned away beside idle servers. What
// is heard of an upstream fades to doubt while it gets nothing: too doubtful to be
// chosen, and never set aside, it stayed out for good.
func TestSoundUpstreamsAreUsed(t *testing.T) {
	for _, service := range []struct {
		name   string
		config episodes.Config
		quiet  float64
	}{{"listings", episodes.Listings(), 0.03}, {"conferme", episodes.Conferme(), 0.03}, {"squadre", episodes.Squadre(), 0.03}} {
		for seed := range uint64(4) {
			c := service.config
			c.Policy, c.Seed = episodes.ShortEpisodes, seed
			r := episodes.Run(c)
			t.Logf("%s, seed %d: %.3f of the sound upstreams unused, too many in %.3f of the time; run twice %.3f", service.name, seed, r.Unused, r.TooManyUnused, r.Retries)
			if r.Unused > service.quiet || r.TooManyUnused > 0 {
				t.Errorf("%s, seed %d: got %.3f unused, and too many in %.3f of the time, want %v at most and none", service.name, seed, r.Unused, r.TooManyUnused, service.quiet)
			}
		}
	}
}

// Managers of two parishes out of four work on a holiday. The upstreams beside the other
// two are chosen by nobody: all others are nearer. Their gates could invite requests, but
// know few entries that have any, and have links from none of these, for an entry opens
// one when it first chooses an upstream. They got nothing for seconds while requests
// failed at the near ones.
func TestUpstreamsFarFromAllCallersAreUsed(t *testing.T) {
	for _, service := range []struct {
		name   string
		config episodes.Config
	}{{"listings", episodes.Listings()}, {"revisions", episodes.Revisions()}} {
		for _, calling := range []int{3, 2} {
			for seed := range uint64(4) {
				c := service.config
				c.Policy, c.Seed, c.Domains, c.CallingDomains = episodes.ShortEpisodes, seed, 4, calling
				r := episodes.Run(c)
				t.Logf("%s, callers in %d of 4, seed %d: %.3f of the sound upstreams unused, too many in %.3f of the time; run twice %.3f", service.name, calling, seed, r.Unused, r.TooManyUnused, r.Retries)
				if r.Unused > 0.03 || r.TooManyUnused > 0 {
					t.Errorf("%s, callers in %d of 4, seed %d: got %.3f unused, and too many in %.3f of the time, want 0.03 at most and none", service.name, calling, seed, r.Unused, r.TooManyUnused)
				}
			}
		}
	}
}

// Price revisions and confirmations run once only: each that meets an upstream in
// an episode is lost. A sound one fails 0.012 of them, the rest are those that
// came before its gate knew.
func TestWorkThatRunsOnceMeetsFewEpisodes(t *testing.T) {
	for _, tt := range []struct {
		name, kind string
		config     episodes.Config
		least      float64
	}{{"listings", "revision", episodes.Listings(), 0.97}, {"conferme", "confirm", episodes.Conferme(), 0.976}} {
		var sum episodes.Result
		for seed := range uint64(4) {
			c := tt.config
			c.Policy, c.Seed = episodes.ShortEpisodes, seed
			k := episodes.Run(c).Kinds[tt.kind]
			sum.Requests += k.Requests
			sum.Served += k.Served
		}
		t.Logf("%s: %.4f of %d served", tt.name, sum.Share(), sum.Requests)
		if sum.Share() < tt.least {
			t.Errorf("%s: got %.4f served, want %.3f at least", tt.name, sum.Share(), tt.least)
		}
	}
}

// Upstreams let what they fail hang, for ten seconds and more. Runs that were given up at their
// time limit took their callers' whole time with them, and a verdict that came with the limit
// was that of the episode before.
func TestHangingUpstreamsAreLeftInTime(t *testing.T) {
	least := map[string]float64{"roster": 0.95, "check": 0.95, "call": 0.95, "confirm": 0.9}
	sums := map[string]episodes.Result{}
	for seed := range uint64(3) {
		c := episodes.Rosters()
		c.Policy, c.Seed = episodes.ShortEpisodes, seed
		for name, k := range episodes.Run(c).Kinds {
			sum := sums[name]
			sum.Requests += k.Requests
			sum.Served += k.Served
			sum.InTarget += k.InTarget
			sums[name] = sum
		}
	}
	for name, most := range least {
		got := sums[name]
		t.Logf("%s: %.3f served, %.3f in target", name, got.Share(), float64(got.InTarget)/float64(got.Requests))
		if got.Share() < most {
			t.Errorf("%s: got %.3f served, want %.2f at least", name, got.Share(), most)
		}
	}
}
