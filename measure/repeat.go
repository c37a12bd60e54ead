package measure

import (
	"runtime"
	"slices"
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Repeat runs the scenario with as many different seeds as runs says and returns the
// sum of the results. The same arguments give the same figures: results are added in the
// order of the seeds, whichever run ends first.
func Repeat(size Size, scenario Scenario, rule Rule, runs int) Figures {
	results := make([]Figures, runs)
	var group sync.WaitGroup
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range runs {
		semaphore <- struct{}{}
		group.Go(func() {
			results[i] = Run(size, scenario, rule, uint64(i+1)<<20)
			<-semaphore
		})
	}
	group.Wait()
	var sum Figures
	for i := range results {
		sum.Add(results[i])
	}
	return sum
}

// Quantile returns the quantile q, from 0 to 1, of the values, or 0 if there are none.
func Quantile[T int | clock.Millis](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
