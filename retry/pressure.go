package retry

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// decayingCounter counts events, each of which fades with the span as time constant:
// at a steady rate its value is the events in one span.
type decayingCounter struct {
	span  clock.Millis
	at    clock.Millis
	value float64
}

// read returns the value at an instant.
func (d *decayingCounter) read(now clock.Millis) float64 {
	if now <= d.at {
		return d.value
	}
	return d.value * math.Exp(-float64(now-d.at)/float64(d.span))
}

// add counts n events.
func (d *decayingCounter) add(now clock.Millis, n float64) {
	d.value = d.read(now) + n
	d.at = max(d.at, now)
}

const (
	// overloadWindow is how long an answer of a gate counts: many turns of its
	// queue, and short enough that a burst of refusals is forgotten with it.
	overloadWindow = clock.Second
	// minRefusals is the refusals below which a service isn't called full.
	minRefusals = 4
	// overloadShare is the share of attempts refused for load at which a retry
	// is more likely to be refused than not.
	overloadShare = 0.5
)

// overloadMeter tells a service whose gates refuse for load from one in which some
// gate does.
type overloadMeter struct {
	refused  decayingCounter
	accepted decayingCounter
}

func newOverloadMeter() overloadMeter {
	return overloadMeter{refused: decayingCounter{span: overloadWindow}, accepted: decayingCounter{span: overloadWindow}}
}

func (p *overloadMeter) add(now clock.Millis, refused bool) {
	if refused {
		p.refused.add(now, 1)
		return
	}
	p.accepted.add(now, 1)
}

// overloaded says whether a further attempt would likely be refused for load, too.
// First attempts are always made, so that it is found when that ends.
func (p *overloadMeter) overloaded(now clock.Millis) bool {
	refused, taken := p.refused.read(now), p.accepted.read(now)
	return refused >= minRefusals && refused >= overloadShare*(refused+taken)
}
