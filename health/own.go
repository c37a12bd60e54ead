package health

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// The outcomes over which the shares of failures fade. The quick share
	// must follow a common fault of 100% before the tests end, the middle one
	// a fault of 10% or 30%; the steady one tells 1% from 2%.
	quickMemory  = 16
	middleMemory = 48
	steadyMemory = 256
	// quickScatter is taken off the quick share, which scatters by as much
	// in a healthy upstream. Left in, it raised what is held for usual and
	// with it the 99th percentile of detection by a quarter.
	quickScatter = 0.05
	// ownOutcomes are needed before the own figures are worth telling.
	ownOutcomes = 20
	// latencies kept for median and tail: three slow ones move the tail.
	latencies = 32
	// tailPart is the part of the latencies up to the tail.
	tailPart = 0.9
	// sortEvery bounds the cost of median and tail.
	sortEvery = 4
)

// sample is the latency of one answer, and whether it was left out of the
// evidence.
type sample struct {
	latency clock.Millis
	excused bool
}

// own holds an upstream's recent figures.
type own struct {
	outcomes              int
	quick, middle, steady float64
	samples               [latencies]sample
	taken                 int
	median, tail          clock.Millis
}

// count takes an outcome that was good or bad.
func (o *own) count(bad bool) {
	o.outcomes++
	x := 0.0
	if bad {
		x = 1
	}
	o.quick += (x - o.quick) / quickMemory
	o.middle += (x - o.middle) / middleMemory
	// Until the steady share has its memory full it is a plain mean.
	o.steady += (x - o.steady) / float64(min(o.outcomes, steadyMemory))
}

func (o *own) sample(s sample) {
	o.samples[o.taken%latencies] = s
	o.taken++
	if o.taken%sortEvery == 0 {
		o.sort()
	}
}

func (o *own) sort() {
	var sorted [latencies]clock.Millis
	n := min(o.taken, latencies)
	for i := range n {
		sorted[i] = o.samples[i].latency
	}
	slices.Sort(sorted[:n])
	o.median = sorted[n/2]
	o.tail = sorted[int(tailPart*float64(n))]
}

// last calls visit with the n latest samples, the oldest first.
func (o *own) last(n int, visit func(sample)) {
	n = min(n, o.taken, latencies)
	for i := o.taken - n; i < o.taken; i++ {
		visit(o.samples[i%latencies])
	}
}

// baseline returns the figures as other judges take them. The highest
// share: a baseline that is too low sets healthy upstreams aside.
func (o *own) baseline() Baseline {
	return Baseline{
		Known:   o.outcomes >= ownOutcomes,
		Failed:  max(o.quick-quickScatter, o.middle, o.steady),
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
	var shares [medianRoom]float64
	var spans [medianRoom]clock.Millis
	return Baseline{
		Known:   true,
		Failed:  middle(all, shares[:0], func(b *Baseline) float64 { return b.Failed }),
		Latency: middle(all, spans[:0], func(b *Baseline) clock.Millis { return b.Latency }),
		Tail:    middle(all, spans[:0], func(b *Baseline) clock.Millis { return b.Tail }),
		Age:     middle(all, spans[:0], func(b *Baseline) clock.Millis { return b.Age }),
	}
}

// medianRoom is the number of gates up to which Median needs no memory but the
// stack's: it runs once for each request.
const medianRoom = 64

// middle returns the lower median of a figure of the known ones.
func middle[T float64 | clock.Millis](all []Baseline, values []T, figure func(*Baseline) T) T {
	for i := range all {
		if all[i].Known {
			values = append(values, figure(&all[i]))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
