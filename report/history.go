package report

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// StateReejected is the state of an ejection whose upstream was ejected again before it was
// back in full use.
const StateReejected = "relapsed"

// ejections groups the events that gates recorded into one Ejection for each time that an
// upstream was ejected. The events and the result are sorted newest first.
func ejections(events []Event) []Ejection {
	found := []Ejection{}
	// open holds the index of the ongoing ejection of each upstream.
	open := make(map[upstreamKey]int)
	for _, e := range slices.Backward(events) {
		key := upstreamKey{e.Service, e.Upstream}
		index, ok := open[key]
		if e.Kind == access.Ejected {
			if ok {
				found[index].reeject(e)
			}
			open[key] = len(found)
			found = append(found, newEjection(e))
			continue
		}
		if !ok {
			continue
		}
		found[index].apply(e)
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

// apply updates the ejection with a later event of its upstream.
func (e *Ejection) apply(event Event) {
	switch event.Kind {
	case access.Trial:
		e.State, e.Trial, e.Remaining = access.StateTrial, event.Age, 0
	case access.Ramp:
		e.State, e.Ramp, e.Remaining = access.StateRamp, event.Age, 0
	case access.Restored:
		e.State, e.Back, e.Remaining = string(access.Restored), event.Age, 0
	case access.ForcedUnderFloor:
		if !slices.Contains(e.ForcedBy, event.By) {
			e.ForcedBy = append(e.ForcedBy, event.By)
		}
	default:
	}
}

// reeject ends the ejection at the event that begins the upstream's next one.
func (e *Ejection) reeject(next Event) {
	e.State, e.Remaining, e.Back = StateReejected, 0, next.Age
}

// IsOngoing reports whether the upstream isn't back in full use yet.
func (e *Ejection) IsOngoing() bool {
	return e.State != string(access.Restored) && e.State != StateReejected
}

// duration returns how long the upstream got no requests other than trials.
func (e *Ejection) duration() clock.Millis {
	switch {
	case e.Ramp != noAge:
		return e.Age - e.Ramp
	case e.Back != noAge:
		return e.Age - e.Back
	default:
		return e.Age
	}
}

// pathLosses groups path events into one Path for each time that a path was lost. The
// events and the result are sorted newest first.
func pathLosses(events []Event) []Path {
	found := []Path{}
	type nodePair struct{ from, to string }
	open := make(map[nodePair]int)
	for _, e := range slices.Backward(events) {
		key := nodePair{e.By, e.Node}
		index, ok := open[key]
		switch {
		case e.Kind == access.PathLost && !ok:
			open[key] = len(found)
			found = append(found, Path{From: e.By, To: e.Node, Age: e.Age, Reason: e.Reason, Back: noAge})
		case e.Kind == access.PathRestored && ok:
			found[index].Back = e.Age
			delete(open, key)
		}
	}
	slices.Reverse(found)
	return found
}
