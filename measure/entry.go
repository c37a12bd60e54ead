package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// baselineTTL is how long an entry uses a baseline that it received from a gate. Older
// baselines would outweigh the first signs of a fault common to the whole service.
const baselineTTL = 10 * clock.Second

// entry is the state of one entry: the baselines of the gates as of their last replies,
// and its own detectors if the rule runs at entries.
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

// receiveBaseline stores the baseline that the gate sent with its reply.
func (e *entry) receiveBaseline(now clock.Millis, r request) {
	e.baselines[r.upstream], e.receivedAt[r.upstream] = r.baseline, now
}

// baseline returns the median of the baselines received within baselineTTL.
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
