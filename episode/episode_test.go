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

// An upstream begins to fail 85% of its requests within milliseconds, although its health
// checks pass, and half of its service does the same. Requests that can't be repeated are
// lost there, so two failures must be enough to eject it. The rates are those of the
// specified load: 2 to 8 outcomes per second and upstream.
func TestDetectsEpisodeInTwoFailures(t *testing.T) {
	for _, perSecond := range []float64{2, 5, 8} {
		failures, delays := make([]int, 0, 400), make([]clock.Millis, 0, 400)
		for seed := range uint64(400) {
			r := rand.New(rand.NewPCG(seed, 1))
			f := episode.New(0)
			now := observeUntil(r, f, 0, 20*clock.Second, perSecond, 0.012)
			began, failed := now, 0
			for f.Probability(now) < episode.EjectThreshold {
				now += arrivalInterval(r, perSecond)
				if r.Float64() < 0.85 {
					failed++
					f.Observe(now, episode.Failed)
				} else {
					f.Observe(now, episode.Good)
				}
			}
			failures = append(failures, failed)
			delays = append(delays, now-began)
		}
		slices.Sort(failures)
		slices.Sort(delays)
		if got := failures[len(failures)/2]; got > 2 {
			t.Errorf("at %v a second: got a median of %d failures, want at most 2", perSecond, got)
		}
		if got := failures[len(failures)*99/100]; got > 4 {
			t.Errorf("at %v a second: got %d failures at p99, want at most 4", perSecond, got)
		}
		t.Logf("at %v a second: %v at p50, %v at p99", perSecond, delays[len(delays)/2], delays[len(delays)*99/100])
	}
}

// Healthy upstreams fail one request in eighty. If each of these failures caused an
// ejection, a service of nine upstreams would lose one every two seconds.
func TestHealthyUpstreamsAreSeldomEjected(t *testing.T) {
	ejected, total := clock.Millis(0), clock.Millis(0)
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		f := episode.New(0)
		for now := clock.Millis(0); now < 5*clock.Minute; {
			step := arrivalInterval(r, 5)
			if f.Probability(now) >= episode.EjectThreshold {
				ejected += step
			}
			total += step
			now += step
			observe(r, f, now, 0.012)
		}
	}
	if got := float64(ejected) / float64(total); got > 0.02 {
		t.Errorf("got %.4f of the time ejected, want at most 0.02", got)
	}
}

// An episode is over, and the upstream gets trial requests only. Two or three good ones
// must readmit it, or half of the service's capacity stays unused.
func TestTwoOrThreeGoodTrialsReadmit(t *testing.T) {
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
		t.Errorf("got %d good trials before the upstream was readmitted, want 2 to 4", good)
	}
}

// An upstream has no outcomes, because its service gets no requests. A constant probability
// would outlast the episode, so it must decay to the stationary value.
func TestProbabilityDecaysWithoutOutcomes(t *testing.T) {
	f := episode.New(0)
	f.Observe(1, episode.Failed)
	f.Observe(2, episode.Failed)
	if got := f.Probability(3); got < episode.EjectThreshold {
		t.Fatalf("got %.3f after two failures, want the upstream ejected", got)
	}
	if got := f.Probability(clock.Minute); got >= episode.EjectThreshold {
		t.Errorf("got %.3f after a minute without outcomes, want the upstream in use", got)
	}
	if got, want := episode.Drift(f.Probability(3), 10*clock.Second), f.Probability(3+10*clock.Second); got-want > 1e-9 || want-got > 1e-9 {
		t.Errorf("got %v from the published probability, %v at the gate; want them equal", got, want)
	}
}

// An ejected upstream must not get many trial requests together when all entries find that
// one is due, nor requests that can't be repeated.
func TestTrialsAreSpacedAndRepeatable(t *testing.T) {
	var trials episode.Trials
	admitted := 0
	for now := clock.Millis(0); now < 10*clock.Second; now += 10 {
		if trials.Admit(now, 0.99, false) {
			t.Fatal("got a request admitted that can't be repeated")
		}
		if trials.Admit(now, 0.99, true) {
			admitted++
		}
	}
	if admitted < 10 || admitted > 21 {
		t.Errorf("got %d trials in 10 s, want 10 to 21", admitted)
	}
}

