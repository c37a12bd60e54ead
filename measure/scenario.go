package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
)

// Fault is what is wrong with an upstream during a spell. Shares are of its
// requests, from 0 to 1.
type Fault struct {
	// Fails is the share that fails.
	Fails float64
	// Slow is the share that takes Factor times as long.
	Slow, Factor float64
	// Hangs is the share that gets no answer at all.
	Hangs float64
	// Flap, if set, switches the fault on and off: it is on in the first half
	// of each such period.
	Flap clock.Millis
	// Replaced gives the upstream a new instance at the onset, with a new
	// gate, whose latency starts at Factor times the usual and falls.
	Replaced bool
}

// FaultWindow is a fault of one upstream from an instant to another.
type FaultWindow struct {
	Upstream int
	From, To clock.Millis
	Fault    Fault
	// NoEjection says that the upstream must not be set aside for it.
	NoEjection bool
}

// Scenario is one thing that happens to a service.
type Scenario struct {
	Name         string
	FaultWindows []FaultWindow
	// Length bounds the run. It ends sooner once all spells are detected,
	// but for a Whole one.
	Length   clock.Millis
	RunToEnd bool
	// SurgeFrom, SurgeTo and Surge multiply the load for a time.
	SurgeFrom, SurgeTo clock.Millis
	Surge              float64
	// Blip, if set, is the mean time between spans of BlipSpan in which all
	// that an otherwise healthy upstream answers has failed.
	Blip, BlipLength clock.Millis
	// Poison is the share of requests that one bad caller adds at Victim,
	// all of which fail; the caller names itself.
	Poison float64
	Victim int
	// ProbesPass has an upstream answer all its probes.
	ProbesPass bool
}

// onset is when the spells begin: after 200 outcomes at the least load.
const onset = 15 * clock.Second

// detectionTimeout bounds the wait for a detection.
const detectionTimeout = 2 * clock.Minute

func faulty(name string, fault Fault) Scenario {
	return Scenario{
		Name:         name,
		FaultWindows: []FaultWindow{{Upstream: 1, From: onset, To: onset + detectionTimeout, Fault: fault}},
		Length:       onset + detectionTimeout,
	}
}

// ReferenceFault returns the scenario that the main bounds are for.
func ReferenceFault() Scenario {
	return faulty("fails 30%", Fault{Fails: 0.3})
}

// Faults returns the scenarios in which a sick upstream must be found.
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

// Flaps returns the scenarios of an upstream that fails in half of the time.
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

// NoEjection returns the scenarios in which nobody may be set aside.
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

func commonFault(size Size, name string, fault Fault) Scenario {
	s := Scenario{Name: name}
	for i := range size.Upstreams {
		s.FaultWindows = append(s.FaultWindows, FaultWindow{Upstream: i, From: onset, To: onset + 30*clock.Second, Fault: fault})
	}
	return s
}

// Healthy returns a scenario in which nothing is wrong for the length.
func Healthy(length clock.Millis) Scenario {
	return Scenario{Name: "healthy", Length: length, RunToEnd: true}
}
