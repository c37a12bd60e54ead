package episode_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/health"
)

// A crew's confirmations go to an upstream that begins to fail 85% of its
// requests, within milliseconds and with a good health answer, while half of its
// service does as well. Each further one it gets is lost for good, so two
// failures must be enough. Rates are those of the sheets: 2 to 8 outcomes a
// second and upstream.
func TestEpisodeIsFoundInTwoFailures(t *testing.T) {
	for _, perSecond := range []float64{2, 5, 8} {
		failures, spans := make([]int, 0, 400), make([]clock.Millis, 0, 400)
		for seed := range uint64(400) {
			r := rand.New(rand.NewPCG(seed, 1))
			f := episode.New(0)
			now := run(r, f, 0, 20*clock.Second, perSecond, 0.012)
			began, failed := now, 0
			for f.Probability(now) < episode.EjectThreshold {
				now += gap(r, perSecond)
				if r.Float64() < 0.85 {
					failed++
					f.Observe(now, episode.Failed)
				} else {
					f.Observe(now, episode.Good)
				}
			}
			failures = append(failures, failed)
			spans = append(spans, now-began)
		}
		slices.Sort(failures)
		slices.Sort(spans)
		if got := failures[len(failures)/2]; got > 2 {
			t.Errorf("at %v a second: got a median of %d failures, want at most 2", perSecond, got)
		}
		if got := failures[len(failures)*99/100]; got > 4 {
			t.Errorf("at %v a second: got %d failures at p99, want at most 4", perSecond, got)
		}
		t.Logf("at %v a second: %v at p50, %v at p99", perSecond, spans[len(spans)/2], spans[len(spans)*99/100])
	}
}

// Sound upstreams fail one request in eighty. Were each of these failures held
// for an episode, a service of nine would lose an upstream every two seconds.
func TestSoundUpstreamsAreSeldomSetAside(t *testing.T) {
	aside, total := clock.Millis(0), clock.Millis(0)
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		f := episode.New(0)
		for now := clock.Millis(0); now < 5*clock.Minute; {
			step := gap(r, 5)
			if f.Probability(now) >= episode.EjectThreshold {
				aside += step
			}
			total += step
			now += step
			observe(r, f, now, 0.012)
		}
	}
	if got := float64(aside) / float64(total); got > 0.02 {
		t.Errorf("got %.4f of the time set aside, want at most 0.02", got)
	}
}

// An episode is over, and the upstream gets trials only. Two or three that
// succeed must bring it back, or half of the service's capacity lies idle.
func TestTwoOrThreeGoodTrialsBringBack(t *testing.T) {
	f := episode.New(0)
	for now := clock.Millis(0); now < 5*clock.Second; now += clock.Second {
		f.Observe(now, episode.Failed)
	}
	now, good := 5*clock.Second, 0
	for f.Probability(now) >= episode.EjectThreshold {
		now += clock.Second
		f.Observe(now, episode.Good)
		good++
	}
	if good < 2 || good > 4 {
		t.Errorf("got %d good trials until it was back, want 2 to 4", good)
	}
}

// Nothing is heard of an upstream, as its service gets no requests. A verdict
// that stayed would outlive the episode; it fades to what is usual.
func TestVerdictFadesWithoutNews(t *testing.T) {
	f := episode.New(0)
	f.Observe(1, episode.Failed)
	f.Observe(2, episode.Failed)
	if got := f.Probability(3); got < episode.EjectThreshold {
		t.Fatalf("got %.3f after two failures, want it set aside", got)
	}
	if got := f.Probability(clock.Minute); got >= episode.EjectThreshold {
		t.Errorf("got %.3f after a minute without news, want it in use", got)
	}
	if got, want := episode.Drift(f.Probability(3), 10*clock.Second), f.Probability(3+10*clock.Second); got-want > 1e-9 || want-got > 1e-9 {
		t.Errorf("got %v from the figure told, %v at the gate; want them equal", got, want)
	}
}

// A set aside upstream must not get a herd of trials when all entries find it due
// at once, nor work that can't be sent again.
func TestTrialsAreSpacedAndRepeatable(t *testing.T) {
	var trials episode.Trials
	admitted := 0
	for now := clock.Millis(0); now < 10*clock.Second; now += 10 {
		if trials.Admit(now, 0.99, false) {
			t.Fatal("got a request admitted that runs once only")
		}
		if trials.Admit(now, 0.99, true) {
			admitted++
		}
	}
	if admitted < 10 || admitted > 21 {
		t.Errorf("got %d trials in 10 s, want 10 to 21", admitted)
	}
}

