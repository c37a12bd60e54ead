package entry

import (
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// doubtfulRisk is the risk from which a request that runs once only rather waits for
	// evidence: that of an upstream without an outcome for some four seconds.
	doubtfulRisk = 0.15
	// evidenceEvery is how long it waits before it asks again.
	evidenceEvery = 100 * clock.Millis(1)
	// evidenceShare is the part of the route's target that it may wait: the rest is for its run.
	evidenceShare = 4
)

// gatherSound asks gates for a slot for a request on its last try. While none is known to be
// sound, and requests run there whose ends will tell, one that runs once only asks again.
func (r *request) gatherSound(now clock.Millis) (attempt, int, bool) {
	until := r.started + min(r.route.Target, r.deadline-r.started)/evidenceShare
	for {
		a, untried, ok := r.gather(now, mostSurveyed, 0)
		isDue := a.severity >= doubtfulRisk && a.running > 0
		if !ok || r.repeatable || !isDue || now+evidenceEvery > until {
			return a, untried, ok
		}
		r.waive(&a)
		if !r.pause(evidenceEvery) {
			return attempt{}, untried, false
		}
		now = r.entry.config.Now()
	}
}

// pause waits, and returns false if the caller has left meanwhile.
func (r *request) pause(span clock.Millis) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.left:
		return false
	}
}
