package measure

import (
	"runtime"
	"slices"
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Repeat plays the scenario under each of the seeds 1 to runs and adds up the
// results, in the order of the seeds.
func Repeat(size Size, scenario Scenario, rule Rule, runs int) Figures {
	results := make([]Figures, runs)
	var group sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range runs {
		places <- struct{}{}
		group.Go(func() {
			results[i] = Run(size, scenario, rule, uint64(i+1)<<20)
			<-places
		})
	}
	group.Wait()
	var sum Figures
	for i := range results {
		sum.Add(results[i])
	}
	return sum
}

// Quantile returns the value that the part q of the values don't exceed, 0 of
// none.
func Quantile[T int | clock.Millis](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
