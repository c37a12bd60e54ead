package wire

import "fuchsiapick.example/fuchsiapick/health"

// NewBaseline converts a baseline of package health to its message form.
func NewBaseline(b health.Baseline) Baseline {
	return Baseline{Known: b.Known, FailureRate: b.Failed, Latency: b.Latency, Tail: b.Tail, Age: b.Age}
}

// ToHealth converts a received baseline to the form that package health uses.
func (b Baseline) ToHealth() health.Baseline {
	return health.Baseline{Known: b.Known, Failed: b.FailureRate, Latency: b.Latency, Tail: b.Tail, Age: b.Age}
}
