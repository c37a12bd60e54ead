package report

import (
	"cmp"
	"slices"
	"strconv"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// Limits on the rows of a table in text and HTML; the JSON report has all rows.
const (
	maxRows = 40
	// maxLatestRows is the limit for tables of single requests and of events.
	maxLatestRows = 20
)

// column is a column's heading and layout. Numbers are aligned to the right; only columns
// that are Long are wrapped.
type column struct {
	Name   string
	Number bool
	Long   bool
}

// sheet is one table of the report, with the same content in text and in HTML.
type sheet struct {
	Title string
	// Note explains in a sentence how to read the table.
	Note    string
	Columns []column
	Rows    [][]string
	// Empty is shown in place of a table without rows.
	Empty string
	// Left is the number of rows that are not shown.
	Left int
}

// Short reports whether the table should stay on one printed page.
func (s sheet) Short() bool { return len(s.Rows) <= maxLatestRows }

func textColumn(name string) column { return column{Name: name} }

func longTextColumn(name string) column { return column{Name: name, Long: true} }

func numberColumn(name string) column { return column{Name: name, Number: true} }

// limitRows keeps the first limit rows, and strips control characters from their cells.
func (s sheet) limitRows(limit int) sheet {
	if excess := len(s.Rows) - limit; excess > 0 {
		s.Rows, s.Left = s.Rows[:limit], excess
	}
	for _, row := range s.Rows {
		for i := range row {
			row[i] = stripControl(row[i])
		}
	}
	return s
}

// sheets returns the report's tables in the order in which they are shown. If no node
// answered, it returns only the table of nodes.
func (r *Report) sheets() []sheet {
	if r.Answered() == 0 {
		return []sheet{r.nodeSheet().limitRows(maxRows)}
	}
	sheets := []sheet{
		r.upstreamSheet().limitRows(maxRows), r.callerSheet().limitRows(maxRows), r.totalSheet().limitRows(maxRows), r.refusalSheet().limitRows(maxRows),
		r.ejectionSheet().limitRows(maxRows), r.pathSheet().limitRows(maxRows), r.burnSheet().limitRows(maxRows), r.retrySheet().limitRows(maxRows),
		r.causeSheet().limitRows(maxRows), r.unservedSheet().limitRows(maxLatestRows), r.eventSheet().limitRows(maxLatestRows),
		r.nodeSheet().limitRows(maxRows),
	}
	return slices.Insert(sheets, 2, r.shareSheets()...) // behind the callers
}

func (r *Report) upstreamSheet() sheet {
	s := sheet{
		Title: "Upstreams",
		Note: "Set aside means sick by its own gate's evidence. Unreachable is about a path, " +
			"leaving and off are planned, over its limit is busy.",
		Columns: []column{
			textColumn("service"), textColumn("upstream"), textColumn("domain"), longTextColumn("state"), numberColumn("weight"), numberColumn("slots"),
			numberColumn("busy"), numberColumn("served"), numberColumn("with error"),
			numberColumn("not run"), numberColumn("unknown"), numberColumn("mean time served"),
		},
		Empty: "No upstream is known to the nodes that answered.",
	}
	for _, u := range r.Upstreams {
		s.Rows = append(s.Rows, []string{
			u.Service, u.Name, u.Domain, formatUpstreamState(u), formatCount(u.Weight), formatCount(u.Slots),
			formatCount(u.InFlight), formatCount(u.Served), formatCount(u.Errors), formatCount(u.NotRun), formatCount(u.Unknown), formatMean(u.Mean, u.Served),
		})
	}
	return s
}

// formatUpstreamState describes an upstream's state, and adds what only entries know: how
// many nodes can't reach the upstream's node, and how many keep using the upstream under
// the floor.
func formatUpstreamState(u Upstream) string {
	text := formatState(u.State)
	if len(u.ForcedBy) > 0 && u.State != access.StateForced {
		text += ", kept in use by " + formatCount(len(u.ForcedBy)) + " of " + formatCount(u.NodesReporting)
	}
	if len(u.UnreachableFrom) > 0 {
		if u.State != access.StateUnreachable {
			text += ", unreachable"
		}
		text += " from " + formatCount(len(u.UnreachableFrom)) + " of " + pluralize(u.NodesReporting, "node", "nodes")
	}
	return text
}

// totalSheet lists the merged totals. A refusal by an upstream's gate is listed with that
// upstream.
func (r *Report) totalSheet() sheet {
	s := sheet{
		Title: "Who got what",
		Note:  "Every finished request, by caller, service, upstream and outcome.",
		Columns: []column{
			longTextColumn("caller"), textColumn("service"), textColumn("upstream"), textColumn("outcome"), longTextColumn("reason"),
			numberColumn("requests"), numberColumn("mean time"),
		},
		Empty: "No request is on account.",
	}
	for _, t := range r.Totals {
		reason := ""
		if t.Reason != "" || t.Outcome != access.Served {
			reason = describeReason(t.Reason)
		}
		s.Rows = append(s.Rows, []string{
			callerName(t.Caller), cmp.Or(t.Service, "(no service)"), cmp.Or(t.Upstream, "(none)"),
			formatOutcome(t.Outcome), reason, formatCount(t.Count),
			formatDuration(t.Took / clock.Millis(max(t.Count, 1))),
		})
	}
	return s
}

func formatOutcome(o access.Outcome) string {
	if o == access.NotRun {
		return "not run"
	}
	return string(o)
}

func (r *Report) refusalSheet() sheet {
	s := sheet{
		Title: "Refused or unknown, by reason",
		Note:  "Not run means that no upstream began it. Unknown means that one may have.",
		Columns: []column{
			textColumn("service"), textColumn("outcome"), longTextColumn("reason"), numberColumn("requests"), textColumn("answers for it"),
		},
		Empty: "No request was refused or has an unknown outcome.",
	}
	for _, f := range r.Refusals {
		responsible := "the service"
		if f.CallerFault {
			responsible = "the caller"
		}
		s.Rows = append(s.Rows, []string{
			cmp.Or(f.Service, "(no service)"), formatOutcome(f.Outcome), f.Meaning, formatCount(f.Count), responsible,
		})
	}
	return s
}

func (r *Report) ejectionSheet() sheet {
	s := sheet{
		Title: "Set aside",
		Note:  "Each time that a gate set its upstream aside, with what it had seen. The score sets an upstream aside at its limit.",
		Columns: []column{
			textColumn("service"), textColumn("upstream"), textColumn("by gate"), textColumn("when"), longTextColumn("evidence"),
			numberColumn("score/limit"), numberColumn("out for"), longTextColumn("now"), longTextColumn("kept in use by"),
		},
		Empty: "No upstream was set aside in the time that the nodes remember.",
	}
	for _, e := range r.Ejections {
		now := formatState(e.State)
		if e.Remaining > 0 {
			now += ", tried again in " + formatDuration(e.Remaining)
		}
		s.Rows = append(s.Rows, []string{
			e.Service, e.Upstream, e.By, formatAge(e.Age), formatEvidence(e.Evidence, e.Reason),
			formatScore(e.Evidence), formatDuration(e.Duration), now, cmp.Or(joinNames(e.ForcedBy), "nobody"),
		})
	}
	return s
}

func formatScore(e access.Evidence) string {
	return strconv.FormatFloat(e.Score, 'f', 1, 64) + "/" + strconv.FormatFloat(e.Threshold, 'f', 1, 64)
}

func (r *Report) pathSheet() sheet {
	s := sheet{
		Title:   "Paths lost between nodes",
		Note:    "A lost path says nothing about the health of the upstreams at its other end.",
		Columns: []column{textColumn("from"), textColumn("to"), textColumn("lost"), textColumn("for"), longTextColumn("now")},
		Empty:   "No path was lost in the time that the nodes remember.",
	}
	for _, p := range r.Paths {
		duration, now := p.Age, "still lost"
		if p.Back != noAge {
			duration, now = p.Age-p.Back, "back "+formatAge(p.Back)
		}
		s.Rows = append(s.Rows, []string{p.From, p.To, formatAge(p.Age), formatDuration(duration), now})
	}
	return s
}

func (r *Report) unservedSheet() sheet {
	s := sheet{
		Title: "Latest requests that were not served",
		Note:  "The id finds the request in the logs of its entry and its gate.",
		Columns: []column{
			textColumn("when"), longTextColumn("caller"), textColumn("method"), longTextColumn("route"), textColumn("upstream"), textColumn("outcome"),
			longTextColumn("reason"), numberColumn("tries"), numberColumn("took"), textColumn("entry"), textColumn("id"),
		},
		Empty: "None is on record.",
	}
	for _, u := range r.Unserved {
		s.Rows = append(s.Rows, []string{
			formatAge(u.Age), callerName(u.Caller), u.Method, cmp.Or(u.Route, "(none)"), cmp.Or(u.Upstream, "(none)"),
			formatOutcome(u.Outcome), describeReason(u.Reason), formatCount(u.Attempts), formatDuration(u.Took), u.Entry, u.ID,
		})
	}
	return s
}

func (r *Report) eventSheet() sheet {
	s := sheet{
		Title:   "What the nodes noted",
		Columns: []column{textColumn("when"), textColumn("by"), textColumn("what"), textColumn("upstream or node"), longTextColumn("reason")},
		Empty:   "Nothing is on record.",
	}
	for _, e := range r.Events {
		s.Rows = append(s.Rows, []string{
			formatAge(e.Age), e.By, formatEventKind(e.Kind), cmp.Or(e.Upstream, e.Node), e.Reason,
		})
	}
	return s
}

func (r *Report) nodeSheet() sheet {
	s := sheet{
		Title: "Nodes asked",
		Note:  "A node keeps a bounded number of single records; totals go on counting what was overwritten.",
		Columns: []column{
			textColumn("admin address"), textColumn("node"), textColumn("domain"), longTextColumn("answer"), textColumn("table"),
			numberColumn("up for"), numberColumn("totals reach"), numberColumn("open"), numberColumn("records overwritten"),
		},
	}
	for _, n := range r.Nodes {
		if n.Fault != "" || n.Duplicate {
			fault := n.Fault
			if n.Duplicate {
				fault = "counted at another address"
			}
			s.Rows = append(s.Rows, []string{n.Address, n.Name, "", fault, "", "", "", "", ""})
			continue
		}
		s.Rows = append(s.Rows, []string{
			n.Address, n.Name, n.Domain, "whole", tableName(n.Table), formatDuration(n.Uptime), formatDuration(n.Span),
			formatCount(n.Open), formatCount(n.Dropped.Served + n.Dropped.Unserved),
		})
	}
	return s
}
