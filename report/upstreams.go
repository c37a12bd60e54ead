package report

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// StateGone is the state of an upstream that had requests and that no node's
// table names.
const StateGone = "gone"

// upstreamKey names an upstream among all services.
type upstreamKey struct {
	service string
	name    string
}

// upstreamSum gathers what nodes say of one upstream.
type upstreamSum struct {
	Upstream

	took clock.Millis
	seen bool
}

// mergeUpstreams takes each upstream's state from its own gate, which sees all
// its outcomes. What only entries can tell, that they can't reach it, stands
// beside that state: it is about the path, not about the upstream.
func (m *merger) mergeUpstreams() {
	sums := make(map[upstreamKey]*upstreamSum)
	at := func(service, name string) *upstreamSum {
		key := upstreamKey{service, name}
		if sums[key] == nil {
			sums[key] = &upstreamSum{Upstream: Upstream{
				UpstreamState:   access.UpstreamState{Service: service, Name: name, State: StateGone},
				UnreachableFrom: []string{}, ForcedBy: []string{},
			}}
		}
		return sums[key]
	}
	named := make(map[string]bool)
	for _, s := range m.snapshots {
		for _, u := range s.Upstreams {
			named[u.Node] = true
			if s.Filter.MatchesUpstream(u) {
				at(u.Service, u.Name).addView(s, u)
			}
		}
	}
	m.report.TableNodes = len(named)
	for _, t := range m.report.Totals {
		if t.Upstream == "" || t.Upstream == access.Others {
			continue
		}
		u := at(t.Service, t.Upstream)
		u.add(&t)
		if t.Outcome == access.Served {
			u.took += t.Took
		}
	}
	for _, u := range sums {
		u.Node = m.nodeName(u.Node)
		if u.Served > 0 {
			u.Mean = u.took / clock.Millis(u.Served)
		}
		m.report.Upstreams = append(m.report.Upstreams, u.Upstream)
	}
	slices.SortFunc(m.report.Upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
}

// addView takes in one node's view.
func (u *upstreamSum) addView(s *access.Snapshot, state access.UpstreamState) {
	u.NodesReporting++
	lost := state.State == access.StateUnreachable
	if lost {
		u.UnreachableFrom = append(u.UnreachableFrom, s.Name)
	}
	if state.State == access.StateForced {
		u.ForcedBy = append(u.ForcedBy, s.Name)
	}
	gate := s.Node != "" && s.Node == state.Node
	better := !u.seen || u.State == access.StateUnreachable && !lost || !lost && state.Severity > u.Severity
	if gate || !u.FromGate && better {
		u.UpstreamState = state
		u.FromGate = gate
	}
	u.seen = true
}

// upstreamLabel names an upstream for people: by its service too if another service
// has one of the same name.
func (r *Report) upstreamLabel(service, upstream string) string {
	for _, u := range r.Upstreams {
		if u.Name == upstream && u.Service != service {
			return service + "/" + upstream
		}
	}
	return upstream
}
