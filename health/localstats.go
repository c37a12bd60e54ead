package health

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// The windows, in outcomes, over which the shares of failures are averaged. The
	// short one must follow a common fault that fails 100% of the requests before the
	// tests reach their thresholds, the medium one a fault that fails 10% or 30%. The
	// long one distinguishes 1% from 2%.
	shortWindow  = 16
	mediumWindow = 48
	longWindow   = 256
	// shortNoise is subtracted from the short window's share, which varies by as much
	// in a healthy upstream. Without it, the baseline was higher, and with it the 99th
	// percentile of the time to detection by a quarter.
	shortNoise = 0.05
	// minOutcomes is the number of outcomes before the local baseline is published.
	minOutcomes = 20
	// latencySamples is the number of samples retained for the median and the tail:
	// three slow ones move the tail.
	latencySamples = 32
	// tailQuantile is the quantile of the latencies that is the tail.
	tailQuantile = 0.9
	// sortInterval is the number of samples between updates of the median and the
	// tail. It bounds their cost.
	sortInterval = 4
)

// sample is the latency of one answer, and whether it was excluded from the evidence.
type sample struct {
	latency  clock.Millis
	excluded bool
}

// localStats holds an upstream's recent shares of failures and its latencies.
type localStats struct {
	outcomes                              int
	shortFailed, mediumFailed, longFailed float64
	samples                               [latencySamples]sample
	sampleCount                           int
	median, tail                          clock.Millis
}

func (l *localStats) recordOutcome(bad bool) {
	l.outcomes++
	x := 0.0
	if bad {
		x = 1
	}
	l.shortFailed += (x - l.shortFailed) / shortWindow
	l.mediumFailed += (x - l.mediumFailed) / mediumWindow
	// Until longWindow is full, this share is a plain mean.
	l.longFailed += (x - l.longFailed) / float64(min(l.outcomes, longWindow))
}

func (l *localStats) addSample(s sample) {
	l.samples[l.sampleCount%latencySamples] = s
	l.sampleCount++
	if l.sampleCount%sortInterval == 0 {
		l.updateQuantiles()
	}
}

func (l *localStats) updateQuantiles() {
	var sorted [latencySamples]clock.Millis
	n := min(l.sampleCount, latencySamples)
	for i := range n {
		sorted[i] = l.samples[i].latency
	}
	slices.Sort(sorted[:n])
	l.median = sorted[n/2]
	l.tail = sorted[int(tailQuantile*float64(n))]
}

// visitLatest calls visit with the n latest samples, or as many as are retained, the
// oldest first.
func (l *localStats) visitLatest(n int, visit func(sample)) {
	n = min(n, l.sampleCount, latencySamples)
	for i := l.sampleCount - n; i < l.sampleCount; i++ {
		visit(l.samples[i%latencySamples])
	}
}

// baseline returns the figures to publish to other nodes. Its share of failures is the
// highest of the three windows, because a baseline that is too low ejects healthy
// upstreams.
func (l *localStats) baseline() Baseline {
	return Baseline{
		Known:   l.outcomes >= minOutcomes,
		Failed:  max(l.shortFailed-shortNoise, l.mediumFailed, l.longFailed),
		Latency: l.median,
		Tail:    l.tail,
	}
}

// Median returns the baseline of a service, the median of each figure over the baselines
// of all gates in view. The result is known if those of at least two gates and of half
// the gates in view are. Of an even count it takes the lower of the middle two, so that
// half of the upstreams may fail without raising the baseline.
func Median(all []Baseline) Baseline {
	var known int
	for i := range all {
		if all[i].Known {
			known++
		}
	}
	if known < 2 || 2*known < len(all) {
		return Baseline{}
	}
	var shares [medianStackSize]float64
	var durations [medianStackSize]clock.Millis
	return Baseline{
		Known:   true,
		Failed:  lowerMedian(all, shares[:0], func(b *Baseline) float64 { return b.Failed }),
		Latency: lowerMedian(all, durations[:0], func(b *Baseline) clock.Millis { return b.Latency }),
		Tail:    lowerMedian(all, durations[:0], func(b *Baseline) clock.Millis { return b.Tail }),
		Age:     lowerMedian(all, durations[:0], func(b *Baseline) clock.Millis { return b.Age }),
	}
}

// medianStackSize is the number of gates up to which Median doesn't allocate, as it runs
// once for each request.
const medianStackSize = 64

// lowerMedian returns the lower median of one figure over the known baselines. It uses
// values as scratch space.
func lowerMedian[T float64 | clock.Millis](all []Baseline, values []T, figure func(*Baseline) T) T {
	for i := range all {
		if all[i].Known {
			values = append(values, figure(&all[i]))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
