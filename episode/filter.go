// Package grade judges backend servers that fail in brief episodes: for seconds
// at a time one fails most of its requests, with good health answers, while others
// of its service do as well. It may fail them at once, or let them hang.
//
// A test that compares with the service's other upstreams, or that wants ten
// outcomes, is too slow and too lenient there. A Filter holds the probability
// that its upstream is in an episode: each run weighs by how much likelier it is in
// an episode what has become of it so far, and time alone draws the probability
// back to what is usual. It reads no clock and does no I/O.
package episode

import (
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// What is usual: an upstream meets an episode about every half minute and fails
// most of its requests in it.
const (
	// onsetRate and recovery are changes a millisecond.
	onsetRate    = 1.0 / float64(25*clock.Second)
	recoveryRate = 1.0 / float64(15*clock.Second)
	// stationary is the share of time in episodes that these two give.
	stationary = onsetRate / (onsetRate + recoveryRate)
	// prior is the probability for an upstream that nothing is known of.
	prior = 0.1
	// minProbability and most keep a long run of like outcomes from outweighing the next
	// ones of the other kind.
	minProbability = 0.002
	maxProbability = 0.998
)

// How many times likelier an outcome is in an episode than otherwise.
const (
	goodWeight = 0.2
	// slowWeight is for a run that was served, but among the slowest slowShare of them.
	// One among the slowest lateShare says nothing.
	slowWeight = 8
	slowShare  = 0.02
	lateShare  = 0.1
	// failedWeight allows for failures of calls that a sound upstream made.
	failedWeight = 40
	// brokenWeight is for connections that end without an answer: these have
	// causes beside the upstream's, too.
	brokenWeight = 12
	// overdueWeight is for a run that nothing is known of but that it takes very long.
	overdueWeight = 15
	// shedWeight is for an upstream that refuses with slots free.
	shedWeight = 3
	// failingShare is the share of the runs begun in an episode that fail.
	failingShare = 0.8
)

const (
	// overdueAfter is the age at which a run is evidence where nothing is known of the
	// time that it takes.
	overdueAfter = 5 * clock.Second
	// maxRuns bounds the runs that are looked at anew.
	maxRuns = 64
)

// Result is what one request came to.
type Result uint8

// The results that are evidence.
const (
	Good Result = iota
	Failed
	Broken
	Overdue
	Shed
	// Stopped runs have come to no end of their own; their age is the evidence.
	Stopped
	// Neutral runs say nothing.
	Neutral
)

// Run is one request at the upstream.
type Run struct {
	began   clock.Millis
	typical TypicalLatency
	ended   bool
	weight  float64 // once it has ended
}

// Filter holds the probability that an upstream is in an episode. It is not safe
// for concurrent use. The zero Filter isn't ready: use New.
type Filter struct {
	// base is the probability at an instant, runs those begun since in their order: what
	// a run shows is of the time when it began.
	base     float64
	at       clock.Millis
	runs     []*Run
	failures FailureModes
	// peerHangShare is how others of the service fail, as the latest run has it.
	peerHangShare HangShare
}

// New returns a filter of an upstream that nothing is known of.
func New(now clock.Millis) *Filter {
	return &Filter{base: prior, at: now}
}

// Observe takes in one outcome of a run that has just begun.
func (f *Filter) Observe(now clock.Millis, r Result) {
	f.End(now, f.Begin(now, TypicalLatency{}), r)
}

// Begin takes in that the upstream was given a run.
func (f *Filter) Begin(now clock.Millis, u TypicalLatency) *Run {
	r := &Run{began: max(now, f.lastBegan()), typical: u}
	if u.HangShare.IsKnown() {
		f.peerHangShare = u.HangShare
	}
	f.runs = append(f.runs, r)
	f.foldEnded(now)
	return r
}

// End takes in what became of a run.
func (f *Filter) End(now clock.Millis, r *Run, result Result) {
	weight := f.resultWeight(now, r, result)
	if result == Stopped || result == Overdue {
		f.failures.AddHung(f.HangProbability(now, r))
	}
	r.weight, r.ended = weight, true
	if (result == Failed || result == Broken) && now-r.began < ImmediateWindow {
		f.failures.AddImmediate(f.Probability(now))
	}
	f.foldEnded(now)
}

// Probability is that of an episode now.
func (f *Filter) Probability(now clock.Millis) float64 {
	p, at := f.base, f.at
	for _, r := range f.runs {
		p = updateOdds(Drift(p, r.began-at), f.weight(now, r))
		at = r.began
	}
	return Drift(p, now-at)
}

// checkShares are the shares of runs that one must have outlasted to be looked at again.
var checkShares = []float64{0.5, 0.35, 0.25, 0.17, 0.1, 0.07, 0.05, 0.03, 0.02, 0.01, 0.005, 0.001}

// NextCheck returns when to look next at a run that has come to no end: when it has outlasted
// another share of such runs.
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

// HangProbability is the probability that a run will come to no end of its own.
func (f *Filter) HangProbability(now clock.Millis, r *Run) float64 {
	if !r.typical.IsKnown() || now-r.began < ImmediateWindow {
		return 0
	}
	odds := f.Probability(now)
	odds = odds / (1 - odds) / f.weight(now, r) // as the other runs have it
	hangs := odds * failingShare * f.failures.HangProbability(f.peerHangShare)
	return hangs / (hangs + (odds*(1-failingShare)+1)*r.typical.Survival(now-r.began))
}

// lastBegan is the instant of the latest run.
func (f *Filter) lastBegan() clock.Millis {
	if n := len(f.runs); n > 0 {
		return f.runs[n-1].began
	}
	return f.at
}

// foldEnded sums up the first runs that have ended, and of too many the first in any case.
func (f *Filter) foldEnded(now clock.Millis) {
	count := 0
	for count < len(f.runs) && (f.runs[count].ended || len(f.runs)-count > maxRuns) {
		r := f.runs[count]
		f.base = updateOdds(Drift(f.base, r.began-f.at), f.weight(now, r))
		f.at = r.began
		count++
	}
	f.runs = slices.Delete(f.runs, 0, count)
}

// weight is how many times likelier it is in an episode what has become of a run.
func (f *Filter) weight(now clock.Millis, r *Run) float64 {
	if r.ended {
		return r.weight
	}
	return f.ageWeight(now, r)
}

// ageWeight is that of a run that has come to no end at its age: one that fails would have
// failed at once, or hangs.
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

func (*Filter) servedWeight(now clock.Millis, r *Run) float64 {
	if !r.typical.IsKnown() {
		return goodWeight
	}
	switch beyond := r.typical.Survival(now - r.began); {
	case beyond < slowShare:
		return slowWeight
	case beyond < lateShare:
		return 1
	default:
		return goodWeight
	}
}

// Drift is what a probability told some time ago has become without news.
func Drift(probability float64, age clock.Millis) float64 {
	if age <= 0 {
		return probability
	}
	return stationary + (probability-stationary)*math.Exp(-(onsetRate+recoveryRate)*float64(age))
}

func updateOdds(probability, weight float64) float64 {
	odds := probability / (1 - probability) * weight
	return min(max(odds/(1+odds), minProbability), maxProbability)
}
