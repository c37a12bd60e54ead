package health

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// SetBaseline takes what is usual for the service, as an entry sees it. An
// unknown one never replaces a known one: an entry that has just started
// knows nothing.
func (j *Judge) SetBaseline(b Baseline) {
	if !b.Known || !b.sound() {
		return
	}
	if j.strong && b.Age < j.now-j.suspected {
		j.told++
	}
	if !j.baseline.Known {
		j.baseline = b
		if j.own.outcomes < joinOutcomes {
			j.back.join()
		}
	} else {
		j.baseline.Failed = follow(j.baseline.Failed, b.Failed)
		j.baseline.Latency = followSpan(j.baseline.Latency, b.Latency)
		j.baseline.Tail = followSpan(j.baseline.Tail, b.Tail)
	}
	j.retune()
}

// sound reports whether the figures can be a service's; they come off a wire.
func (b *Baseline) sound() bool {
	return b.Failed >= 0 && b.Failed <= 1 && b.Latency >= 0 && b.Tail >= 0 && b.Age >= 0
}

// baselineMemory is the number of baselines over which a drop is taken over.
const baselineMemory = 16

// follow takes over a rise at once and a drop slowly. Entries differ in what
// they have heard; the one that hears last of a fault common to the service
// must not undo what the first one told.
func follow(held, told float64) float64 {
	return max(told, held-(held-told)/baselineMemory)
}

func followSpan(held, told clock.Millis) clock.Millis {
	return clock.Millis(follow(float64(held), float64(told)))
}

// retune compares with the baseline in force, once it has moved by a tenth.
func (j *Judge) retune() {
	usual := max(usualFailed, min(j.baseline.Failed, lostFailed))
	if !j.baseline.Known || j.cold() {
		usual = max(usual, unknownFailed)
	}
	if math.Abs(usual-j.usual) > j.usual/10 || usual == lostFailed {
		if j.usual >= lostFailed {
			j.mild.restart(0)
			j.severe.restart(0)
		}
		j.usual = usual
		j.mild.compare(usual, raise(usual, mildOdds))
		j.severe.compare(usual, raise(usual, severeOdds))
	}
	before := j.tail
	j.tail = j.lateness()
	if j.tail > j.rewalked+j.rewalked/rewalkPart || before == 0 {
		j.rewalked = j.tail
		j.rewalk()
	}
	j.rewalked = min(j.rewalked, j.tail)
}

// rewalkPart is the part by which the tail must rise before the slow test is
// run again: the medians of nine gates scatter by less, and the samples kept
// are fewer than a slight slowness takes to show.
const rewalkPart = 4

// lateness returns the latency above which an answer is slow, 0 for none.
func (j *Judge) lateness() clock.Millis {
	b := j.baseline
	if !b.Known {
		return 0
	}
	tail := b.Tail
	if tail == 0 {
		tail = tailFactor * b.Latency
	}
	return max(tail, b.Latency+latencyGrain)
}

// rewalk runs the slow test again over the samples that it has seen.
func (j *Judge) rewalk() {
	j.slow.restart(j.slow.head)
	j.own.last(j.slowSamples, func(s sample) {
		if !s.excused {
			j.slow.add(s.latency > j.tail)
		}
	})
}

// OverdueAfter returns the age at which an unanswered request is overdue.
func (j *Judge) OverdueAfter() clock.Millis {
	if !j.baseline.Known {
		return overdueUnknown
	}
	return min(max(overdueMin, overdueTails*j.lateness()), overdueMax)
}

// Own returns the upstream's own recent figures, for replies to carry.
func (j *Judge) Own() Baseline {
	return j.own.baseline()
}
