package grade_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/grade"
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
			f := grade.New(0)
			now := run(r, f, 0, 20*clock.Second, perSecond, 0.012)
			began, failed := now, 0
			for f.Probability(now) < grade.Aside {
				now += gap(r, perSecond)
				if r.Float64() < 0.85 {
					failed++
					f.Observe(now, grade.Failed)
				} else {
					f.Observe(now, grade.Good)
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
		f := grade.New(0)
		for now := clock.Millis(0); now < 5*clock.Minute; {
			step := gap(r, 5)
			if f.Probability(now) >= grade.Aside {
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
	f := grade.New(0)
	for now := clock.Millis(0); now < 5*clock.Second; now += clock.Second {
		f.Observe(now, grade.Failed)
	}
	now, good := 5*clock.Second, 0
	for f.Probability(now) >= grade.Aside {
		now += clock.Second
		f.Observe(now, grade.Good)
		good++
	}
	if good < 2 || good > 4 {
		t.Errorf("got %d good trials until it was back, want 2 to 4", good)
	}
}

// Nothing is heard of an upstream, as its service gets no requests. A verdict
// that stayed would outlive the episode; it fades to what is usual.
func TestVerdictFadesWithoutNews(t *testing.T) {
	f := grade.New(0)
	f.Observe(1, grade.Failed)
	f.Observe(2, grade.Failed)
	if got := f.Probability(3); got < grade.Aside {
		t.Fatalf("got %.3f after two failures, want it set aside", got)
	}
	if got := f.Probability(clock.Minute); got >= grade.Aside {
		t.Errorf("got %.3f after a minute without news, want it in use", got)
	}
	if got, want := grade.Drift(f.Probability(3), 10*clock.Second), f.Probability(3+10*clock.Second); got-want > 1e-9 || want-got > 1e-9 {
		t.Errorf("got %v from the figure told, %v at the gate; want them equal", got, want)
	}
}

// A set aside upstream must not get a herd of trials when all entries find it due
// at once, nor work that can't be sent again.
func TestTrialsAreSpacedAndRepeatable(t *testing.T) {
	var trials grade.Trials
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

func run(r *rand.Rand, f *grade.Filter, now, until clock.Millis, perSecond, failing float64) clock.Millis {
	for now < until {
		now += gap(r, perSecond)
		observe(r, f, now, failing)
	}
	return now
}

func observe(r *rand.Rand, f *grade.Filter, now clock.Millis, failing float64) {
	result := grade.Good
	if r.Float64() < failing {
		result = grade.Failed
	}
	f.Observe(now, result)
}

func gap(r *rand.Rand, perSecond float64) clock.Millis {
	return 1 + clock.Millis(r.ExpFloat64()*1000/perSecond)
}

// An upstream hangs. Two runs without an answer, beside the good ones of before,
// must be enough to set it aside; one alone may be a slow call that it made.
func TestHangIsFoundInTwoOverdueRuns(t *testing.T) {
	f := grade.New(0)
	now := clock.Millis(0)
	for range 20 {
		now += 200
		f.Observe(now, grade.Good)
	}
	overdue := 0
	for f.Probability(now) < grade.Aside && overdue < 10 {
		now += 300
		f.Observe(now, grade.Overdue)
		overdue++
	}
	if overdue != 2 {
		t.Errorf("got it set aside after %d overdue runs, want 2", overdue)
	}
}

// A run that outlasts those of an episode is told before its end, which comes a
// second later. The outcome must not count for more than it does alone.
func TestLastingRunIsAnAdvanceOnItsOutcome(t *testing.T) {
	for _, r := range []grade.Result{grade.Good, grade.Failed, grade.Overdue} {
		early, whole := grade.New(0), grade.New(0)
		early.Lasting(20)
		if got := early.Probability(20); got >= whole.Probability(20) {
			t.Errorf("got %.3f after a run lasted, want less than %.3f", got, whole.Probability(20))
		}
		early.ObserveLasted(20, r)
		whole.Observe(20, r)
		if got, want := early.Probability(20), whole.Probability(20); got-want > 1e-9 || want-got > 1e-9 {
			t.Errorf("result %d: got %.4f, want %.4f as of the outcome alone", r, got, want)
		}
	}
}

// A failing upstream must be known at once, and one that is back; that a doubt is
// over may wait for a heartbeat.
func TestNewsAreWorseOrBack(t *testing.T) {
	tests := []struct {
		before, now grade.Level
		want        bool
	}{
		{grade.Sound, grade.Doubtful, true},
		{grade.Doubtful, grade.Failing, true},
		{grade.Sound, grade.Certain, true},
		{grade.Failing, grade.Certain, false},
		{grade.Certain, grade.Failing, false},
		{grade.Certain, grade.Doubtful, true},
		{grade.Failing, grade.Sound, true},
		{grade.Doubtful, grade.Sound, false},
		{grade.Sound, grade.Sound, false},
	}
	for _, tt := range tests {
		if got := grade.IsNews(tt.before, tt.now); got != tt.want {
			t.Errorf("from %d to %d: got news %v, want %v", tt.before, tt.now, got, tt.want)
		}
	}
}

// An upstream loses some of its answers. That breaks connections, as a link between or
// a node that ends does, and must weigh less than a failure that it tells itself.
func TestTornAnswersWeighLess(t *testing.T) {
	told, torn := grade.NewJudge(), grade.NewJudge()
	told.Observe(1, health.Observation{Result: health.Failed})
	torn.Observe(1, health.Observation{Result: health.Failed, IsTorn: true})
	if got, most := torn.Status(1).Severity, told.Status(1).Severity; got >= most {
		t.Errorf("got severity %.3f after a torn answer, want less than %.3f", got, most)
	}
}