func run(r *rand.Rand, f *episode.Filter, now, until clock.Millis, perSecond, failing float64) clock.Millis {
	for now < until {
		now += gap(r, perSecond)
		observe(r, f, now, failing)
	}
	return now
}

func observe(r *rand.Rand, f *episode.Filter, now clock.Millis, failing float64) {
	result := episode.Good
	if r.Float64() < failing {
		result = episode.Failed
	}
	f.Observe(now, result)
}

func gap(r *rand.Rand, perSecond float64) clock.Millis {
	return 1 + clock.Millis(r.ExpFloat64()*1000/perSecond)
}

// An upstream hangs. Two runs without an answer, beside the good ones of before,
// must be enough to set it aside; one alone may be a slow call that it made.
func TestHangIsFoundInTwoOverdueRuns(t *testing.T) {
	f := episode.New(0)
	now := clock.Millis(0)
	for range 20 {
		now += 200
		f.Observe(now, episode.Good)
	}
	overdue := 0
	for f.Probability(now) < episode.EjectThreshold && overdue < 10 {
		now += 300
		f.Observe(now, episode.Overdue)
		overdue++
	}
	if overdue != 2 {
		t.Errorf("got it set aside after %d overdue runs, want 2", overdue)
	}
}

// typical is a route whose runs take about half a second.
var typical = episode.TypicalLatency{Median: 500, Spread: 0.5}

// The age of a run is told before its end, which may come seconds later. The outcome must not
// count for more than it does alone.
func TestAgeIsAnAdvanceOnTheOutcome(t *testing.T) {
	for _, r := range []episode.Result{episode.Good, episode.Failed, episode.Broken, episode.Overdue, episode.Neutral} {
		looked, whole := episode.New(0), episode.New(0)
		one, other := looked.Begin(0, typical), whole.Begin(0, typical)
		for now := clock.Millis(0); now < 600; now += 50 {
			looked.Probability(now)
		}
		looked.End(600, one, r)
		whole.End(600, other, r)
		if got, want := looked.Probability(600), whole.Probability(600); got-want > 1e-9 || want-got > 1e-9 {
			t.Errorf("result %d: got %.4f, want %.4f as of the outcome alone", r, got, want)
		}
	}
}

// While upstreams fail at once, a run that lasts speaks for its own; where they hang, it must
// not. Which of the two it is shows in their failures, and no setting tells.
func TestLastingRunsSpeakForUpstreamsThatFailAtOnce(t *testing.T) {
	sudden, hanging := episode.New(0), episode.New(0)
	for now := clock.Millis(0); now < 10*clock.Second; now += clock.Second {
		sudden.Observe(now, episode.Failed)
		r := hanging.Begin(now, typical)
		hanging.End(now+3900, r, episode.Stopped)
	}
	now := clock.Minute
	before := sudden.Probability(now)
	sudden.Begin(now, typical)
	hanging.Begin(now, typical)
	if got := sudden.Probability(now + 100); got >= before/2 {
		t.Errorf("fails at once: got %.3f with a run of 100 ms, want less than half of %.3f", got, before)
	}
	if got := hanging.Probability(now + 100); got < 0.9*before {
		t.Errorf("hangs: got %.3f with a run of 100 ms, want hardly less than %.3f", got, before)
	}
}

// Upstreams hang, with good health answers, for ten seconds: at the rates of the sheets three to
// five runs begin in each second. One that was found at the end of its first run's time limit
// would have taken twenty more.
func TestHangIsFoundWithinAFewRuns(t *testing.T) {
	for _, tt := range []struct {
		perSecond float64
		most      clock.Millis // at p50
	}{{3, 1500}, {5, 1200}, {8, 1000}} {
		spans := make([]clock.Millis, 0, 200)
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 7))
			spans = append(spans, hangFound(r, tt.perSecond))
		}
		slices.Sort(spans)
		t.Logf("at %v a second: found after %v at p50, %v at p90", tt.perSecond, spans[len(spans)/2], spans[len(spans)*9/10])
		if got := spans[len(spans)/2]; got > tt.most {
			t.Errorf("at %v a second: got it found after %v at p50, want %v at most", tt.perSecond, got, tt.most)
		}
	}
}

// hanging tells that failing runs hang, as entries have seen at others.
var hanging = episode.TypicalLatency{Median: typical.Median, Spread: typical.Spread, HangShare: 96}

