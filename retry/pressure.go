package retry

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

// decayed counts events, each of which fades with the span as time constant:
// at a steady rate its value is the events in one span.
type decayed struct {
	span  clock.Millis
	at    clock.Millis
	value float64
}

// read returns the value at an instant.
func (d *decayed) read(now clock.Millis) float64 {
	if now <= d.at {
		return d.value
	}
	return d.value * math.Exp(-float64(now-d.at)/float64(d.span))
}

// add counts n events.
func (d *decayed) add(now clock.Millis, n float64) {
	d.value = d.read(now) + n
	d.at = max(d.at, now)
}

const (
	// pressureSpan is how long an answer of a gate counts: many turns of its
	// queue, and short enough that a burst of refusals is forgotten with it.
	pressureSpan = clock.Second
	// pressureLeast is the refusals below which a service isn't called full.
	pressureLeast = 4
	// pressureFull is the share of attempts refused for load at which a retry
	// is more likely to be refused than not.
	pressureFull = 0.5
)

// pressure tells a service whose gates refuse for load from one in which some
// gate does.
type pressure struct {
	refused decayed
	taken   decayed
}

func newPressure() pressure {
	return pressure{refused: decayed{span: pressureSpan}, taken: decayed{span: pressureSpan}}
}

func (p *pressure) add(now clock.Millis, refused bool) {
	if refused {
		p.refused.add(now, 1)
		return
	}
	p.taken.add(now, 1)
}

// full says whether a further attempt would likely be refused for load, too.
// First attempts are always made, so that it is found when that ends.
func (p *pressure) full(now clock.Millis) bool {
	refused, taken := p.refused.read(now), p.taken.read(now)
	return refused >= pressureLeast && refused >= pressureFull*(refused+taken)
}
