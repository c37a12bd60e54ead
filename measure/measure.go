// Package measure runs one service's entries and gates as plain values in
// virtual time and reports how fast each rule finds a sick upstream and how
// often it sets a healthy one aside.
//
// A run is set by its Scenario and seed and gives the same figures each time.
package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// Size is the size of one service and its usual load.
type Size struct {
	Name      string
	Upstreams int
	Entries   int
	// Slots is how many requests an upstream serves at once.
	Slots int
	// Rate is the requests a second that an upstream usually gets.
	Rate float64
	// Median is the usual median latency of an upstream.
	Median clock.Millis
	// Spread is the sigma of the log-normal latencies.
	Spread float64
	// Failed is the share of requests that fail in a healthy upstream.
	Failed float64
	// Callers is the number of callers; they send equally much. Callers are
	// people in both deployments, so there are hundreds.
	Callers int
}

// Sizes of the two deployments, at about half load, and of one service of the
// size to design for: 200,000 upstreams in 4,100 services behind 2,400
// entries, which share 3.4 million requests a second.
func Sizes() []Size {
	return []Size{
		{Name: "sicily-9", Upstreams: 9, Entries: 9, Slots: 3, Rate: 33, Median: 40, Spread: 0.5, Failed: 0.01, Callers: 200},
		{Name: "sicily-6", Upstreams: 6, Entries: 6, Slots: 3, Rate: 33, Median: 40, Spread: 0.5, Failed: 0.01, Callers: 200},
		{Name: "kingston-9", Upstreams: 9, Entries: 9, Slots: 7, Rate: 120, Median: 25, Spread: 0.5, Failed: 0.01, Callers: 200},
		{Name: "design-49", Upstreams: 49, Entries: 2400, Slots: 3, Rate: 17, Median: 40, Spread: 0.5, Failed: 0.01, Callers: 400},
	}
}

// Detector is what a run asks of a rule for one upstream; health.Judge is one.
type Detector interface {
	Observe(now clock.Millis, o health.Observation) (changed bool)
	SetBaseline(b health.Baseline)
	OverdueAfter() clock.Millis
	Status(now clock.Millis) health.Status
	Admit(now clock.Millis, repeatable bool) bool
	RecordProbe(now clock.Millis, ok bool)
	LocalBaseline() health.Baseline
}

// Rule makes verdicts. AtEntry has each entry judge for itself by the answers
// to its own requests, in place of one verdict at the gate. Learns says that
// it wants the service's baseline, which entries tell to gates only.
type Rule struct {
	Name         string
	AtEntry      bool
	UsesBaseline bool
	New          func(seed uint64) Detector
}

// Figures are the results of runs of one scenario.
type Figures struct {
	// DetectionOutcomes and Spans are what each detection took, from the onset.
	DetectionOutcomes []int
	DetectionTimes    []clock.Millis
	// Missed counts sick spells that ended or outlasted the run undetected.
	Missed int
	// FalseEjections counts set asides of upstreams that weren't sick.
	FalseEjections int
	// HealthyOutcomes counts outcomes, and Served the time, of upstreams in use that
	// weren't sick.
	HealthyOutcomes int
	HealthyTime     clock.Millis
	// SentAfterDetection counts the requests given to a sick upstream after its first
	// detection in the spell, Bad the requests of any kind that it spoiled.
	SentAfterDetection, Bad int
}

// Add takes in the results of another run.
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

// FalsePerDay returns the false ejections per upstream and day.
func (f *Figures) FalsePerDay() float64 {
	return float64(f.FalseEjections) / (float64(max(1, f.HealthyTime)) / float64(clock.Day))
}
