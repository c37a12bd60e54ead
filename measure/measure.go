// Package measure simulates the entries and gates of one service in virtual time, in
// one process and without a network. It reports how fast each rule ejects a faulty
// upstream and how often it ejects a healthy one.
//
// A run is deterministic: the same Size, Scenario, Rule and seed give the same figures.
package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// Size describes the size of one service and its normal load.
type Size struct {
	Name      string
	Upstreams int
	Entries   int
	// Slots is the number of requests that an upstream serves concurrently.
	Slots int
	// Rate is the normal number of requests per second to each upstream.
	Rate float64
	// Median is the median latency of a healthy upstream.
	Median clock.Millis
	// Spread is the sigma of the log-normal distribution of latencies.
	Spread float64
	// Failed is the share of requests that fail at a healthy upstream.
	Failed float64
	// Callers is the number of callers. All send at the same rate. There are
	// hundreds, because the callers of both deployments are people.
	Callers int
}

// Sizes returns the sizes of services of the two deployments (Sicily and Kingston), at
// about half load, and of one mean service at the scale that the project is designed
// for: 200,000 upstreams in 4,100 services behind 2,400 entries, with 3.4 million
// requests per second in all.
func Sizes() []Size {
	return []Size{
		{Name: "sicily-9", Upstreams: 9, Entries: 9, Slots: 3, Rate: 33, Median: 40, Spread: 0.5, Failed: 0.01, Callers: 200},
		{Name: "sicily-6", Upstreams: 6, Entries: 6, Slots: 3, Rate: 33, Median: 40, Spread: 0.5, Failed: 0.01, Callers: 200},
		{Name: "kingston-9", Upstreams: 9, Entries: 9, Slots: 7, Rate: 120, Median: 25, Spread: 0.5, Failed: 0.01, Callers: 200},
		{Name: "design-49", Upstreams: 49, Entries: 2400, Slots: 3, Rate: 17, Median: 40, Spread: 0.5, Failed: 0.01, Callers: 400},
	}
}

// Detector decides whether one upstream is in use or ejected. health.Detector
// implements it; its documentation describes the methods.
type Detector interface {
	Observe(now clock.Millis, o health.Observation) (changed bool)
	SetBaseline(b health.Baseline)
	OverdueAfter() clock.Millis
	Status(now clock.Millis) health.Status
	Admit(now clock.Millis, repeatable bool) bool
	RecordProbe(now clock.Millis, ok bool)
	LocalBaseline() health.Baseline
}

// Rule creates the detectors of a run.
type Rule struct {
	Name string
	// AtEntry gives each entry its own detectors, which see only the answers to
	// that entry's requests, in place of one detector at the gate.
	AtEntry bool
	// UsesBaseline passes the service's baseline to the detector. Entries send the
	// baseline to gates only.
	UsesBaseline bool
	New          func(seed uint64) Detector
}

// Figures are the results of runs of one scenario.
type Figures struct {
	// DetectionOutcomes holds, for each detection, the number of the upstream's
	// outcomes since the onset of the fault, DetectionTimes the time since then.
	DetectionOutcomes []int
	DetectionTimes    []clock.Millis
	// Missed counts the faults that were not detected before they or the run ended.
	Missed int
	// FalseEjections counts the ejections of upstreams without a fault that calls
	// for one.
	FalseEjections int
	// HealthyOutcomes counts the outcomes of upstreams without a fault that calls
	// for an ejection. HealthyTime is the length of the run times the number of
	// its upstreams.
	HealthyOutcomes int
	HealthyTime     clock.Millis
	// SentAfterDetection counts the requests sent to a faulty upstream after the
	// fault was first detected. Bad counts all outcomes that failed or were
	// overdue.
	SentAfterDetection, Bad int
}

// Add adds the figures of another run.
func (f *Figures) Add(other Figures) {
	f.DetectionOutcomes = append(f.DetectionOutcomes, other.DetectionOutcomes...)
	f.DetectionTimes = append(f.DetectionTimes, other.DetectionTimes...)
	f.Missed += other.Missed
	f.FalseEjections += other.FalseEjections
	f.HealthyOutcomes += other.HealthyOutcomes
	f.HealthyTime += other.HealthyTime
	f.SentAfterDetection += other.SentAfterDetection
	f.Bad += other.Bad
}

// FalsePerMillion returns the false ejections per million healthy outcomes.
func (f *Figures) FalsePerMillion() float64 {
	return 1e6 * float64(f.FalseEjections) / float64(max(1, f.HealthyOutcomes))
}

// FalsePerDay returns the false ejections per upstream per day.
func (f *Figures) FalsePerDay() float64 {
	return float64(f.FalseEjections) / (float64(max(1, f.HealthyTime)) / float64(clock.Day))
}
