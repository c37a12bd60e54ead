// Package episode detects failures of backend servers that fail in short episodes: for
// seconds at a time, a server fails most of its requests although its health checks pass,
// and other servers of its service do the same. It fails the requests immediately or lets
// them hang.
//
// A test that compares an upstream with the others of its service, or that needs ten
// outcomes, is too slow and too lenient for such failures. A Filter instead estimates the
// probability that its upstream is in an episode. It weighs each run, that is, each
// request at the upstream, by the likelihood ratio of its outcome or of its age so far.
// Without new outcomes the probability decays to its stationary value. The package reads
// no clock and does no I/O.
package episode

import (
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// The assumed rates: an upstream has an episode about every half minute and fails most of
// its requests during it.
const (
	// onsetRate and recoveryRate are the rates per millisecond at which episodes begin
	// and end.
	onsetRate    = 1.0 / float64(25*clock.Second)
	recoveryRate = 1.0 / float64(15*clock.Second)
	// stationary is the share of time in episodes that follows from these rates.
	stationary = onsetRate / (onsetRate + recoveryRate)
	// prior is the initial probability of an upstream without outcomes.
	prior = 0.1
	// minProbability and maxProbability keep a long sequence of equal outcomes from
	// outweighing the next different ones.
	minProbability = 0.002
	maxProbability = 0.998
)

// The likelihood ratios: how many times more likely an outcome is during an episode than
// otherwise.
const (
	goodWeight = 0.2
	// slowWeight applies to a run that was served, but among the slowest slowShare of
	// runs. One among the slowest neutralShare is no evidence.
	slowWeight   = 8
	slowShare    = 0.02
	neutralShare = 0.1
	// failedWeight allows for failures of calls that a healthy upstream makes elsewhere.
	failedWeight = 40
	// brokenWeight applies to connections that end without an answer, which may have
	// causes other than the upstream.
	brokenWeight = 12
	// overdueWeight applies to a run that takes very long, if the typical latency isn't
	// known.
	overdueWeight = 15
	// shedWeight applies to an upstream that refuses a request although it has free slots.
	shedWeight = 3
	// failingShare is the share of the runs begun during an episode that fail.
	failingShare = 0.8
)

const (
	// overdueAfter is the age from which a run is evidence if the typical latency isn't
	// known.
	overdueAfter = 5 * clock.Second
	// maxRuns bounds the runs whose weight is computed anew for each probability.
	maxRuns = 64
)

// Result classifies the outcome of one request.
type Result uint8

// The results. All but Neutral are evidence.
const (
	Good Result = iota
	Failed
	Broken
	Overdue
	Shed
	// Stopped runs were cut off before they ended; their age is the evidence.
	Stopped
	// Neutral runs are no evidence.
	Neutral
)

// Run is one request at the upstream.
type Run struct {
	began   clock.Millis
	typical TypicalLatency
	ended   bool
	weight  float64 // set once the run has ended
}

// Filter estimates the probability that an upstream is in an episode. It is not safe for
// concurrent use. The zero Filter is not usable; use New.
type Filter struct {
	// base is the probability at the instant at. runs are those begun since, in the order
	// of their start, because a run is evidence about the time when it began.
	base     float64
	at       clock.Millis
	runs     []*Run
	failures FailureModes
	// peerHangShare is the hang share of the service's other upstreams that came with
	// the latest run that had one.
	peerHangShare HangShare
}

// New returns a Filter for an upstream without outcomes.
func New(now clock.Millis) *Filter {
	return &Filter{base: prior, at: now}
}

// Observe records the result of a run that begins and ends now.
func (f *Filter) Observe(now clock.Millis, r Result) {
	f.End(now, f.Begin(now, TypicalLatency{}), r)
}

// Begin records that a run starts at the upstream, and its typical latency.
func (f *Filter) Begin(now clock.Millis, typical TypicalLatency) *Run {
	r := &Run{began: max(now, f.lastBegan()), typical: typical}
	if typical.HangShare.IsKnown() {
		f.peerHangShare = typical.HangShare
	}
	f.runs = append(f.runs, r)
	f.foldRuns(now)
	return r
}

// End records the result of a run.
func (f *Filter) End(now clock.Millis, r *Run, result Result) {
	weight := f.resultWeight(now, r, result)
	if result == Stopped || result == Overdue {
		f.failures.AddHung(f.HangProbability(now, r))
	}
	r.weight, r.ended = weight, true
	if (result == Failed || result == Broken) && now-r.began < ImmediateWindow {
		f.failures.AddImmediate(f.Probability(now))
	}
	f.foldRuns(now)
}

// Probability returns the probability that the upstream is in an episode now.
func (f *Filter) Probability(now clock.Millis) float64 {
	p, at := f.base, f.at
	for _, r := range f.runs {
		p = updateOdds(Drift(p, r.began-at), f.weight(now, r))
		at = r.began
	}
	return Drift(p, now-at)
}

// checkShares determine the ages at which a run is checked again: at each age, that share of
// runs of typical latency is still unfinished.
var checkShares = []float64{0.5, 0.35, 0.25, 0.17, 0.1, 0.07, 0.05, 0.03, 0.02, 0.01, 0.005, 0.001}

// NextCheck returns the instant at which to check an unfinished run again: when it reaches
// the next age that one of checkShares belongs to.
func (*Filter) NextCheck(now clock.Millis, r *Run) clock.Millis {
	if !r.typical.IsKnown() {
		return max(r.began+overdueAfter, now+clock.Second)
	}
	for _, share := range checkShares {
		if at := max(r.began+r.typical.UpperQuantile(share), r.began+ImmediateWindow+1); at > now {
			return at
		}
	}
	return now + max(r.typical.Median, clock.Second)
}

// HangProbability returns the probability that a run hangs, that is, never ends by itself.
func (f *Filter) HangProbability(now clock.Millis, r *Run) float64 {
	if !r.typical.IsKnown() || now-r.began < ImmediateWindow {
		return 0
	}
	odds := f.Probability(now)
	odds = odds / (1 - odds) / f.weight(now, r) // the odds without this run's own weight
	hangs := odds * failingShare * f.failures.HangProbability(f.peerHangShare)
	return hangs / (hangs + (odds*(1-failingShare)+1)*r.typical.Survival(now-r.began))
}

// lastBegan returns the start of the latest run.
func (f *Filter) lastBegan() clock.Millis {
	if n := len(f.runs); n > 0 {
		return f.runs[n-1].began
	}
	return f.at
}

// foldRuns moves the oldest runs into the base probability and drops them: those that have
// ended, up to the first unfinished one, and any beyond maxRuns.
func (f *Filter) foldRuns(now clock.Millis) {
	count := 0
	for count < len(f.runs) && (f.runs[count].ended || len(f.runs)-count > maxRuns) {
		r := f.runs[count]
		f.base = updateOdds(Drift(f.base, r.began-f.at), f.weight(now, r))
		f.at = r.began
		count++
	}
	f.runs = slices.Delete(f.runs, 0, count)
}

// weight returns the likelihood ratio of a run: of its result, or of its age if it is
// unfinished.
func (f *Filter) weight(now clock.Millis, r *Run) float64 {
	if r.ended {
		return r.weight
	}
	return f.ageWeight(now, r)
}

// ageWeight returns the likelihood ratio of a run that is unfinished at its age. A run that
// fails either has failed within ImmediateWindow or hangs.
func (f *Filter) ageWeight(now clock.Millis, r *Run) float64 {
	age := now - r.began
	switch {
	case age < ImmediateWindow:
		return 1
	case r.typical.IsKnown():
		return 1 - failingShare + failingShare*f.failures.HangProbability(f.peerHangShare)/r.typical.Survival(age)
	case age >= overdueAfter:
		return overdueWeight
	default:
		return 1
	}
}

// resultWeight returns the likelihood ratio of a run that ends now with result.
func (f *Filter) resultWeight(now clock.Millis, r *Run, result Result) float64 {
	switch result {
	case Good:
		return f.servedWeight(now, r)
	case Failed:
		return failedWeight
	case Broken:
		return brokenWeight
	case Overdue:
		return overdueWeight
	case Shed:
		return shedWeight
	case Stopped:
		return f.ageWeight(now, r)
	default:
		return 1
	}
}

// servedWeight returns the likelihood ratio of a run that is served now.
func (*Filter) servedWeight(now clock.Millis, r *Run) float64 {
	if !r.typical.IsKnown() {
		return goodWeight
	}
	switch survival := r.typical.Survival(now - r.began); {
	case survival < slowShare:
		return slowWeight
	case survival < neutralShare:
		return 1
	default:
		return goodWeight
	}
}

// Drift returns the probability of an episode after age without new outcomes, given the
// probability at its start.
func Drift(probability float64, age clock.Millis) float64 {
	if age <= 0 {
		return probability
	}
	return stationary + (probability-stationary)*math.Exp(-(onsetRate+recoveryRate)*float64(age))
}

// updateOdds returns the probability after evidence with the likelihood ratio weight.
func updateOdds(probability, weight float64) float64 {
	odds := probability / (1 - probability) * weight
	return min(max(odds/(1+odds), minProbability), maxProbability)
}
