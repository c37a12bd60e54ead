package retry

import "fuchsiapick.example/fuchsiapick/clock"

// callsSpan is the time over which calls and runs are counted: some hundred runs of
// today's upstreams, and an edit that changes what they call shows within a minute.
const callsSpan = 30 * clock.Second

// Calls learns at a node how many calls to each service a run beside it makes. A run that
// is a repeat makes its calls again: they are repeats at the services called, and can
// be held back only where the run is sent once more. It is not safe for concurrent use.
type Calls struct {
	runs decayed
	made map[string]*decayed
}

// NewCalls returns Calls that have seen nothing.
func NewCalls() *Calls {
	return &Calls{runs: decayed{span: callsSpan}, made: map[string]*decayed{}}
}

// Ran counts a run.
func (c *Calls) Ran(now clock.Millis) {
	c.runs.add(now, 1)
}

// Made counts a call to a service.
func (c *Calls) Made(now clock.Millis, service string) {
	d, ok := c.made[service]
	if !ok {
		d = &decayed{span: callsSpan}
		c.made[service] = d
	}
	d.add(now, 1)
}

// Each returns, by service, how many calls a run makes on average.
func (c *Calls) Each(now clock.Millis) map[string]float64 {
	each := make(map[string]float64, len(c.made))
	runs := max(c.runs.read(now), 1)
	for service, d := range c.made {
		each[service] = d.read(now) / runs
	}
	return each
}
