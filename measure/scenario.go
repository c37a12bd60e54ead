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

// Spell is a fault of one upstream from an instant to another.
type Spell struct {
	Upstream int
	From, To clock.Millis
	Fault    Fault
	// Spared says that the upstream must not be set aside for it.
	Spared bool
}

// Scenario is one thing that happens to a service.
type Scenario struct {
	Name   string
	Spells []Spell
	// Length bounds the run. It ends sooner once all spells are detected,
	// but for a Whole one.
	Length clock.Millis
	Whole  bool
	// SurgeFrom, SurgeTo and Surge multiply the load for a time.
	SurgeFrom, SurgeTo clock.Millis
	Surge              float64
	// Blip, if set, is the mean time between spans of BlipSpan in which all
	// that an otherwise healthy upstream answers has failed.
	Blip, BlipSpan clock.Millis
	// Poison is the share of requests that one bad caller adds at Victim,
	// all of which fail; the caller names itself.
	Poison float64
	Victim int
	// ProbesPass has an upstream answer all its probes.
	ProbesPass bool
}

// onset is when the spells begin: after 200 outcomes at the least load.
const onset = 15 * clock.Second

// patience bounds the wait for a detection.
const patience = 2 * clock.Minute

func sick(name string, fault Fault) Scenario {
	return Scenario{
		Name:   name,
		Spells: []Spell{{Upstream: 1, From: onset, To: onset + patience, Fault: fault}},
		Length: onset + patience,
	}
}

// Bar returns the scenario that the main bounds are for.
func Bar() Scenario {
	return sick("fails 30%", Fault{Fails: 0.3})
}

// Faults returns the scenarios in which a sick upstream must be found.
func Faults() []Scenario {
	const second = onset + clock.Minute
	probes := sick("answers probes, fails 30%", Fault{Fails: 0.3})
	probes.ProbesPass = true
	two := sick("two at once, fail 30%", Fault{Fails: 0.3})
	other := two.Spells[0]
	other.Upstream = 3
	two.Spells = append(two.Spells, other)
	twice := sick("twice, fails 30%", Fault{Fails: 0.3})
	twice.Spells[0].To = onset + 10*clock.Second
	again := twice.Spells[0]
	again.From, again.To = second, second+patience
	twice.Spells = append(twice.Spells, again)
	twice.Length = second + patience
	return []Scenario{
		sick("fails 10%", Fault{Fails: 0.1}),
		Bar(),
		sick("fails 60%", Fault{Fails: 0.6}),
		sick("fails 100%", Fault{Fails: 1}),
		sick("slow 3x, 30%", Fault{Slow: 0.3, Factor: 3}),
		sick("slow 3x, 100%", Fault{Slow: 1, Factor: 3}),
		sick("slow 10x, 30%", Fault{Slow: 0.3, Factor: 10}),
		sick("slow 10x, 100%", Fault{Slow: 1, Factor: 10}),
		sick("hangs 30%", Fault{Hangs: 0.3}),
		sick("hangs 100%", Fault{Hangs: 1}),
		probes, two, twice,
	}
}

// Flaps returns the scenarios of an upstream that fails in half of the time.
func Flaps() []Scenario {
	periods := []clock.Millis{2 * clock.Second, 20 * clock.Second, 2 * clock.Minute}
	all := make([]Scenario, 0, len(periods))
	for _, period := range periods {
		s := sick("flaps every "+period.String(), Fault{Fails: 1, Flap: period})
		s.Length, s.Whole = onset+10*clock.Minute, true
		s.Spells[0].To = s.Length
		all = append(all, s)
	}
	return all
}

// Spared returns the scenarios in which nobody may be set aside.
func Spared(size Size) []Scenario {
	cold := sick("cold start", Fault{Factor: 5, Replaced: true})
	cold.Spells[0].To = onset + 45*clock.Second
	all := []Scenario{
		cold,
		{Name: "shedding under a burst", SurgeFrom: onset, SurgeTo: onset + 10*clock.Second, Surge: 3},
		{Name: "one bad caller", Poison: 0.1, Victim: 1},
		{Name: "blips of 100ms", Blip: 30 * clock.Second, BlipSpan: 100},
		common(size, "common, fail 10%", Fault{Fails: 0.1}),
		common(size, "common, fail 30%", Fault{Fails: 0.3}),
		common(size, "common, fail 100%", Fault{Fails: 1}),
		common(size, "common, slow 3x", Fault{Slow: 1, Factor: 3}),
		common(size, "common, slow 10x", Fault{Slow: 1, Factor: 10}),
	}
	for i := range all {
		all[i].Length, all[i].Whole = onset+clock.Minute, true
		for k := range all[i].Spells {
			all[i].Spells[k].Spared = true
		}
	}
	return all
}

func common(size Size, name string, fault Fault) Scenario {
	s := Scenario{Name: name}
	for i := range size.Upstreams {
		s.Spells = append(s.Spells, Spell{Upstream: i, From: onset, To: onset + 30*clock.Second, Fault: fault})
	}
	return s
}

// Healthy returns a scenario in which nothing is wrong for the length.
func Healthy(length clock.Millis) Scenario {
	return Scenario{Name: "healthy", Length: length, Whole: true}
}
