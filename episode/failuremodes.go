package episode

import "fuchsiapick.example/fuchsiapick/clock"

// ImmediateWindow is the age below which a failure counts as immediate. A run that is still
// unfinished at that age and fails is assumed to hang.
const ImmediateWindow = 20 * clock.Millis(1)

// HangShare is the share of failing runs that hang, in percent plus 1, so 1 to 101; the
// other failing runs fail immediately. The zero value means that the share is unknown.
type HangShare uint8

// IsKnown reports whether the share is known.
func (h HangShare) IsKnown() bool {
	return h > 0
}

const (
	// maxFailures is the number of failures to which older counts are scaled down.
	maxFailures = 20
	// peerWeight is the number of local failures that the hang share of peers counts for.
	peerWeight = 4
)

// FailureModes counts how runs fail: immediately, or by hanging. The zero value is ready to
// use. It is not safe for concurrent use.
type FailureModes struct {
	immediate, hung float64
}

// AddImmediate counts a run that failed immediately, weighted with the probability that the
// upstream was in an episode.
func (f *FailureModes) AddImmediate(probability float64) {
	f.immediate += probability
	f.decay()
}

// AddHung counts a run that was cut off, weighted with the probability that it hung.
func (f *FailureModes) AddHung(probability float64) {
	f.hung += probability
	f.decay()
}

func (f *FailureModes) decay() {
	if sum := f.immediate + f.hung; sum > maxFailures {
		f.immediate, f.hung = f.immediate*maxFailures/sum, f.hung*maxFailures/sum
	}
}

// HangProbability returns the probability that a failing run hangs, given the share that
// peers have published.
func (f *FailureModes) HangProbability(peers HangShare) float64 {
	immediate, hung := f.immediate+1, f.hung+1
	if peers.IsKnown() {
		share := float64(peers-1) / 100
		immediate, hung = f.immediate+peerWeight*(1-share), f.hung+peerWeight*share
	}
	return hung / (immediate + hung)
}

// Published returns the share to publish to other nodes, or 0 with less than one failure.
func (f *FailureModes) Published() HangShare {
	if f.immediate+f.hung < 1 {
		return 0
	}
	return HangShare(1 + 100*f.HangProbability(0))
}
