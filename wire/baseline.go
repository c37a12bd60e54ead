package wire

import "fuchsiapick.example/fuchsiapick/health"

// NewBaseline returns the form of a baseline that travels on links.
func NewBaseline(b health.Baseline) Baseline {
	return Baseline{Known: b.Known, FailureRate: b.Failed, Latency: b.Latency, Tail: b.Tail, Age: b.Age}
}

// ToHealth returns the form that the verdict takes.
func (b Baseline) ToHealth() health.Baseline {
	return health.Baseline{Known: b.Known, Failed: b.FailureRate, Latency: b.Latency, Tail: b.Tail, Age: b.Age}
}
