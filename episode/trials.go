package episode

import "fuchsiapick.example/fuchsiapick/clock"

// Spans after which an upstream that got no request wants one. One that may be
// repeated and fails costs a retry of the service's budget.
const (
	// idleInterval is that of an upstream in use. Without an outcome its probability
	// draws to what is usual, which is too high to be chosen and too low to be set
	// aside: it would get nothing for good. A second keeps it in use in the sense
	// of the floor, which counts those that get requests within two.
	idleInterval = clock.Second
	// certainInterval is that of one that is set aside, for the same reason.
	certainInterval = clock.Second
	failingInterval = 350 * clock.Millis(1)
	// recoveringInterval is the span after a trial that succeeded: an upstream that has
	// recovered is soon back.
	recoveringInterval = 150 * clock.Millis(1)
	// intervalSlack is the part of a span after which the next trial is admitted: those
	// that were invited come when they have a request, some late.
	intervalSlack = 0.5
)

// Trials paces the requests with which an upstream that gets none is tried. Its
// gate alone knows when the last one came, so it invites entries to send the next.
// The zero value is ready.
type Trials struct {
	last          clock.Millis
	begun         bool
	lastSucceeded bool
}

// RecordResult takes in how a request ended.
func (t *Trials) RecordResult(good bool) {
	t.lastSucceeded = good
}

// Due reports whether an upstream with that probability wants a request.
func (t *Trials) Due(now clock.Millis, probability float64) bool {
	return t.elapsed(now) >= t.interval(probability)
}

// Admit reports whether an upstream with that probability may be given a request.
// A trial that is admitted counts as begun: others wait for its outcome.
func (t *Trials) Admit(now clock.Millis, probability float64, repeatable bool) bool {
	if probability < EjectThreshold {
		return true
	}
	least := clock.Millis(intervalSlack * float64(t.interval(probability)))
	if !repeatable || t.elapsed(now) < least {
		return false
	}
	t.RecordStart(now)
	return true
}

// RecordStart takes in that the upstream was sent a request.
func (t *Trials) RecordStart(now clock.Millis) {
	t.begun, t.last = true, now
}

// elapsed is the time since the last request.
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
