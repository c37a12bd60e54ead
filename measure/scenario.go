package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
)

// Fault describes how an upstream misbehaves during a FaultWindow. Shares are
// fractions of the requests to that upstream, from 0 to 1.
type Fault struct {
	// Fails is the share of requests that fail.
	Fails float64
	// Slow is the share of requests whose latency is multiplied by Factor.
	Slow, Factor float64
	// Hangs is the share of requests that get no answer.
	Hangs float64
	// Flap, if not 0, is the period of an intermittent fault, which is active in
	// the first half of each period.
	Flap clock.Millis
	// Replaced starts a new instance of the upstream, with a new gate, at the
	// onset. Its latency starts at Factor times the normal latency and decays.
	Replaced bool
}

// FaultWindow is a fault of the upstream with index Upstream that lasts from From
// until just before To.
type FaultWindow struct {
	Upstream int
	From, To clock.Millis
	Fault    Fault
	// NoEjection marks a fault that must not get the upstream ejected. An
	// ejection during the window counts as false.
	NoEjection bool
}

// Scenario describes the load and the faults of a service during one run.
type Scenario struct {
	Name         string
	FaultWindows []FaultWindow
	// Length bounds the run. Without RunToEnd, the run ends as soon as all faults
	// that call for an ejection are detected.
	Length   clock.Millis
	RunToEnd bool
	// The load is multiplied by Surge from SurgeFrom until just before SurgeTo.
	SurgeFrom, SurgeTo clock.Millis
	Surge              float64
	// Blip, if not 0, is the mean time between blips: periods of BlipLength in
	// which every request to an otherwise healthy upstream fails.
	Blip, BlipLength clock.Millis
	// Poison is the load that one bad caller adds at the upstream Victim, as a
	// share of the normal load of one upstream. All of its requests fail, and
	// they carry the caller's name.
	Poison float64
	Victim int
	// ProbesPass makes health checks succeed during a fault.
	ProbesPass bool
}

// onset is when the faults begin. By then, an upstream has produced at least 200
// outcomes even at the lowest load.
const onset = 15 * clock.Second

// detectionTimeout is how long a fault lasts by default. A fault that is not detected
// before it ends counts as missed.
const detectionTimeout = 2 * clock.Minute

// faulty returns a scenario in which the upstream with index 1 has the fault from the
// onset to the end.
func faulty(name string, fault Fault) Scenario {
	return Scenario{
		Name:         name,
		FaultWindows: []FaultWindow{{Upstream: 1, From: onset, To: onset + detectionTimeout, Fault: fault}},
		Length:       onset + detectionTimeout,
	}
}

// ReferenceFault returns the scenario to which the main bounds on detection apply: an
// upstream that fails 30% of its requests.
func ReferenceFault() Scenario {
	return faulty("fails 30%", Fault{Fails: 0.3})
}

// Faults returns the scenarios in which a faulty upstream must be ejected.
func Faults() []Scenario {
	const second = onset + clock.Minute
	probes := faulty("answers probes, fails 30%", Fault{Fails: 0.3})
	probes.ProbesPass = true
	two := faulty("two at once, fail 30%", Fault{Fails: 0.3})
	other := two.FaultWindows[0]
	other.Upstream = 3
	two.FaultWindows = append(two.FaultWindows, other)
	twice := faulty("twice, fails 30%", Fault{Fails: 0.3})
	twice.FaultWindows[0].To = onset + 10*clock.Second
	again := twice.FaultWindows[0]
	again.From, again.To = second, second+detectionTimeout
	twice.FaultWindows = append(twice.FaultWindows, again)
	twice.Length = second + detectionTimeout
	return []Scenario{
		faulty("fails 10%", Fault{Fails: 0.1}),
		ReferenceFault(),
		faulty("fails 60%", Fault{Fails: 0.6}),
		faulty("fails 100%", Fault{Fails: 1}),
		faulty("slow 3x, 30%", Fault{Slow: 0.3, Factor: 3}),
		faulty("slow 3x, 100%", Fault{Slow: 1, Factor: 3}),
		faulty("slow 10x, 30%", Fault{Slow: 0.3, Factor: 10}),
		faulty("slow 10x, 100%", Fault{Slow: 1, Factor: 10}),
		faulty("hangs 30%", Fault{Hangs: 0.3}),
		faulty("hangs 100%", Fault{Hangs: 1}),
		probes, two, twice,
	}
}

// Flaps returns the scenarios of an upstream whose requests all fail in half of each
// period, one scenario for each period.
func Flaps() []Scenario {
	periods := []clock.Millis{2 * clock.Second, 20 * clock.Second, 2 * clock.Minute}
	all := make([]Scenario, 0, len(periods))
	for _, period := range periods {
		s := faulty("flaps every "+period.String(), Fault{Fails: 1, Flap: period})
		s.Length, s.RunToEnd = onset+10*clock.Minute, true
		s.FaultWindows[0].To = s.Length
		all = append(all, s)
	}
	return all
}

// NoEjection returns the scenarios in which no upstream may be ejected.
func NoEjection(size Size) []Scenario {
	cold := faulty("cold start", Fault{Factor: 5, Replaced: true})
	cold.FaultWindows[0].To = onset + 45*clock.Second
	all := []Scenario{
		cold,
		{Name: "shedding under a burst", SurgeFrom: onset, SurgeTo: onset + 10*clock.Second, Surge: 3},
		{Name: "one bad caller", Poison: 0.1, Victim: 1},
		{Name: "blips of 100ms", Blip: 30 * clock.Second, BlipLength: 100},
		commonFault(size, "common, fail 10%", Fault{Fails: 0.1}),
		commonFault(size, "common, fail 30%", Fault{Fails: 0.3}),
		commonFault(size, "common, fail 100%", Fault{Fails: 1}),
		commonFault(size, "common, slow 3x", Fault{Slow: 1, Factor: 3}),
		commonFault(size, "common, slow 10x", Fault{Slow: 1, Factor: 10}),
	}
	for i := range all {
		all[i].Length, all[i].RunToEnd = onset+clock.Minute, true
		for k := range all[i].FaultWindows {
			all[i].FaultWindows[k].NoEjection = true
		}
	}
	return all
}

// commonFault returns a scenario in which all upstreams have the same fault at the same
// time for 30 s.
func commonFault(size Size, name string, fault Fault) Scenario {
	s := Scenario{Name: name}
	for i := range size.Upstreams {
		s.FaultWindows = append(s.FaultWindows, FaultWindow{Upstream: i, From: onset, To: onset + 30*clock.Second, Fault: fault})
	}
	return s
}

// Healthy returns a scenario of the given length without any fault.
func Healthy(length clock.Millis) Scenario {
	return Scenario{Name: "healthy", Length: length, RunToEnd: true}
}
