package retry

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// decayingCounter counts events. The weight of an event decays exponentially with
// timeConstant, so that at a steady rate the value is the number of events in one time
// constant.
type decayingCounter struct {
	timeConstant clock.Millis
	updatedAt    clock.Millis
	value        float64
}

// read returns the decayed value at an instant.
func (d *decayingCounter) read(now clock.Millis) float64 {
	if now <= d.updatedAt {
		return d.value
	}
	return d.value * math.Exp(-float64(now-d.updatedAt)/float64(d.timeConstant))
}

// add counts an event at an instant.
func (d *decayingCounter) add(now clock.Millis) {
	d.value = d.read(now) + 1
	d.updatedAt = max(d.updatedAt, now)
}

const (
	// overloadWindow is the time constant with which the replies of gates lose weight. A
	// gate's queue turns over many times in it, and it is short enough that a burst of
	// refusals stops counting soon after the burst ends.
	overloadWindow = clock.Second
	// minRefusals is the number of refusals below which a service doesn't count as
	// overloaded.
	minRefusals = 4
	// overloadShare is the share of attempts refused for load at which a retry
	// is more likely to be refused than accepted.
	overloadShare = 0.5
)

// overloadMeter distinguishes a service whose gates mostly refuse for load from a service
// in which only a few gates do.
type overloadMeter struct {
	refused  decayingCounter
	accepted decayingCounter
}

func newOverloadMeter() overloadMeter {
	return overloadMeter{refused: decayingCounter{timeConstant: overloadWindow}, accepted: decayingCounter{timeConstant: overloadWindow}}
}

// add counts a gate's reply to an attempt.
func (m *overloadMeter) add(now clock.Millis, refused bool) {
	if refused {
		m.refused.add(now)
		return
	}
	m.accepted.add(now)
}

// overloaded reports whether the service would likely refuse a further attempt for load.
// First attempts are always sent, so their replies show when the overload ends.
func (m *overloadMeter) overloaded(now clock.Millis) bool {
	refused, accepted := m.refused.read(now), m.accepted.read(now)
	return refused >= minRefusals && refused >= overloadShare*(refused+accepted)
}
