package choice

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// forecastSpan is how far ahead the load of a domain is estimated. Loads of other domains
	// are up to a second old, and a run that starts now holds its slot for about as long.
	forecastSpan = clock.Second
	// levelTime and trendTime are the time constants of the smoothed load and of its trend. A
	// trend that follows within a second multiplies the scatter of single requests.
	levelTime = 500 * clock.Millis(1)
	trendTime = 4 * clock.Second
	// maxForecastGap is the time without observations after which a forecast starts again.
	maxForecastGap = 3 * clock.Second
	// overflowHysteresis is by how much less utilization a domain must expect than the entry's
	// own before it counts as a target of overflow, and what is added to its load otherwise.
	// Without it, domains with like loads would send requests to each other.
	overflowHysteresis = 0.1
)

// forecast estimates a utilization by double exponential smoothing.
type forecast struct {
	level float64
	trend float64 // change per millisecond
	at    clock.Millis
}

// observe records a utilization. An observation at the same instant as the last replaces none.
func (f *forecast) observe(now clock.Millis, utilization float64) {
	elapsed := now - f.at
	if elapsed <= 0 {
		return
	}
	previous, span := f.level, float64(elapsed)
	f.level += f.trend * span
	f.level += (utilization - f.level) * observationWeight(elapsed, levelTime)
	f.trend += ((f.level-previous)/span - f.trend) * observationWeight(elapsed, trendTime)
	f.at = now
}

// observationWeight returns the weight of an observation that follows the last one after a
// time, given the time constant.
func observationWeight(elapsed, constant clock.Millis) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// ahead returns the utilization that is expected after forecastSpan.
func (f *forecast) ahead(now clock.Millis) float64 {
	return max(f.level+f.trend*float64(now-f.at+forecastSpan), 0)
}

// Overflow estimates for an entry how the load of other failure domains changes from what it
// knows of them, for the choice of the domain that gets the requests for which its own has no
// capacity. It is not safe for concurrent use.
type Overflow struct {
	own     string
	domains map[string]*domainLoad
}

type domainLoad struct {
	forecast

	seen     float64
	isTarget bool
}

// NewOverflow returns an Overflow for an entry of a failure domain.
func NewOverflow(own string) *Overflow {
	return &Overflow{own: own, domains: map[string]*domainLoad{}}
}

// Observe records the load of a domain relative to its capacity, as the entry knows it.
func (o *Overflow) Observe(now clock.Millis, domain string, utilization float64) {
	d, ok := o.domains[domain]
	if !ok || now-d.at > maxForecastGap {
		d = &domainLoad{forecast: forecast{level: utilization, at: now}}
		o.domains[domain] = d
	}
	d.observe(now, utilization)
	d.seen = utilization
}

// Change returns what is to be added to the known utilization of another domain's upstreams. It
// is 0 for the entry's own domain and while nothing recent is known of either.
func (o *Overflow) Change(now clock.Millis, domain string) float64 {
	own, other := o.recent(now, o.own), o.recent(now, domain)
	if own == nil || other == nil || domain == o.own {
		return 0
	}
	ours, theirs := own.ahead(now), other.ahead(now)
	if other.isTarget {
		other.isTarget = theirs < ours
	} else {
		other.isTarget = theirs <= ours-overflowHysteresis
	}
	change := theirs - other.seen
	if !other.isTarget {
		change += overflowHysteresis
	}
	return change
}

func (o *Overflow) recent(now clock.Millis, domain string) *domainLoad {
	d, ok := o.domains[domain]
	if !ok || now-d.at > maxForecastGap {
		return nil
	}
	return d
}
