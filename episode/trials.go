package episode

import "fuchsiapick.example/fuchsiapick/clock"

// Intervals without a request after which an upstream should get one. A repeatable request
// that fails costs a retry of the service's budget.
const (
	// idleInterval applies to an upstream in use. Without outcomes its probability drifts
	// to the stationary value, which is too high for the upstream to be chosen and too
	// low to eject it: it would never get a request again. One second keeps it in use in
	// the sense of the floor, which counts upstreams that get requests within two seconds.
	idleInterval = clock.Second
	// certainInterval applies to an upstream that is certainly failing, for the same
	// reason.
	certainInterval = clock.Second
	failingInterval = 350 * clock.Millis(1)
	// recoveringInterval applies after a trial that succeeded, so that an upstream that
	// has recovered returns to use soon.
	recoveringInterval = 150 * clock.Millis(1)
	// intervalSlack is the part of an interval after which the next trial is admitted.
	// Entries that got a work request respond when they have a request, some of them late.
	intervalSlack = 0.5
)

// Trials spaces the trial requests to an upstream that gets no others. Only its gate knows
// when the last request arrived, so the gate sends work requests to entries. The zero value
// is ready to use.
type Trials struct {
	last          clock.Millis
	begun         bool
	lastSucceeded bool
}

// RecordResult records whether a request succeeded.
func (t *Trials) RecordResult(good bool) {
	t.lastSucceeded = good
}

// Due reports whether an upstream with that probability of an episode should get a request.
func (t *Trials) Due(now clock.Millis, probability float64) bool {
	return t.elapsed(now) >= t.interval(probability)
}

// Admit reports whether an upstream with that probability of an episode may be sent a
// request. An admitted trial counts as started: the next one waits for an interval.
func (t *Trials) Admit(now clock.Millis, probability float64, repeatable bool) bool {
	if probability < EjectThreshold {
		return true
	}
	minInterval := clock.Millis(intervalSlack * float64(t.interval(probability)))
	if !repeatable || t.elapsed(now) < minInterval {
		return false
	}
	t.RecordStart(now)
	return true
}

// RecordStart records that the upstream was sent a request.
func (t *Trials) RecordStart(now clock.Millis) {
	t.begun, t.last = true, now
}

// elapsed returns the time since the last request, or certainInterval if there was none.
func (t *Trials) elapsed(now clock.Millis) clock.Millis {
	if !t.begun {
		return certainInterval
	}
	return now - t.last
}

func (t *Trials) interval(probability float64) clock.Millis {
	switch {
	case probability < EjectThreshold:
		return idleInterval
	case t.lastSucceeded:
		return recoveringInterval
	case LevelOf(probability) == CertainlyFailing:
		return certainInterval
	default:
		return failingInterval
	}
}