// hangFound plays an upstream that hangs after ten seconds, and returns how long it took until
// it was set aside.
func hangFound(r *rand.Rand, perSecond float64) clock.Millis {
	const onset = 10 * clock.Second
	type running struct {
		run  *episode.Run
		ends clock.Millis
	}
	f := episode.New(0)
	var runs []running
	next := gap(r, perSecond)
	for now := clock.Millis(0); ; now++ {
		runs = slices.DeleteFunc(runs, func(one running) bool {
			if one.ends > now {
				return false
			}
			f.End(now, one.run, episode.Good)
			return true
		})
		if now == next {
			ends := now + clock.Millis(float64(typical.Median)*math.Exp(typical.Spread*r.NormFloat64()))
			if now > onset && r.Float64() < 0.85 {
				ends = clock.Hour
			}
			runs = append(runs, running{f.Begin(now, hanging), ends})
			next += gap(r, perSecond)
		}
		if now > onset && now%10 == 0 && f.Probability(now) >= episode.EjectThreshold {
			return now - onset
		}
	}
}

// Sound upstreams have runs that take many times as long as usual, and calls that wait elsewhere.
// While it gets what it can bear, one must hardly ever be set aside for that.
func TestLongRunsSeldomSetASoundUpstreamAside(t *testing.T) {
	aside, total := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 8))
		f := episode.New(0)
		ends := map[*episode.Run]clock.Millis{}
		for now := clock.Millis(0); now < clock.Minute; now += 10 {
			for run, at := range ends {
				if at <= now {
					f.End(now, run, episode.Good)
					delete(ends, run)
				}
			}
			if r.Float64() < 0.05 {
				took := float64(typical.Median) * math.Exp(typical.Spread*r.NormFloat64())
				if r.Float64() < 0.01 {
					took *= 5
				}
				ends[f.Begin(now, typical)] = now + clock.Millis(took)
			}
			total++
			if f.Probability(now) >= episode.EjectThreshold {
				aside++
			}
		}
	}
	if got := float64(aside) / float64(total); got > 0.02 {
		t.Errorf("got %.4f of the time set aside, want at most 0.02", got)
	}
}

// A route's runs take a millisecond though its target is a second. The guess from the target must
// give way to what is seen, or a hang of a tenth of a second looks like nothing.
func TestPaceFollowsWhatIsSeen(t *testing.T) {
	var p episode.LatencyProfile
	if got := p.Estimate(clock.Second); got.Median < 200 || got.Median > 500 {
		t.Errorf("got a median of %v before any run, want a part of the target", got.Median)
	}
	for range 10 {
		p.Observe(1)
		p.Observe(2)
	}
	if got := p.Estimate(clock.Second); got.Median > 3 || got.Survival(100) > 0.02 {
		t.Errorf("got %+v, %.3f of the runs beyond 100 ms; want a few milliseconds and hardly any", got, got.Survival(100))
	}
	if got := new(episode.LatencyProfile).Estimate(0); got.IsKnown() {
		t.Errorf("got %+v of a route without target and runs, want nothing known", got)
	}
}

// A failing upstream must be known at once, and one that is back; that a doubt is
// over may wait for a heartbeat.
func TestNewsAreWorseOrBack(t *testing.T) {
	tests := []struct {
		before, now episode.Level
		want        bool
	}{
		{episode.Healthy, episode.Suspected, true},
		{episode.Suspected, episode.Failing, true},
		{episode.Healthy, episode.CertainlyFailing, true},
		{episode.Failing, episode.CertainlyFailing, false},
		{episode.CertainlyFailing, episode.Failing, false},
		{episode.CertainlyFailing, episode.Suspected, true},
		{episode.Failing, episode.Healthy, true},
		{episode.Suspected, episode.Healthy, false},
		{episode.Healthy, episode.Healthy, false},
	}
	for _, tt := range tests {
		if got := episode.ShouldAnnounce(tt.before, tt.now); got != tt.want {
			t.Errorf("from %d to %d: got news %v, want %v", tt.before, tt.now, got, tt.want)
		}
	}
}

// An upstream loses some of its answers. That breaks connections, as a link between or
// a node that ends does, and must weigh less than a failure that it tells itself.
func TestTornAnswersWeighLess(t *testing.T) {
	told, torn := episode.NewDetector(), episode.NewDetector()
	told.Observe(1, health.Observation{Result: health.Failed})
	torn.Observe(1, health.Observation{Result: health.Failed, IsTruncated: true})
	if got, most := torn.Status(1).Severity, told.Status(1).Severity; got >= most {
		t.Errorf("got severity %.3f after a torn answer, want less than %.3f", got, most)
	}
}
