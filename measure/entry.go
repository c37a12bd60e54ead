package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// baselineTTL is how long an entry holds what a gate told for recent. Older
// figures would outvote the first signs of a fault common to the service.
const baselineTTL = 10 * clock.Second

// entry is what one entry knows: the gates' own figures, as of their last
// replies, and its own verdicts if the rule is judged there.
type entry struct {
	baselines  []health.Baseline
	receivedAt []clock.Millis
	detectors  []Detector
	scratch    []health.Baseline
}

func newEntry(size Size) *entry {
	return &entry{
		baselines:  make([]health.Baseline, size.Upstreams),
		receivedAt: make([]clock.Millis, size.Upstreams),
		scratch:    make([]health.Baseline, 0, size.Upstreams),
	}
}

func (e *entry) receiveBaseline(now clock.Millis, r request) {
	e.baselines[r.upstream], e.receivedAt[r.upstream] = r.baseline, now
}

// baseline returns the median over the gates heard of recently.
func (e *entry) baseline(now clock.Millis) health.Baseline {
	e.scratch = e.scratch[:0]
	for i, b := range e.baselines {
		if b.Known && now-e.receivedAt[i] <= baselineTTL {
			b.Age = now - e.receivedAt[i]
			e.scratch = append(e.scratch, b)
		}
	}
	return health.Median(e.scratch)
}
