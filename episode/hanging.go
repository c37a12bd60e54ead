package episode

import "fuchsiapick.example/fuchsiapick/clock"

// ImmediateWindow is the age below which a run in an episode may still fail at once.
const ImmediateWindow = 20 * clock.Millis(1)

// HangShare is the share of failing runs that hang, in parts of 100 and one more; the rest
// fail at once. The zero value says that it isn't known.
type HangShare uint8

// IsKnown reports whether anything is known.
func (h HangShare) IsKnown() bool {
	return h > 0
}

const (
	// maxFailures is how many failures are remembered.
	maxFailures = 20
	// peerWeight is how many of one's own the word of others counts for.
	peerWeight = 4
)

// FailureModes counts how runs fail: at once, or by coming to no end. The zero value is ready; it
// is not safe for concurrent use.
type FailureModes struct {
	immediate, hung float64
}

// AddImmediate takes in a run that failed at once, with the probability that it did so in an episode.
func (f *FailureModes) AddImmediate(probability float64) {
	f.immediate += probability
	f.decay()
}

// AddHung takes in a run that came to no end, with the probability that it never would have.
func (f *FailureModes) AddHung(probability float64) {
	f.hung += probability
	f.decay()
}

func (f *FailureModes) decay() {
	if sum := f.immediate + f.hung; sum > maxFailures {
		f.immediate, f.hung = f.immediate*maxFailures/sum, f.hung*maxFailures/sum
	}
}

// HangProbability is that of the runs that hang, given what others tell.
func (f *FailureModes) HangProbability(told HangShare) float64 {
	sudden, hung := f.immediate+1, f.hung+1
	if told.IsKnown() {
		share := float64(told-1) / 100
		sudden, hung = f.immediate+peerWeight*(1-share), f.hung+peerWeight*share
	}
	return hung / (sudden + hung)
}

// Published is what to tell others.
func (f *FailureModes) Published() HangShare {
	if f.immediate+f.hung < 1 {
		return 0
	}
	return HangShare(1 + 100*f.HangProbability(0))
}
