package measure

import (
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// deadline is how long a request may take. A hung request holds its slot for that
// long.
const deadline = 5 * clock.Second

// While a surge fills all slots, the upstream sheds shedShare of the requests, each
// after shedTime, and serves the others at shedFactor times the latency.
const (
	shedShare  = 0.3
	shedFactor = 2
	shedTime   = 2
	// coldDecay is the time constant with which the excess latency of a cold
	// start decays: after it, about a third (1/e) of the excess is left.
	coldDecay = 10 * clock.Second
)

// upstream is one backend server with its gate.
type upstream struct {
	gate    Detector
	busy    int
	waiting []request
	// faultWindow is the fault window that began last, nil before the first.
	faultWindow *detection
	blipUntil   clock.Millis
}

// detection is the progress of detecting a fault: the outcomes since its onset, and
// whether the upstream has been ejected for it.
type detection struct {
	FaultWindow
	outcomes int
	detected bool
}

// active reports whether the fault is in effect, which a flapping fault is in the first
// half of each period.
func (d *detection) active(now clock.Millis) bool {
	if d == nil || now < d.From || now >= d.To {
		return false
	}
	f := d.Fault.Flap
	return f == 0 || (now-d.From)%f < f/2
}

// respond draws the result and the latency of a request that the upstream begins to
// serve now.
func (u *upstream) respond(now clock.Millis, size Size, surge bool, random *rand.Rand) (health.Result, clock.Millis) {
	latency := math.Exp(random.NormFloat64()*size.Spread) * float64(size.Median)
	result := health.Good
	if random.Float64() < size.Failed || now < u.blipUntil {
		result = health.Failed
	}
	if surge && u.busy >= size.Slots {
		if random.Float64() < shedShare {
			return health.Shed, shedTime
		}
		latency *= shedFactor
	}
	if u.faultWindow.active(now) {
		f := u.faultWindow.Fault
		draw := random.Float64()
		switch {
		case f.Replaced:
			latency *= 1 + (f.Factor-1)*math.Exp(-float64(now-u.faultWindow.From)/float64(coldDecay))
		case draw < f.Hangs:
			return health.Overdue, deadline
		case draw < f.Fails:
			result = health.Failed
		case draw < f.Slow:
			latency *= f.Factor
		}
	}
	if latency >= float64(deadline) {
		return health.Overdue, deadline
	}
	return result, clock.Millis(latency + 0.5)
}
