package report

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// StateRelapsed is the state of an Aside that ended in another one.
const StateRelapsed = "relapsed"

// asides makes episodes of the events that gates noted, the newest first.
// Events are the newest first.
func asides(events []Event) []Aside {
	found := []Aside{}
	// open holds the index of the episode that lasts, by upstream.
	open := make(map[upstreamKey]int)
	for _, e := range slices.Backward(events) {
		key := upstreamKey{e.Service, e.Upstream}
		at, known := open[key]
		if e.Kind == access.SetAside {
			if known {
				found[at].relapse(e)
			}
			open[key] = len(found)
			found = append(found, newAside(e))
			continue
		}
		if !known {
			continue
		}
		found[at].step(e)
		if e.Kind == access.Back {
			delete(open, key)
		}
	}
	for i := range found {
		found[i].Out = found[i].out()
	}
	slices.Reverse(found)
	return found
}

func newAside(e Event) Aside {
	return Aside{
		Service: e.Service, Upstream: e.Upstream, By: e.By, Age: e.Age, State: access.StateSetAside,
		Trial: none, Ramp: none, Back: none, Left: e.Left, Reason: e.Reason, Evidence: e.Evidence,
		Kept: []string{},
	}
}

func (a *Aside) step(e Event) {
	switch e.Kind {
	case access.Trial:
		a.State, a.Trial, a.Left = access.StateTrial, e.Age, 0
	case access.Ramp:
		a.State, a.Ramp, a.Left = access.StateRamp, e.Age, 0
	case access.Back:
		a.State, a.Back, a.Left = string(access.Back), e.Age, 0
	case access.KeptUnderFloor:
		if !slices.Contains(a.Kept, e.By) {
			a.Kept = append(a.Kept, e.By)
		}
	default:
	}
}

// relapse ends the episode where the next one begins.
func (a *Aside) relapse(e Event) {
	a.State, a.Left, a.Back = StateRelapsed, 0, e.Age
}

// Lasts tells whether the upstream is not in full use yet.
func (a *Aside) Lasts() bool {
	return a.State != string(access.Back) && a.State != StateRelapsed
}

// out returns how long the upstream had no work but trials.
func (a *Aside) out() clock.Millis {
	switch {
	case a.Ramp != none:
		return a.Age - a.Ramp
	case a.Back != none:
		return a.Age - a.Back
	default:
		return a.Age
	}
}

// paths makes episodes of paths lost and found again, the newest first.
func paths(events []Event) []Path {
	found := []Path{}
	type ends struct{ from, to string }
	open := make(map[ends]int)
	for _, e := range slices.Backward(events) {
		key := ends{e.By, e.Node}
		at, known := open[key]
		switch {
		case e.Kind == access.PathLost && !known:
			open[key] = len(found)
			found = append(found, Path{From: e.By, To: e.Node, Age: e.Age, Reason: e.Reason, Back: none})
		case e.Kind == access.PathBack && known:
			found[at].Back = e.Age
			delete(open, key)
		}
	}
	slices.Reverse(found)
	return found
}
