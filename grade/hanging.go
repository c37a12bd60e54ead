package grade

import "fuchsiapick.example/fuchsiapick/clock"

// AtOnce is the age below which a run in an episode may still fail at once.
const AtOnce = 20 * clock.Millis(1)

// Hanging is the share of failing runs that hang, in parts of 100 and one more; the rest
// fail at once. The zero value says that it isn't known.
type Hanging uint8

// IsKnown reports whether anything is known.
func (h Hanging) IsKnown() bool {
	return h > 0
}

const (
	// failuresKept is how many failures are remembered.
	failuresKept = 20
	// toldFailures is how many of one's own the word of others counts for.
	toldFailures = 4
)

// Failures counts how runs fail: at once, or by coming to no end. The zero value is ready; it
// is not safe for concurrent use.
type Failures struct {
	sudden, hung float64
}

// AtOnce takes in a run that failed at once, with the probability that it did so in an episode.
func (f *Failures) AtOnce(probability float64) {
	f.sudden += probability
	f.forget()
}

// Hung takes in a run that came to no end, with the probability that it never would have.
func (f *Failures) Hung(probability float64) {
	f.hung += probability
	f.forget()
}

func (f *Failures) forget() {
	if sum := f.sudden + f.hung; sum > failuresKept {
		f.sudden, f.hung = f.sudden*failuresKept/sum, f.hung*failuresKept/sum
	}
}

// Share is that of the runs that hang, given what others tell.
func (f *Failures) Share(told Hanging) float64 {
	sudden, hung := f.sudden+1, f.hung+1
	if told.IsKnown() {
		share := float64(told-1) / 100
		sudden, hung = f.sudden+toldFailures*(1-share), f.hung+toldFailures*share
	}
	return hung / (sudden + hung)
}

// Told is what to tell others.
func (f *Failures) Told() Hanging {
	if f.sudden+f.hung < 1 {
		return 0
	}
	return Hanging(1 + 100*f.Share(0))
}
