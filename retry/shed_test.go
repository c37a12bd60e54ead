package retry_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/retry"
)

// shedder is an upstream that sheds episodeShare of its requests for some seconds, 0.3 of the
// time, and 0.03 otherwise, with what its gate has counted.
type shedder struct {
	inEpisode bool
	until     clock.Millis
	meter     *retry.ShedMeter
	severity  *episode.Filter
}

func (s *shedder) sheds(now clock.Millis, episodeShare float64, random *rand.Rand) bool {
	for now >= s.until {
		s.inEpisode = !s.inEpisode
		mean := 9000.0
		if s.inEpisode {
			mean = 4000
		}
		s.until += clock.Millis(1 + random.ExpFloat64()*mean)
	}
	isShed, result := random.Float64() < 0.03, episode.Good
	if s.inEpisode {
		isShed = random.Float64() < episodeShare
	}
	if isShed {
		result = episode.Shed
	}
	s.meter.Record(now, isShed)
	s.severity.Observe(now, result)
	return isShed
}

// shedAgain simulates two minutes of a service with 69 upstreams and 470 requests a second. It
// returns the share of retries that are shed again if each goes to the upstream of the lowest
// risk among three.
func shedAgain(episodeShare float64, risk func(s *shedder, now clock.Millis) float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	upstreams := make([]*shedder, 69)
	for i := range upstreams {
		upstreams[i] = &shedder{meter: retry.NewShedMeter(), severity: episode.New(0)}
	}
	retries, again := 0.0, 0.0
	for now := clock.Millis(0); now < 2*clock.Minute; now += clock.Millis(random.ExpFloat64() * 1000 / 470) {
		order := random.Perm(len(upstreams))
		if !upstreams[order[0]].sheds(now, episodeShare, random) {
			continue
		}
		best := upstreams[order[1]]
		for _, i := range order[2:4] {
			if risk(upstreams[i], now) < risk(best, now) {
				best = upstreams[i]
			}
		}
		retries++
		if best.sheds(now, episodeShare, random) {
			again++
		}
	}
	return again / retries
}

// An upstream sheds a request, and the entry retries it at one that sheds, too: the second
// refusal costs the rest of the request's time and of the retry budget. Severity doesn't tell
// an upstream that sheds a quarter from a healthy one.
func TestRetriesGoWhereLessIsShed(t *testing.T) {
	for _, episodeShare := range []float64{0.6, 0.25} {
		random := shedAgain(episodeShare, func(*shedder, clock.Millis) float64 { return 0 })
		severity := shedAgain(episodeShare, func(s *shedder, now clock.Millis) float64 { return s.severity.Probability(now) })
		both := shedAgain(episodeShare, func(s *shedder, now clock.Millis) float64 {
			return max(s.severity.Probability(now), s.meter.Share(now))
		})
		t.Logf("%.2f shed: again %.3f at random, %.3f by severity, %.3f by severity and share", episodeShare, random, severity, both)
		limit := severity + 0.01 // an upstream that sheds most is known by its severity
		if episodeShare < 0.5 {
			limit = 0.85 * severity
		}
		if both > limit || both > 0.75*random {
			t.Errorf("%.2f shed: got %.3f of the retries shed again, want at most %.3f", episodeShare, both, min(limit, 0.75*random))
		}
	}
}

// An upstream that has shed must get retries again soon after.
func TestSharesOfShedRunsFade(t *testing.T) {
	if got := retry.DecayShedShare(0.8, 10*clock.Second); got > 0.01 {
		t.Errorf("got %.3f of a share of 0.8 after ten seconds without news, want 0.01 at most", got)
	}
}
