package retry_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/retry"
)

// views holds, for each upstream, the shares of shed runs that the entry and the gates have
// counted, the severity that the gates report, and the higher one of the gates' figures.
type views struct{ own, gates, severity, highest []float64 }

// shedding simulates two minutes of a service whose upstreams shed episodeShare of their
// requests for some seconds, 0.3 of them at any time, and 0.03 otherwise. It returns the share of retries that are shed again.
// The function choose returns the upstream of a retry that wasn't served by first.
func shedding(entries, upstreams int, perSecond, episodeShare float64, choose func(random *rand.Rand, first int, v views) int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	newMeters := func() []*retry.ShedMeter {
		meters := make([]*retry.ShedMeter, upstreams)
		for i := range meters {
			meters[i] = retry.NewShedMeter()
		}
		return meters
	}
	gates, own := newMeters(), make([][]*retry.ShedMeter, entries)
	filters := make([]*episode.Filter, upstreams)
	for i := range filters {
		filters[i] = episode.New(0)
	}
	for i := range own {
		own[i] = newMeters()
	}
	sheds, until := make([]bool, upstreams), make([]clock.Millis, upstreams)
	retries, again := 0.0, 0.0
	for now := clock.Millis(0); now < 2*clock.Minute; now += clock.Millis(1 + random.ExpFloat64()*1000/perSecond) {
		for i := range sheds {
			for now >= until[i] {
				sheds[i] = !sheds[i]
				mean := 9000.0
				if sheds[i] {
					mean = 4000
				}
				until[i] += clock.Millis(1 + random.ExpFloat64()*mean)
			}
		}
		entry := own[random.IntN(entries)]
		isShed := func(upstream int) bool {
			probability := 0.03
			if sheds[upstream] {
				probability = episodeShare
			}
			shed := random.Float64() < probability
			gates[upstream].Record(now, shed)
			entry[upstream].Record(now, shed)
			result := episode.Good
			if shed {
				result = episode.Shed
			}
			filters[upstream].Observe(now, result)
			return shed
		}
		first := random.IntN(upstreams)
		if !isShed(first) {
			continue
		}
		retries++
		v := views{own: shares(entry, now), gates: shares(gates, now)}
		for i, f := range filters {
			v.severity = append(v.severity, f.Probability(now))
			v.highest = append(v.highest, max(v.severity[i], v.gates[i]))
		}
		if isShed(choose(random, first, v)) {
			again++
		}
	}
	return again / retries
}

func shares(meters []*retry.ShedMeter, now clock.Millis) []float64 {
	all := make([]float64, 0, len(meters))
	for _, m := range meters {
		all = append(all, m.Share(now))
	}
	return all
}

// leastOf returns the upstream of the least share among count random ones other than first.
func leastOf(random *rand.Rand, count, first int, shares []float64) int {
	best := -1
	for _, i := range random.Perm(len(shares)) {
		if i == first {
			continue
		}
		if count--; count < 0 {
			break
		}
		if best < 0 || shares[i] < shares[best] {
			best = i
		}
	}
	return best
}

// An upstream sheds a request, and the entry retries it at one that sheds, too: the second
// refusal costs the rest of the request's time and of the retry budget. In a large service
// an entry sees too few runs of each upstream to know which ones shed, and severity doesn't
// tell an upstream that sheds a quarter from a healthy one.
func TestRetriesGoWhereLessIsShed(t *testing.T) {
	for _, tt := range []struct {
		name               string
		entries, upstreams int
		perSecond          float64
		episodeShare       float64
	}{
		{"88 entries, 69 upstreams, most is shed", 88, 69, 470, 0.6},
		{"88 entries, 69 upstreams, a quarter is shed", 88, 69, 470, 0.25},
		{"9 entries, 9 upstreams, most is shed", 9, 9, 100, 0.6},
		{"9 entries, 9 upstreams, a quarter is shed", 9, 9, 100, 0.25},
	} {
		t.Run(tt.name, func(t *testing.T) {
			simulate := func(choose func(random *rand.Rand, first int, v views) int) float64 {
				return shedding(tt.entries, tt.upstreams, tt.perSecond, tt.episodeShare, choose)
			}
			random := simulate(func(random *rand.Rand, first int, v views) int { return leastOf(random, 1, first, v.own) })
			own := simulate(func(random *rand.Rand, first int, v views) int { return leastOf(random, len(v.own), first, v.own) })
			severity := simulate(func(random *rand.Rand, first int, v views) int { return leastOf(random, 3, first, v.severity) })
			asked := simulate(func(random *rand.Rand, first int, v views) int { return leastOf(random, 3, first, v.highest) })
			t.Logf("shed again: %.3f at random, %.3f by the entry's own counts, %.3f by the severity at three gates, %.3f by severity and share", random, own, severity, asked)
			limit := severity + 0.01 // an upstream that sheds most is known by its severity
			if tt.episodeShare < 0.5 {
				limit = 0.85 * severity
			}
			if asked > limit || asked > 0.75*random {
				t.Errorf("got %.3f of the retries shed again, want at most %.3f", asked, min(limit, 0.75*random))
			}
		})
	}
}

// An upstream that shed for a while must get retries again soon after.
func TestSharesOfShedRunsFade(t *testing.T) {
	m := retry.NewShedMeter()
	for now := clock.Millis(0); now < 4*clock.Second; now += 100 {
		m.Record(now, true)
	}
	atEnd := m.Share(4 * clock.Second)
	for now := 4 * clock.Second; now < 10*clock.Second; now += 100 {
		m.Record(now, false)
	}
	if later := m.Share(10 * clock.Second); atEnd < 0.8 || later > 0.1 {
		t.Errorf("got a share of %.2f, %.2f after six seconds; want at least 0.8 and at most 0.1", atEnd, later)
	}
	if got := retry.DecayShedShare(0.8, 10*clock.Second); got > 0.01 {
		t.Errorf("got %.3f of a share of 0.8 after ten seconds without news, want 0.01 at most", got)
	}
}
