package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// viewSpan is how long an entry holds what a gate told for recent. Older
// figures would outvote the first signs of a fault common to the service.
const viewSpan = 10 * clock.Second

// entry is what one entry knows: the gates' own figures, as of their last
// replies, and its own verdicts if the rule is judged there.
type entry struct {
	told     []health.Baseline
	at       []clock.Millis
	verdicts []Verdict
	scratch  []health.Baseline
}

func newEntry(size Size) *entry {
	return &entry{
		told:    make([]health.Baseline, size.Upstreams),
		at:      make([]clock.Millis, size.Upstreams),
		scratch: make([]health.Baseline, 0, size.Upstreams),
	}
}

func (e *entry) hear(now clock.Millis, r request) {
	e.told[r.upstream], e.at[r.upstream] = r.own, now
}

// baseline returns the median over the gates heard of recently.
func (e *entry) baseline(now clock.Millis) health.Baseline {
	e.scratch = e.scratch[:0]
	for i, b := range e.told {
		if b.Known && now-e.at[i] <= viewSpan {
			b.Age = now - e.at[i]
			e.scratch = append(e.scratch, b)
		}
	}
	return health.Median(e.scratch)
}
