package report

import (
	"cmp"
	"net"
	"slices"
	"syscall"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// Merge merges the results of the queried nodes into one report. It sums the totals; a node
// that answered at two addresses counts once. Merge leaves Report.AsOf unset.
func Merge(results []NodeResult) Report {
	m := &merger{names: make(map[string]string), totals: make(map[totalKey]*access.Total)}
	m.report = Report{
		Format: Format, Nodes: []Node{}, Findings: []Finding{},
		Totals: []access.Total{}, Callers: []Caller{}, Refusals: []Refusal{},
		Services: []Service{}, Upstreams: []Upstream{}, Ejections: []Ejection{}, Paths: []Path{},
		Events: []Event{}, Unserved: []Record{}, Burn: []Burn{}, Retries: []access.ServiceRetries{},
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
	m.mergeShares()
	m.mergeBurn()
	m.mergeRetries()
	m.mergeUpstreams()
	m.report.Ejections = ejections(m.report.Events)
	m.report.Paths = pathLosses(m.report.Events)
	m.report.Findings = buildFindings(&m.report)
	return m.report
}

// merger holds the intermediate state of Merge.
type merger struct {
	report    Report
	snapshots []*access.Snapshot
	// names maps the link address of a node to its name.
	names  map[string]string
	totals map[totalKey]*access.Total
}

// totalKey identifies the totals that are summed over nodes.
type totalKey struct {
	caller, service, upstream string
	outcome                   access.Outcome
	reason                    string
}

// addNode adds a node to the report, and its snapshot to the merger if the node answered
// for the first time.
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
		snapshot := *s
		snapshot.Name = n.Name
		m.snapshots = append(m.snapshots, &snapshot)
		m.report.Filter = s.Filter
	}
	m.report.Nodes = append(m.report.Nodes, n)
}

// describeFetchError describes why a node's snapshot is missing. The text completes a
// sentence about the node.
func describeFetchError(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &netErr) && netErr.Timeout():
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

// nodeName returns the name of the node at a link address, or the address itself if that
// node didn't answer.
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
		if total := m.totals[key]; total != nil {
			total.Count += t.Count
			total.Took += t.Took
			continue
		}
		m.totals[key] = &t
	}
}

// addHistory adds the snapshot's events, and its records of requests that were not served.
func (m *merger) addHistory(s *access.Snapshot) {
	for _, e := range s.Events {
		event := Event{
			By: s.Name, Age: max(s.Now-e.At, 0), Kind: e.Kind, Service: e.Service, Upstream: e.Upstream,
			Node: m.nodeName(e.Node), Reason: e.Reason, Evidence: e.Evidence,
		}
		if e.Until > 0 {
			event.Remaining = max(e.Until-s.Now, 0)
		}
		m.report.Events = append(m.report.Events, event)
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

// finishTotals computes the refusals and the services from the merged totals, and sorts
// these lists, the events and the unserved requests.
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

// mergeBurn merges each service's windows over all nodes and evaluates them against the
// objective from the node with the newest table.
func (m *merger) mergeBurn() {
	type merged struct {
		table     uint64
		objective access.Objective
		windows   [][]burn.Window
	}
	services := make(map[string]*merged)
	for _, s := range m.snapshots {
		for _, b := range s.Burn {
			service := services[b.Service]
			if service == nil {
				service = &merged{}
				services[b.Service] = service
			}
			if service.windows == nil || s.Table > service.table {
				service.table, service.objective = s.Table, b.Objective
			}
			service.windows = append(service.windows, b.Windows)
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

// noAge is the age of an event that has not happened.
const noAge clock.Millis = -1
