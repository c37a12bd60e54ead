package report

import (
	"cmp"
	"slices"
	"syscall"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// Merge makes one report of the nodes' answers. Totals are summed; a node that
// answered at two addresses counts once.
func Merge(results []NodeResult) Report {
	m := &merger{names: make(map[string]string), totals: make(map[totalKey]*access.Total)}
	m.report = Report{
		Format: Format, Nodes: []Node{}, Findings: []Finding{},
		Totals: []access.Total{}, Callers: []Caller{}, Refusals: []Refusal{},
		Services: []Service{}, Upstreams: []Upstream{}, Ejections: []Ejection{}, Paths: []Path{},
		Events: []Event{}, Unserved: []Record{}, Burn: []Burn{},
	}
	for _, r := range results {
		m.addNode(r)
	}
	for _, s := range m.snapshots {
		m.addTotals(s)
		m.addHistory(s)
	}
	m.finishTotals()
	m.mergeCallers()
	m.mergeBurn()
	m.mergeUpstreams()
	m.report.Ejections = ejections(m.report.Events)
	m.report.Paths = pathLosses(m.report.Events)
	m.report.Findings = buildFindings(&m.report)
	return m.report
}

// merger holds what Merge has gathered so far.
type merger struct {
	report    Report
	snapshots []*access.Snapshot
	// names holds the names of nodes by link address.
	names  map[string]string
	totals map[totalKey]*access.Total
}

// totalKey is what totals of two nodes are the same by.
type totalKey struct {
	caller, service, upstream string
	outcome                   access.Outcome
	reason                    string
}

func (m *merger) addNode(r NodeResult) {
	n := Node{Address: r.Address}
	s := r.Snapshot
	switch {
	case r.Err != nil:
		n.Fault = describeFetchError(r.Err)
		m.report.Partial = true
	case s == nil:
		n.Fault = "it was not asked"
		m.report.Partial = true
	case s.Node != "" && m.names[s.Node] != "":
		n.Name, n.Duplicate = m.names[s.Node], true
	default:
		n.Name, n.Node, n.Domain, n.Table = cmp.Or(s.Name, s.Node, r.Address), s.Node, s.Domain, s.Table
		n.Uptime, n.Span, n.Open, n.Dropped = s.Uptime, s.Span, s.Open, s.Dropped
		if s.Node != "" {
			m.names[s.Node] = n.Name
		}
		named := *s
		named.Name = n.Name
		m.snapshots = append(m.snapshots, &named)
		m.report.Filter = s.Filter
	}
	m.report.Nodes = append(m.report.Nodes, n)
}

// describeFetchError says in words why a node didn't answer.
func describeFetchError(err error) string {
	switch {
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return "it did not answer in time"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "it refused the connection"
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return "no way there from here"
	case errors.Is(err, ErrInvalidAnswer):
		return "its answer can't be read: " + err.Error()
	default:
		return err.Error()
	}
}

// nodeName returns the name of the node at a link address, if it answered.
func (m *merger) nodeName(link string) string {
	return cmp.Or(m.names[link], link)
}

func (m *merger) addTotals(s *access.Snapshot) {
	r := &m.report.Requests
	r.Received += s.Received
	r.Closed += s.Closed
	r.Open += s.Open
	for _, t := range s.Totals {
		r.add(&t)
		key := totalKey{t.Caller, t.Service, t.Upstream, t.Outcome, t.Reason}
		if known := m.totals[key]; known != nil {
			known.Count += t.Count
			known.Took += t.Took
			continue
		}
		m.totals[key] = &t
	}
}

func (m *merger) addHistory(s *access.Snapshot) {
	for _, e := range s.Events {
		noted := Event{
			By: s.Name, Age: max(s.Now-e.At, 0), Kind: e.Kind, Service: e.Service, Upstream: e.Upstream,
			Node: m.nodeName(e.Node), Reason: e.Reason, Evidence: e.Evidence,
		}
		if e.Until > 0 {
			noted.Remaining = max(e.Until-s.Now, 0)
		}
		m.report.Events = append(m.report.Events, noted)
	}
	for _, r := range s.Records {
		if r.Outcome == access.Served {
			continue
		}
		m.report.Unserved = append(m.report.Unserved, Record{
			Entry: s.Name, Age: max(s.Now-r.Started-r.Took, 0), ID: r.ID, Caller: r.Caller,
			Service: r.Service, Route: r.Route, Domain: r.Domain, Method: r.Method,
			Outcome: r.Outcome, Reason: r.Reason, Upstream: r.Upstream, Attempts: r.Attempts,
			Status: r.Status, Took: r.Took, Forced: r.Forced,
		})
	}
}

func (m *merger) finishTotals() {
	refusals := make(map[Refusal]uint64)
	services := make(map[string]*Service)
	for _, t := range m.totals {
		m.report.Totals = append(m.report.Totals, *t)
		if services[t.Service] == nil {
			services[t.Service] = &Service{Name: t.Service}
		}
		services[t.Service].add(t)
		if t.Outcome != access.Served {
			key := Refusal{Service: t.Service, Outcome: t.Outcome, Reason: t.Reason}
			refusals[key] += t.Count
		}
	}
	access.SortTotals(m.report.Totals)
	for r, n := range refusals {
		r.Count, r.Meaning, r.CallerFault = n, describeReason(r.Reason), access.IsCallerFault(r.Reason)
		m.report.Refusals = append(m.report.Refusals, r)
	}
	slices.SortFunc(m.report.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	for _, s := range services {
		m.report.Services = append(m.report.Services, *s)
	}
	slices.SortFunc(m.report.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(m.report.Events, func(a, b Event) int { return cmp.Compare(a.Age, b.Age) })
	slices.SortStableFunc(m.report.Unserved, func(a, b Record) int { return cmp.Compare(a.Age, b.Age) })
}

// mergeBurn judges each service's merged windows by the objective of the node
// with the newest table.
func (m *merger) mergeBurn() {
	type merged struct {
		table     uint64
		objective access.Objective
		windows   [][]burn.Window
	}
	services := make(map[string]*merged)
	for _, s := range m.snapshots {
		for _, b := range s.Burn {
			known := services[b.Service]
			if known == nil {
				known = &merged{}
				services[b.Service] = known
			}
			if known.windows == nil || s.Table > known.table {
				known.table, known.objective = s.Table, b.Objective
			}
			known.windows = append(known.windows, b.Windows)
		}
	}
	for name, b := range services {
		m.report.Burn = append(m.report.Burn, Burn{
			Service: name, Objective: b.objective,
			Evaluation: burn.Evaluate(table.Objective(b.objective), burn.Merge(b.windows...)),
		})
	}
	slices.SortFunc(m.report.Burn, func(a, b Burn) int { return cmp.Compare(a.Service, b.Service) })
}

// noAge marks an age of what has not happened.
const noAge clock.Millis = -1
