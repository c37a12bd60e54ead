package report

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// StateGone is the state of an upstream that got requests but is in no node's table.
const StateGone = "gone"

// upstreamKey identifies an upstream among those of all services.
type upstreamKey struct {
	service string
	name    string
}

// upstreamSum accumulates what the nodes report on one upstream.
type upstreamSum struct {
	Upstream

	// servedTime is the summed duration of the requests that the upstream served.
	servedTime clock.Millis
	// hasView is set once a node's view of the upstream was added.
	hasView bool
}

// mergeUpstreams takes each upstream's state from its own gate, which sees all its outcomes.
// Nodes that can't reach the upstream are listed apart from this state, since they report on
// the path and not on the upstream.
func (m *merger) mergeUpstreams() {
	sums := make(map[upstreamKey]*upstreamSum)
	sumOf := func(service, name string) *upstreamSum {
		key := upstreamKey{service, name}
		if sums[key] == nil {
			sums[key] = &upstreamSum{Upstream: Upstream{
				UpstreamState:   access.UpstreamState{Service: service, Name: name, State: StateGone},
				UnreachableFrom: []string{}, ForcedBy: []string{},
			}}
		}
		return sums[key]
	}
	tableNodes := make(map[string]bool)
	for _, s := range m.snapshots {
		for _, u := range s.Upstreams {
			tableNodes[u.Node] = true
			if s.Filter.MatchesUpstream(u) {
				sumOf(u.Service, u.Name).addView(s, u)
			}
		}
	}
	m.report.TableNodes = len(tableNodes)
	for _, t := range m.report.Totals {
		if t.Upstream == "" || t.Upstream == access.Others {
			continue
		}
		u := sumOf(t.Service, t.Upstream)
		u.add(&t)
		if t.Outcome == access.Served {
			u.servedTime += t.Took
		}
	}
	for _, u := range sums {
		u.Node = m.nodeName(u.Node)
		if u.Served > 0 {
			u.Mean = u.servedTime / clock.Millis(u.Served)
		}
		m.report.Upstreams = append(m.report.Upstreams, u.Upstream)
	}
	slices.SortFunc(m.report.Upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
}

// addView adds one node's view of the upstream. The view of the upstream's own gate wins;
// without it, a view from a node that reaches the upstream wins over one that doesn't, and
// among these the one with the highest severity.
func (u *upstreamSum) addView(s *access.Snapshot, state access.UpstreamState) {
	u.NodesReporting++
	unreachable := state.State == access.StateUnreachable
	if unreachable {
		u.UnreachableFrom = append(u.UnreachableFrom, s.Name)
	}
	if state.State == access.StateForced {
		u.ForcedBy = append(u.ForcedBy, s.Name)
	}
	isGate := s.Node != "" && s.Node == state.Node
	better := !u.hasView || u.State == access.StateUnreachable && !unreachable || !unreachable && state.Severity > u.Severity
	if isGate || !u.FromGate && better {
		u.UpstreamState = state
		u.FromGate = isGate
	}
	u.hasView = true
}

// upstreamLabel returns the name under which an upstream is shown. It includes the service
// if another service has an upstream of the same name.
func (r *Report) upstreamLabel(service, upstream string) string {
	for _, u := range r.Upstreams {
		if u.Name == upstream && u.Service != service {
			return service + "/" + upstream
		}
	}
	return upstream
}
