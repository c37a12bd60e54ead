package health

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// SetBaseline merges an entry's view of the service's baseline into the one in use. It
// ignores invalid and unknown baselines: an entry that has just started knows nothing
// and must not replace known values.
func (d *Detector) SetBaseline(b Baseline) {
	if !b.Known || !b.isValid() {
		return
	}
	if d.isSuspected && b.Age < d.now-d.suspectedSince {
		d.freshBaselines++
	}
	if !d.baseline.Known {
		d.baseline = b
		if d.local.outcomes < lateJoinOutcomes {
			d.recovery.requestRamp()
		}
	} else {
		d.baseline.Failed = decayingMax(d.baseline.Failed, b.Failed)
		d.baseline.Latency = decayingMaxMillis(d.baseline.Latency, b.Latency)
		d.baseline.Tail = decayingMaxMillis(d.baseline.Tail, b.Tail)
	}
	d.applyBaseline()
}

// isValid reports whether the values are in range. They are received from other nodes.
func (b *Baseline) isValid() bool {
	return b.Failed >= 0 && b.Failed <= 1 && b.Latency >= 0 && b.Tail >= 0 && b.Age >= 0
}

// baselineDecay is the number of received baselines over which a drop takes effect.
const baselineDecay = 16

// decayingMax returns received if it is higher than current, else current lowered by a
// part of the difference. Entries receive updates at different times: the last one to
// learn of a fault common to the service must not undo the rise that the first one
// reported.
func decayingMax(current, received float64) float64 {
	return max(received, current-(current-received)/baselineDecay)
}

func decayingMaxMillis(current, received clock.Millis) clock.Millis {
	return clock.Millis(decayingMax(float64(current), float64(received)))
}

// applyBaseline derives the parameters of the tests from the baseline. The share of
// failures changes only once it has moved by more than a tenth.
func (d *Detector) applyBaseline() {
	typical := max(minTypicalFailed, min(d.baseline.Failed, outageFailed))
	if !d.baseline.Known || d.isCold() {
		typical = max(typical, unknownTypicalFailed)
	}
	if math.Abs(typical-d.typicalFailed) > d.typicalFailed/10 || typical == outageFailed {
		if d.typicalFailed >= outageFailed {
			d.mild.restart(0)
			d.severe.restart(0)
		}
		d.typicalFailed = typical
		d.mild.setShares(typical, raiseOdds(typical, mildOdds))
		d.severe.setShares(typical, raiseOdds(typical, severeOdds))
	}
	before := d.slowThreshold
	d.slowThreshold = d.computeSlowThreshold()
	if d.slowThreshold > d.replayedThreshold+d.replayedThreshold/replayDivisor || before == 0 {
		d.replayedThreshold = d.slowThreshold
		d.replaySlow()
	}
	d.replayedThreshold = min(d.replayedThreshold, d.slowThreshold)
}

// replayDivisor sets the rise of the slow threshold, 1/replayDivisor of it, that replays
// the slow test. Medians of nine gates vary by less than that, and the retained samples
// are too few to show a smaller slowdown.
const replayDivisor = 4

// computeSlowThreshold returns the latency above which an answer is slow, or 0 if no
// baseline is known.
func (d *Detector) computeSlowThreshold() clock.Millis {
	b := d.baseline
	if !b.Known {
		return 0
	}
	tail := b.Tail
	if tail == 0 {
		tail = defaultTailFactor * b.Latency
	}
	return max(tail, b.Latency+minLatencyExcess)
}

// replaySlow reruns the slow test with the current threshold over the retained samples
// that the test has already used.
func (d *Detector) replaySlow() {
	d.slow.restart(d.slow.initialScore)
	d.local.visitLatest(d.slowSamples, func(s sample) {
		if !s.excluded {
			d.slow.add(s.latency > d.slowThreshold)
		}
	})
}

// OverdueAfter returns the age from which an unanswered request is overdue.
func (d *Detector) OverdueAfter() clock.Millis {
	if !d.baseline.Known {
		return overdueDefault
	}
	return min(max(overdueMin, overdueFactor*d.computeSlowThreshold()), overdueMax)
}

// LocalBaseline returns the upstream's own recent figures, which the gate sends to
// entries with its replies.
func (d *Detector) LocalBaseline() Baseline {
	return d.local.baseline()
}
