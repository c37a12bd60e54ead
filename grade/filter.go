// Package grade judges backend servers that fail in brief episodes: for seconds
// at a time one fails most of its requests, with good health answers, while others
// of its service do as well. It may fail them at once, or let them hang.
//
// A test that compares with the service's other upstreams, or that wants ten
// outcomes, is too slow and too lenient there. A Filter holds the probability
// that its upstream is in an episode: each run weighs by how much likelier it is in
// an episode what has become of it so far, and time alone draws the probability
// back to what is usual. It reads no clock and does no I/O.
package grade

import (
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// What is usual: an upstream meets an episode about every half minute and fails
// most of its requests in it.
const (
	// onset and recovery are changes a millisecond.
	onset    = 1.0 / float64(25*clock.Second)
	recovery = 1.0 / float64(15*clock.Second)
	// usual is the share of time in episodes that these two give.
	usual = onset / (onset + recovery)
	// first is the probability for an upstream that nothing is known of.
	first = 0.1
	// least and most keep a long run of like outcomes from outweighing the next
	// ones of the other kind.
	least = 0.002
	most  = 0.998
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
	// failing is the share of the runs begun in an episode that fail.
	failing = 0.8
)

const (
	// overdueAfter is the age at which a run is evidence where nothing is known of the
	// time that it takes.
	overdueAfter = 5 * clock.Second
	// mostRuns bounds the runs that are looked at anew.
	mostRuns = 64
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
	began  clock.Millis
	usual  Usual
	ended  bool
	weight float64 // once it has ended
}

// Filter holds the probability that an upstream is in an episode. It is not safe
// for concurrent use. The zero Filter isn't ready: use New.
type Filter struct {
	// base is the probability at an instant, runs those begun since in their order: what
	// a run shows is of the time when it began.
	base     float64
	at       clock.Millis
	runs     []*Run
	failures Failures
	// told is how others of the service fail, as the latest run has it.
	told Hanging
}

// New returns a filter of an upstream that nothing is known of.
func New(now clock.Millis) *Filter {
	return &Filter{base: first, at: now}
}

// Observe takes in one outcome of a run that has just begun.
func (f *Filter) Observe(now clock.Millis, r Result) {
	f.End(now, f.Begin(now, Usual{}), r)
}

// Begin takes in that the upstream was given a run.
func (f *Filter) Begin(now clock.Millis, u Usual) *Run {
	r := &Run{began: max(now, f.last()), usual: u}
	if u.Hanging.IsKnown() {
		f.told = u.Hanging
	}
	f.runs = append(f.runs, r)
	f.fold(now)
	return r
}

// End takes in what became of a run.
func (f *Filter) End(now clock.Millis, r *Run, result Result) {
	weight := f.weightOf(now, r, result)
	if result == Stopped || result == Overdue {
		f.failures.Hung(f.Hangs(now, r))
	}
	r.weight, r.ended = weight, true
	if (result == Failed || result == Broken) && now-r.began < AtOnce {
		f.failures.AtOnce(f.Probability(now))
	}
	f.fold(now)
}

// Probability is that of an episode now.
func (f *Filter) Probability(now clock.Millis) float64 {
	p, at := f.base, f.at
	for _, r := range f.runs {
		p = weigh(Drift(p, r.began-at), f.weight(now, r))
		at = r.began
	}
	return Drift(p, now-at)
}

// looks are the shares of runs that one must have outlasted to be looked at again.
var looks = []float64{0.5, 0.35, 0.25, 0.17, 0.1, 0.07, 0.05, 0.03, 0.02, 0.01, 0.005, 0.001}

// Look returns when to look next at a run that has come to no end: when it has outlasted
// another share of such runs.
func (*Filter) Look(now clock.Millis, r *Run) clock.Millis {
	if !r.usual.IsKnown() {
		return max(r.began+overdueAfter, now+clock.Second)
	}
	for _, share := range looks {
		if at := max(r.began+r.usual.Age(share), r.began+AtOnce+1); at > now {
			return at
		}
	}
	return now + max(r.usual.Median, clock.Second)
}

// Hangs is the probability that a run will come to no end of its own.
func (f *Filter) Hangs(now clock.Millis, r *Run) float64 {
	if !r.usual.IsKnown() || now-r.began < AtOnce {
		return 0
	}
	odds := f.Probability(now)
	odds = odds / (1 - odds) / f.weight(now, r) // as the other runs have it
	hangs := odds * failing * f.failures.Share(f.told)
	return hangs / (hangs + (odds*(1-failing)+1)*r.usual.Beyond(now-r.began))
}

// last is the instant of the latest run.
func (f *Filter) last() clock.Millis {
	if n := len(f.runs); n > 0 {
		return f.runs[n-1].began
	}
	return f.at
}

// fold sums up the first runs that have ended, and of too many the first in any case.
func (f *Filter) fold(now clock.Millis) {
	count := 0
	for count < len(f.runs) && (f.runs[count].ended || len(f.runs)-count > mostRuns) {
		r := f.runs[count]
		f.base = weigh(Drift(f.base, r.began-f.at), f.weight(now, r))
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
	case age < AtOnce:
		return 1
	case r.usual.IsKnown():
		return 1 - failing + failing*f.failures.Share(f.told)/r.usual.Beyond(age)
	case age >= overdueAfter:
		return overdueWeight
	default:
		return 1
	}
}

func (f *Filter) weightOf(now clock.Millis, r *Run, result Result) float64 {
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
	if !r.usual.IsKnown() {
		return goodWeight
	}
	switch beyond := r.usual.Beyond(now - r.began); {
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
	return usual + (probability-usual)*math.Exp(-(onset+recovery)*float64(age))
}

func weigh(probability, weight float64) float64 {
	odds := probability / (1 - probability) * weight
	return min(max(odds/(1+odds), least), most)
}
