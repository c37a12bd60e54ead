package speed

import "math"

const (
	// maxLevels bounds the concurrency that is told apart; runs with more count as with
	// maxLevels.
	maxLevels = 64
	// levelWindow is the number of recent runs that count for each number of concurrent
	// requests. With a spread of run times of 0.4 it is enough to detect a slowdown of 0.25
	// at one of five levels.
	levelWindow = 128
	// minLevelRuns is the number of runs that either side needs.
	minLevelRuns = 16
	// minSlowdown is the increase of the logarithm of the run time that counts: one by 0.15
	// costs less than the wait for a slot elsewhere.
	minSlowdown = 0.15
	// minEvidence is the difference in standard errors that counts. All levels are compared
	// after each run, and with 3 a wrong slowdown would show up now and then.
	minEvidence = 4
)

// Levels finds the concurrency from which an upstream slows down, by the gradient of the run
// time over the number of concurrent requests. The zero value is ready to use. It is not safe
// for concurrent use.
type Levels struct {
	// sums are indexed by the number of concurrent requests, less 1.
	sums []levelSums
}

// levelSums are weighted sums over the runs with the same number of concurrent requests.
type levelSums struct {
	count, ratio, squares float64
}

func (s *levelSums) add(other levelSums) {
	s.count += other.count
	s.ratio += other.ratio
	s.squares += other.squares
}

func (s *levelSums) mean() float64 {
	return s.ratio / s.count
}

// Observe records the logarithm of a run's time relative to the typical one.
func (l *Levels) Observe(concurrent int, ratio float64) {
	i := min(max(concurrent, 1), maxLevels) - 1
	for len(l.sums) <= i {
		l.sums = append(l.sums, levelSums{})
	}
	s := &l.sums[i]
	if s.count >= levelWindow {
		const decay = 1 - 1.0/levelWindow
		s.count, s.ratio, s.squares = s.count*decay, s.ratio*decay, s.squares*decay
	}
	s.add(levelSums{count: 1, ratio: ratio, squares: ratio * ratio})
}

// Knee returns the number of concurrent requests above which runs take longer, 0 if there is
// no evidence of one. It splits the levels in two at the point that explains most of the
// variance of the run times.
func (l *Levels) Knee() int {
	var total, below levelSums
	for _, s := range l.sums {
		total.add(s)
	}
	knee, best := 0, 0.0
	for i, s := range l.sums {
		below.add(s)
		above := levelSums{count: total.count - below.count, ratio: total.ratio - below.ratio, squares: total.squares - below.squares}
		if below.count < minLevelRuns || above.count < minLevelRuns {
			continue
		}
		slowdown := above.mean() - below.mean()
		weight := below.count * above.count / total.count
		within := total.squares - below.count*below.mean()*below.mean() - above.count*above.mean()*above.mean()
		standardError := math.Sqrt(max(within, 0) / total.count / weight)
		if explained := weight * slowdown * slowdown; slowdown > minSlowdown && slowdown > minEvidence*standardError && explained > best {
			knee, best = i+1, explained
		}
	}
	return knee
}