// observeUntil observes random outcomes from now to until, and returns the instant of the
// last one, which is at or after until.
func observeUntil(r *rand.Rand, f *episode.Filter, now, until clock.Millis, perSecond, failing float64) clock.Millis {
	for now < until {
		now += arrivalInterval(r, perSecond)
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

// arrivalInterval returns a random time between two requests, at least 1 ms.
func arrivalInterval(r *rand.Rand, perSecond float64) clock.Millis {
	return 1 + clock.Millis(r.ExpFloat64()*1000/perSecond)
}

// An upstream hangs. After good runs, two overdue ones must be enough to eject it; a single
// one may be due to a slow call that the upstream makes elsewhere.
func TestDetectsHangInTwoOverdueRuns(t *testing.T) {
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
		t.Errorf("got the upstream ejected after %d overdue runs, want 2", overdue)
	}
}

// typical is the latency of a route whose runs take about half a second.
var typical = episode.TypicalLatency{Median: 500, Spread: 0.5}

// The age of an unfinished run is evidence before its outcome, which may come seconds later.
// The outcome must replace that evidence, not add to it.
func TestAgeAddsNoWeightToTheOutcome(t *testing.T) {
	for _, r := range []episode.Result{episode.Good, episode.Failed, episode.Broken, episode.Overdue, episode.Neutral} {
		checked, unchecked := episode.New(0), episode.New(0)
		checkedRun, uncheckedRun := checked.Begin(0, typical), unchecked.Begin(0, typical)
		for now := clock.Millis(0); now < 600; now += 50 {
			checked.Probability(now)
		}
		checked.End(600, checkedRun, r)
		unchecked.End(600, uncheckedRun, r)
		if got, want := checked.Probability(600), unchecked.Probability(600); got-want > 1e-9 || want-got > 1e-9 {
			t.Errorf("result %d: got %.4f, want %.4f as of the outcome alone", r, got, want)
		}
	}
}

// If failing runs fail immediately, a run that lasts is evidence that its upstream is healthy;
// if they hang, it is none. The filter must learn the failure mode from earlier failures, as
// no setting gives it.
func TestLongRunsLowerProbabilityOnlyWithoutHangs(t *testing.T) {
	immediate, hanging := episode.New(0), episode.New(0)
	for now := clock.Millis(0); now < 10*clock.Second; now += clock.Second {
		immediate.Observe(now, episode.Failed)
		r := hanging.Begin(now, typical)
		hanging.End(now+3900, r, episode.Stopped)
	}
	now := clock.Minute
	before := immediate.Probability(now)
	immediate.Begin(now, typical)
	hanging.Begin(now, typical)
	if got := immediate.Probability(now + 100); got >= before/2 {
		t.Errorf("fails immediately: got %.3f with a run of 100 ms, want less than half of %.3f", got, before)
	}
	if got := hanging.Probability(now + 100); got < 0.9*before {
		t.Errorf("hangs: got %.3f with a run of 100 ms, want at least 0.9 of %.3f", got, before)
	}
}

// Upstreams hang for ten seconds although their health checks pass. At the rates of the
// specified load, three to five runs begin per second. Detection by the time limit of the
// first run would send twenty more runs to the upstream.
func TestDetectsHangWithinAFewRuns(t *testing.T) {
	for _, tt := range []struct {
		perSecond float64
		maxDelay  clock.Millis // at p50
	}{{3, 1500}, {5, 1200}, {8, 1000}} {
		delays := make([]clock.Millis, 0, 200)
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 7))
			delays = append(delays, timeToDetectHang(r, tt.perSecond))
		}
		slices.Sort(delays)
		t.Logf("at %v a second: detected after %v at p50, %v at p90", tt.perSecond, delays[len(delays)/2], delays[len(delays)*9/10])
		if got := delays[len(delays)/2]; got > tt.maxDelay {
			t.Errorf("at %v a second: got the hang detected after %v at p50, want %v at most", tt.perSecond, got, tt.maxDelay)
		}
	}
}

// hangingRoute is typical with a published hang share of 95%, as entries observed it at
// other upstreams.
var hangingRoute = episode.TypicalLatency{Median: typical.Median, Spread: typical.Spread, HangShare: 96}

// timeToDetectHang simulates an upstream that begins to hang after ten seconds, and returns
// the time from then until it is ejected.
func timeToDetectHang(r *rand.Rand, perSecond float64) clock.Millis {
	const onset = 10 * clock.Second
	type pendingRun struct {
		run  *episode.Run
		ends clock.Millis
	}
	f := episode.New(0)
	var runs []pendingRun
	next := arrivalInterval(r, perSecond)
	for now := clock.Millis(0); ; now++ {
		runs = slices.DeleteFunc(runs, func(p pendingRun) bool {
			if p.ends > now {
				return false
			}
			f.End(now, p.run, episode.Good)
			return true
		})
		if now == next {
			ends := now + clock.Millis(float64(typical.Median)*math.Exp(typical.Spread*r.NormFloat64()))
			if now > onset && r.Float64() < 0.85 {
				ends = clock.Hour
			}
			runs = append(runs, pendingRun{f.Begin(now, hangingRoute), ends})
			next += arrivalInterval(r, perSecond)
		}
		if now > onset && now%10 == 0 && f.Probability(now) >= episode.EjectThreshold {
			return now - onset
		}
	}
}

// Some runs at healthy upstreams take many times as long as is typical, or wait for calls
// to other services. A healthy upstream that isn't overloaded must hardly ever be ejected
// for that.
func TestLongRunsSeldomEjectHealthyUpstream(t *testing.T) {
	ejected, total := 0, 0
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
				ejected++
			}
		}
	}
	if got := float64(ejected) / float64(total); got > 0.02 {
		t.Errorf("got %.4f of the time ejected, want at most 0.02", got)
	}
}

// A route's runs take a millisecond although its target is a second. Observed latencies must
// replace the prior from the target, or a run of a tenth of a second wouldn't look slow.
func TestLatencyProfileFollowsObservations(t *testing.T) {
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

// Entries must be notified immediately of an upstream that fails, and of one that no longer
// does. The end of a suspicion may wait for the next heartbeat.
func TestAnnouncesFailureAndRecovery(t *testing.T) {
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
			t.Errorf("from %d to %d: got announced %v, want %v", tt.before, tt.now, got, tt.want)
		}
	}
}

// An upstream truncates some of its answers. A broken network path or a node that stops
// truncates answers, too, so this must weigh less than a failure that the upstream reports.
func TestTruncatedAnswersWeighLess(t *testing.T) {
	failed, truncated := episode.NewDetector(), episode.NewDetector()
	failed.Observe(1, health.Observation{Result: health.Failed})
	truncated.Observe(1, health.Observation{Result: health.Failed, IsTruncated: true})
	if got, limit := truncated.Status(1).Severity, failed.Status(1).Severity; got >= limit {
		t.Errorf("got severity %.3f after a truncated answer, want less than %.3f", got, limit)
	}
}
