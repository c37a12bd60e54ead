package health

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// The outcomes over which the shares of failures fade. The quick share
	// must follow a common fault of 100% before the tests end, the middle one
	// a fault of 10% or 30%; the steady one tells 1% from 2%.
	shortWindow  = 16
	mediumWindow = 48
	longWindow   = 256
	// shortNoise is taken off the quick share, which scatters by as much
	// in a healthy upstream. Left in, it raised what is held for usual and
	// with it the 99th percentile of detection by a quarter.
	shortNoise = 0.05
	// minOutcomes are needed before the own figures are worth telling.
	minOutcomes = 20
	// latencySamples kept for median and tail: three slow ones move the tail.
	latencySamples = 32
	// tailQuantile is the part of the latencies up to the tail.
	tailQuantile = 0.9
	// sortInterval bounds the cost of median and tail.
	sortInterval = 4
)

// sample is the latency of one answer, and whether it was left out of the
// evidence.
type sample struct {
	latency  clock.Millis
	excluded bool
}

// localStats holds an upstream's recent figures.
type localStats struct {
	outcomes                              int
	shortFailed, mediumFailed, longFailed float64
	samples                               [latencySamples]sample
	sampleCount                           int
	median, tail                          clock.Millis
}

// recordOutcome takes an outcome that was good or bad.
func (o *localStats) recordOutcome(bad bool) {
	o.outcomes++
	x := 0.0
	if bad {
		x = 1
	}
	o.shortFailed += (x - o.shortFailed) / shortWindow
	o.mediumFailed += (x - o.mediumFailed) / mediumWindow
	// Until the steady share has its memory full it is a plain mean.
	o.longFailed += (x - o.longFailed) / float64(min(o.outcomes, longWindow))
}

func (o *localStats) addSample(s sample) {
	o.samples[o.sampleCount%latencySamples] = s
	o.sampleCount++
	if o.sampleCount%sortInterval == 0 {
		o.updateQuantiles()
	}
}

func (o *localStats) updateQuantiles() {
	var sorted [latencySamples]clock.Millis
	n := min(o.sampleCount, latencySamples)
	for i := range n {
		sorted[i] = o.samples[i].latency
	}
	slices.Sort(sorted[:n])
	o.median = sorted[n/2]
	o.tail = sorted[int(tailQuantile*float64(n))]
}

// visitLatest calls visit with the n latest samples, the oldest first.
func (o *localStats) visitLatest(n int, visit func(sample)) {
	n = min(n, o.sampleCount, latencySamples)
	for i := o.sampleCount - n; i < o.sampleCount; i++ {
		visit(o.samples[i%latencySamples])
	}
}

// baseline returns the figures as other judges take them. The highest
// share: a baseline that is too low sets healthy upstreams aside.
func (o *localStats) baseline() Baseline {
	return Baseline{
		Known:   o.outcomes >= minOutcomes,
		Failed:  max(o.shortFailed-shortNoise, o.mediumFailed, o.longFailed),
		Latency: o.median,
		Tail:    o.tail,
	}
}

// Median returns the usual figures of a service, given those of all gates in
// view. It is known when at least two gates and half of those in view told
// theirs. Of an even count it takes the lower one of the middle two, so that
// half of the upstreams may be sick without their becoming the usual.
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
	var spans [medianStackSize]clock.Millis
	return Baseline{
		Known:   true,
		Failed:  lowerMedian(all, shares[:0], func(b *Baseline) float64 { return b.Failed }),
		Latency: lowerMedian(all, spans[:0], func(b *Baseline) clock.Millis { return b.Latency }),
		Tail:    lowerMedian(all, spans[:0], func(b *Baseline) clock.Millis { return b.Tail }),
		Age:     lowerMedian(all, spans[:0], func(b *Baseline) clock.Millis { return b.Age }),
	}
}

// medianStackSize is the number of gates up to which Median needs no memory but the
// stack's: it runs once for each request.
const medianStackSize = 64

// lowerMedian returns the lower median of a figure of the known ones.
func lowerMedian[T float64 | clock.Millis](all []Baseline, values []T, figure func(*Baseline) T) T {
	for i := range all {
		if all[i].Known {
			values = append(values, figure(&all[i]))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
