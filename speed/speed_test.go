package speed_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/speed"
)

// upstream is a simulated upstream. Above knee concurrent requests, each further one makes a
// run slower by slowdown.
type upstream struct {
	slots, knee     int
	speed, slowdown float64
}

const (
	typicalTime = 300 * clock.Millis(1)
	// timeSpread is the standard deviation of the logarithm of run times.
	timeSpread = 0.4
)

// play runs an upstream under a load that varies between 0.2 and 1 of its slots within 13 s,
// and passes its runs to observe in the order of their ends.
func play(seed uint64, u upstream, runs int, observe func(speed.Run)) {
	random := rand.New(rand.NewPCG(seed, 0))
	type end struct {
		at  float64
		run speed.Run
	}
	var active []end
	for now := 0.0; runs > 0; {
		load := float64(u.slots) * (0.6 + 0.4*math.Sin(2*math.Pi*now/13_000))
		now += random.ExpFloat64() * float64(typicalTime) / load
		for len(active) > 0 && active[0].at <= now {
			observe(active[0].run)
			active = active[1:]
			runs--
		}
		if len(active) >= u.slots {
			continue
		}
		concurrent := len(active) + 1
		took := float64(typicalTime) / u.speed * math.Exp(timeSpread*random.NormFloat64())
		took *= 1 + u.slowdown*float64(max(concurrent-u.knee, 0))
		active = append(active, end{now + took, speed.Run{Took: clock.Millis(took), Typical: typicalTime, Concurrent: concurrent}})
		slices.SortFunc(active, func(a, b end) int { return int(math.Copysign(1, a.at-b.at)) })
	}
}

// additive is the other method: it raises the limit by 1 for as many runs in time as the limit
// at the limit, and lowers it by a tenth after slow ones. Runs with one other request at most
// show how long a run takes without a slowdown.
type additive struct {
	slots                int
	limit, ratio, unslow float64
}

func (a *additive) observe(r speed.Run) {
	const window, tolerance = 16, 0.2
	a.ratio += (speed.LogRatio(r) - a.ratio) / window
	if r.Concurrent <= 2 {
		a.unslow += (speed.LogRatio(r) - a.unslow) / window
	}
	switch atLimit := float64(r.Concurrent) >= a.limit; {
	case atLimit && a.ratio > a.unslow+tolerance:
		a.limit = max(a.limit*0.9, 1)
	case atLimit:
		a.limit = min(a.limit+1/a.limit, float64(a.slots))
	}
}

// An upstream that slows down when it is nearly full gets as many requests as one that
// doesn't if no component learns that, and is then the busiest one of its service.
func TestGradientFindsConcurrencyBetterThanAIMD(t *testing.T) {
	const seeds, runs = 40, 1500
	tests := []struct {
		name string
		upstream
		want     int
		maxError float64
	}{
		{"slows down from 5 of 8", upstream{slots: 8, knee: 4, speed: 1, slowdown: 0.3}, 4, 1},
		{"slows down from 4 of 5", upstream{slots: 5, knee: 3, speed: 1, slowdown: 0.5}, 3, 1},
		{"a slow one that slows down", upstream{slots: 8, knee: 4, speed: 0.6, slowdown: 0.3}, 4, 1},
		{"never slows down", upstream{slots: 8, knee: 8, speed: 1}, 8, 0.3},
		{"a slow one that never slows down", upstream{slots: 5, knee: 5, speed: 0.6}, 5, 0.3},
	}
	gradientSum, additiveSum, fixedSum := 0.0, 0.0, 0.0
	for _, tt := range tests {
		gradientError, additiveError := 0.0, 0.0
		for seed := range uint64(seeds) {
			var levels speed.Levels
			other := &additive{slots: tt.slots, limit: float64(tt.slots)}
			play(seed, tt.upstream, runs, func(r speed.Run) {
				levels.Observe(r.Concurrent, speed.LogRatio(r))
				other.observe(r)
			})
			knee := levels.Knee()
			if knee == 0 {
				knee = tt.slots
			}
			gradientError += math.Abs(float64(knee-tt.want)) / seeds
			additiveError += math.Abs(other.limit-float64(tt.want)) / seeds
		}
		fixedError := float64(tt.slots - tt.want)
		t.Logf("%s: mean error of gradient %.2f, AIMD %.2f, all slots %.0f", tt.name, gradientError, additiveError, fixedError)
		if gradientError > tt.maxError {
			t.Errorf("%s: got a mean error of %.2f, want %.2f at most", tt.name, gradientError, tt.maxError)
		}
		gradientSum, additiveSum, fixedSum = gradientSum+gradientError, additiveSum+additiveError, fixedSum+fixedError
	}
	if gradientSum >= additiveSum || gradientSum >= fixedSum {
		t.Errorf("got errors of %.2f, want less than AIMD's %.2f and the %.2f of all slots", gradientSum, additiveSum, fixedSum)
	}
}

// Runs that wait for one another must not count as slowness: the upstream would get less load,
// look faster, get more, and so on.
func TestSpeedDoesNotDependOnLoad(t *testing.T) {
	for _, want := range []float64{0.5, 1, 2} {
		var learner speed.Learner
		play(1, upstream{slots: 8, knee: 4, speed: want, slowdown: 0.3}, 1500, learner.Observe)
		if got := learner.Estimate().Speed; math.Abs(got-want) > 0.25*want {
			t.Errorf("got speed %.2f, want %.2f within a quarter", got, want)
		}
	}
}

// A new process must count as average until its own runs show otherwise, and must not be
// judged by its first run.
func TestNewProcessCountsAsAverage(t *testing.T) {
	var learner speed.Learner
	if got := learner.Estimate(); got != (speed.Estimate{Speed: 1}) {
		t.Errorf("got %+v without runs, want speed 1 and no concurrency", got)
	}
	learner.Observe(speed.Run{Took: 20 * typicalTime, Typical: typicalTime, Concurrent: 1})
	learner.Observe(speed.Run{Took: 9 * typicalTime, Concurrent: 1})
	if got := learner.Estimate().Speed; got < 0.6 {
		t.Errorf("got speed %.2f after one slow run, want 0.6 at least", got)
	}
}
