package report

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// StateReejected is the state of an Aside that ended in another one.
const StateReejected = "relapsed"

// ejections makes episodes of the events that gates noted, the newest first.
// Events are the newest first.
func ejections(events []Event) []Ejection {
	found := []Ejection{}
	// open holds the index of the episode that lasts, by upstream.
	open := make(map[upstreamKey]int)
	for _, e := range slices.Backward(events) {
		key := upstreamKey{e.Service, e.Upstream}
		at, known := open[key]
		if e.Kind == access.Ejected {
			if known {
				found[at].reeject(e)
			}
			open[key] = len(found)
			found = append(found, newEjection(e))
			continue
		}
		if !known {
			continue
		}
		found[at].apply(e)
		if e.Kind == access.Restored {
			delete(open, key)
		}
	}
	for i := range found {
		found[i].Duration = found[i].duration()
	}
	slices.Reverse(found)
	return found
}

func newEjection(e Event) Ejection {
	return Ejection{
		Service: e.Service, Upstream: e.Upstream, By: e.By, Age: e.Age, State: access.StateEjected,
		Trial: noAge, Ramp: noAge, Back: noAge, Remaining: e.Remaining, Reason: e.Reason, Evidence: e.Evidence,
		ForcedBy: []string{},
	}
}

func (a *Ejection) apply(e Event) {
	switch e.Kind {
	case access.Trial:
		a.State, a.Trial, a.Remaining = access.StateTrial, e.Age, 0
	case access.Ramp:
		a.State, a.Ramp, a.Remaining = access.StateRamp, e.Age, 0
	case access.Restored:
		a.State, a.Back, a.Remaining = string(access.Restored), e.Age, 0
	case access.ForcedUnderFloor:
		if !slices.Contains(a.ForcedBy, e.By) {
			a.ForcedBy = append(a.ForcedBy, e.By)
		}
	default:
	}
}

// reeject ends the episode where the next one begins.
func (a *Ejection) reeject(e Event) {
	a.State, a.Remaining, a.Back = StateReejected, 0, e.Age
}

// IsOngoing tells whether the upstream is not in full use yet.
func (a *Ejection) IsOngoing() bool {
	return a.State != string(access.Restored) && a.State != StateReejected
}

// duration returns how long the upstream had no work but trials.
func (a *Ejection) duration() clock.Millis {
	switch {
	case a.Ramp != noAge:
		return a.Age - a.Ramp
	case a.Back != noAge:
		return a.Age - a.Back
	default:
		return a.Age
	}
}

// pathLosses makes episodes of paths lost and found again, the newest first.
func pathLosses(events []Event) []Path {
	found := []Path{}
	type ends struct{ from, to string }
	open := make(map[ends]int)
	for _, e := range slices.Backward(events) {
		key := ends{e.By, e.Node}
		at, known := open[key]
		switch {
		case e.Kind == access.PathLost && !known:
			open[key] = len(found)
			found = append(found, Path{From: e.By, To: e.Node, Age: e.Age, Reason: e.Reason, Back: noAge})
		case e.Kind == access.PathRestored && known:
			found[at].Back = e.Age
			delete(open, key)
		}
	}
	slices.Reverse(found)
	return found
}
