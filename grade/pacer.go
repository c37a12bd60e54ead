package grade

import "fuchsiapick.example/fuchsiapick/clock"

// Pacer sets the span between the trials that one entry makes of an upstream, so
// that those of all entries together come once in each Gap. Entries don't know how
// many of them have requests that may be repeated: for a service that only other
// backend servers call it is a fourth of the fleet. Gates count the trials that
// they admit, and each entry stretches or shortens its spans by that count.
type Pacer struct {
	factor float64
}

const (
	// paceStep is the most that a factor changes by one report. Reports come with
	// heartbeats, and all entries change theirs alike.
	paceStep = 1.5
	// paceRoom bounds the factor to this many times the number of entries.
	paceRoom = 4
	// paceSpan is the shortest time over which trials are counted: in less than
	// a second none or one comes.
	paceSpan = clock.Second
)

// NewPacer returns a pacer that takes all entries for senders.
func NewPacer(entries int) *Pacer {
	return &Pacer{factor: float64(max(entries, 1))}
}

// Told takes in that a gate admitted trials over a span, at a level. It returns
// false for a span too short to tell.
func (p *Pacer) Told(trials uint32, span clock.Millis, l Level, entries int) bool {
	if span < paceSpan {
		return false
	}
	wanted := float64(span) / float64(Gap(l))
	ratio := (float64(trials) + 0.5) / (wanted + 0.5)
	p.factor *= min(max(ratio, 1/paceStep), paceStep)
	p.factor = min(max(p.factor, 1), paceRoom*float64(max(entries, 1)))
	return true
}

// Span is the mean span between one entry's trials of an upstream at a level.
func (p *Pacer) Span(l Level) clock.Millis {
	return clock.Millis(p.factor * float64(Gap(l)))
}
