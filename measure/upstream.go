package measure

import (
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// deadline is when a request is given up; a hung one holds its slot until then.
const deadline = 5 * clock.Second

// While a surge fills all slots, the upstream sheds shedShare of the requests
// and serves the others at shedFactor times the latency.
const (
	shedShare  = 0.3
	shedFactor = 2
	shedTime   = 2
	// coldDecay is the time in which the latency of a cold start falls to a
	// third of its excess.
	coldDecay = 10 * clock.Second
)

// upstream is one backend server with its gate.
type upstream struct {
	gate    Detector
	busy    int
	waiting []request
	// faultWindow is the latest begun one, nil before.
	faultWindow *detection
	blipUntil   clock.Millis
}

// detection is how far the detection of a spell is.
type detection struct {
	FaultWindow
	outcomes int
	detected bool
}

// active reports whether the fault is on.
func (p *detection) active(now clock.Millis) bool {
	if p == nil || now < p.From || now >= p.To {
		return false
	}
	f := p.Fault.Flap
	return f == 0 || (now-p.From)%f < f/2
}

// respond draws how a request goes that begins now.
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
