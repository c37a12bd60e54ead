package health

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// SetBaseline takes what is usual for the service, as an entry sees it. An
// unknown one never replaces a known one: an entry that has just started
// knows nothing.
func (j *Detector) SetBaseline(b Baseline) {
	if !b.Known || !b.isValid() {
		return
	}
	if j.isSuspected && b.Age < j.now-j.suspectedSince {
		j.freshBaselines++
	}
	if !j.baseline.Known {
		j.baseline = b
		if j.local.outcomes < joinOutcomes {
			j.recovery.requestRamp()
		}
	} else {
		j.baseline.Failed = decayingMax(j.baseline.Failed, b.Failed)
		j.baseline.Latency = decayingMaxMillis(j.baseline.Latency, b.Latency)
		j.baseline.Tail = decayingMaxMillis(j.baseline.Tail, b.Tail)
	}
	j.applyBaseline()
}

// isValid reports whether the figures can be a service's; they come off a wire.
func (b *Baseline) isValid() bool {
	return b.Failed >= 0 && b.Failed <= 1 && b.Latency >= 0 && b.Tail >= 0 && b.Age >= 0
}

// baselineDecay is the number of baselines over which a drop is taken over.
const baselineDecay = 16

// decayingMax takes over a rise at once and a drop slowly. Entries differ in what
// they have heard; the one that hears last of a fault common to the service
// must not undo what the first one told.
func decayingMax(held, told float64) float64 {
	return max(told, held-(held-told)/baselineDecay)
}

func decayingMaxMillis(held, told clock.Millis) clock.Millis {
	return clock.Millis(decayingMax(float64(held), float64(told)))
}

// applyBaseline compares with the baseline in force, once it has moved by a tenth.
func (j *Detector) applyBaseline() {
	usual := max(minTypicalFailed, min(j.baseline.Failed, outageFailed))
	if !j.baseline.Known || j.cold() {
		usual = max(usual, unknownFailed)
	}
	if math.Abs(usual-j.typicalFailed) > j.typicalFailed/10 || usual == outageFailed {
		if j.typicalFailed >= outageFailed {
			j.mild.restart(0)
			j.severe.restart(0)
		}
		j.typicalFailed = usual
		j.mild.setShares(usual, raiseOdds(usual, mildOdds))
		j.severe.setShares(usual, raiseOdds(usual, severeOdds))
	}
	before := j.slowThreshold
	j.slowThreshold = j.computeSlowThreshold()
	if j.slowThreshold > j.replayedThreshold+j.replayedThreshold/replayDivisor || before == 0 {
		j.replayedThreshold = j.slowThreshold
		j.replaySlow()
	}
	j.replayedThreshold = min(j.replayedThreshold, j.slowThreshold)
}

// replayDivisor is the part by which the tail must rise before the slow test is
// run again: the medians of nine gates scatter by less, and the samples kept
// are fewer than a slight slowness takes to show.
const replayDivisor = 4

// computeSlowThreshold returns the latency above which an answer is slow, 0 for none.
func (j *Detector) computeSlowThreshold() clock.Millis {
	b := j.baseline
	if !b.Known {
		return 0
	}
	tail := b.Tail
	if tail == 0 {
		tail = tailFactor * b.Latency
	}
	return max(tail, b.Latency+minLatencyExcess)
}

// replaySlow runs the slow test again over the samples that it has seen.
func (j *Detector) replaySlow() {
	j.slow.restart(j.slow.head)
	j.local.visitLatest(j.slowSamples, func(s sample) {
		if !s.excluded {
			j.slow.add(s.latency > j.slowThreshold)
		}
	})
}

// OverdueAfter returns the age at which an unanswered request is overdue.
func (j *Detector) OverdueAfter() clock.Millis {
	if !j.baseline.Known {
		return overdueDefault
	}
	return min(max(overdueMin, overdueFactor*j.computeSlowThreshold()), overdueMax)
}

// LocalBaseline returns the upstream's own recent figures, for replies to carry.
func (j *Detector) LocalBaseline() Baseline {
	return j.local.baseline()
}
