package report

import (
	"cmp"
	"strconv"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// Bounds on the rows of a table for people; JSON has all.
const (
	mostRows = 40
	// mostLatest is for tables of single requests and events.
	mostLatest = 20
)

// column is a heading. Numbers are set to the right; only long texts are
// broken into lines.
type column struct {
	Name   string
	Number bool
	Long   bool
}

// sheet is one table for people, the same in text and in HTML.
type sheet struct {
	Title string
	// Note says in a sentence how to read the table.
	Note    string
	Columns []column
	Rows    [][]string
	// Empty stands in place of a table without rows.
	Empty string
	// Left is how many rows are not shown.
	Left int
}

// Short tells whether the table should stay on one printed page.
func (s sheet) Short() bool { return len(s.Rows) <= mostLatest }

func words(name string) column { return column{Name: name} }

func phrase(name string) column { return column{Name: name, Long: true} }

func count(name string) column { return column{Name: name, Number: true} }

// cut bounds the rows shown, and takes control characters out of them.
func (s sheet) cut(most int) sheet {
	if over := len(s.Rows) - most; over > 0 {
		s.Rows, s.Left = s.Rows[:most], over
	}
	for _, row := range s.Rows {
		for i := range row {
			row[i] = plain(row[i])
		}
	}
	return s
}

// sheets returns the report's tables in the order that people read them.
func (r *Report) sheets() []sheet {
	if r.Answered() == 0 {
		return []sheet{r.nodeSheet().cut(mostRows)}
	}
	return []sheet{
		r.upstreamSheet().cut(mostRows), r.callerSheet().cut(mostRows), r.totalSheet().cut(mostRows), r.refusalSheet().cut(mostRows),
		r.asideSheet().cut(mostRows), r.pathSheet().cut(mostRows), r.burnSheet().cut(mostRows),
		r.causeSheet().cut(mostRows), r.unservedSheet().cut(mostLatest), r.eventSheet().cut(mostLatest),
		r.nodeSheet().cut(mostRows),
	}
}

func (r *Report) upstreamSheet() sheet {
	s := sheet{
		Title: "Upstreams",
		Note: "Set aside means sick by its own gate's evidence. Unreachable is about a path, " +
			"leaving and off are planned, over its limit is busy.",
		Columns: []column{
			words("service"), words("upstream"), words("domain"), phrase("state"), count("weight"), count("slots"),
			count("busy"), count("served"), count("with error"),
			count("not run"), count("unknown"), count("mean time served"),
		},
		Empty: "No upstream is known to the nodes that answered.",
	}
	for _, u := range r.Upstreams {
		s.Rows = append(s.Rows, []string{
			u.Service, u.Name, u.Domain, upstreamWords(u), number(u.Weight), number(u.Slots),
			number(u.InFlight), number(u.Served), number(u.Errors), number(u.NotRun), number(u.Unknown), meanWords(u.Mean, u.Served),
		})
	}
	return s
}

// upstreamWords says an upstream's state, and beside it what only entries
// know: from where its node can't be reached, and who keeps using it.
func upstreamWords(u Upstream) string {
	text := stateWords(u.State)
	if len(u.Kept) > 0 && u.State != access.StateKept {
		text += ", kept in use by " + number(len(u.Kept)) + " of " + number(u.Views)
	}
	if len(u.Lost) > 0 {
		if u.State != access.StateUnreachable {
			text += ", unreachable"
		}
		text += " from " + number(len(u.Lost)) + " of " + plural(u.Views, "node", "nodes")
	}
	return text
}

// totalSheet is who got what. Refusals that one upstream's gate gave stand
// with that upstream.
func (r *Report) totalSheet() sheet {
	s := sheet{
		Title: "Who got what",
		Note:  "Every finished request, by caller, service, upstream and outcome.",
		Columns: []column{
			phrase("caller"), words("service"), words("upstream"), words("outcome"), phrase("reason"),
			count("requests"), count("mean time"),
		},
		Empty: "No request is on account.",
	}
	for _, t := range r.Totals {
		reason := ""
		if t.Reason != "" || t.Outcome != access.Served {
			reason = meaning(t.Reason)
		}
		s.Rows = append(s.Rows, []string{
			callerName(t.Caller), cmp.Or(t.Service, "(no service)"), cmp.Or(t.Upstream, "(none)"),
			outcomeWords(t.Outcome), reason, number(t.Count),
			span(t.Took / clock.Millis(max(t.Count, 1))),
		})
	}
	return s
}

func outcomeWords(o access.Outcome) string {
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
			words("service"), words("outcome"), phrase("reason"), count("requests"), words("answers for it"),
		},
		Empty: "No request was refused or has an unknown outcome.",
	}
	for _, f := range r.Refusals {
		who := "the service"
		if f.Fault {
			who = "the caller"
		}
		s.Rows = append(s.Rows, []string{
			cmp.Or(f.Service, "(no service)"), outcomeWords(f.Outcome), f.Meaning, number(f.Count), who,
		})
	}
	return s
}

func (r *Report) asideSheet() sheet {
	s := sheet{
		Title: "Set aside",
		Note:  "Each time that a gate set its upstream aside, with what it had seen. The score sets an upstream aside at its limit.",
		Columns: []column{
			words("service"), words("upstream"), words("by gate"), words("when"), phrase("evidence"),
			count("score/limit"), count("out for"), phrase("now"), phrase("kept in use by"),
		},
		Empty: "No upstream was set aside in the time that the nodes remember.",
	}
	for _, a := range r.Asides {
		now := stateWords(a.State)
		if a.Left > 0 {
			now += ", tried again in " + span(a.Left)
		}
		s.Rows = append(s.Rows, []string{
			a.Service, a.Upstream, a.By, ago(a.Age), evidenceWords(a.Evidence, a.Reason),
			scoreWords(a.Evidence), span(a.Out), now, cmp.Or(list(a.Kept), "nobody"),
		})
	}
	return s
}

func scoreWords(e access.Evidence) string {
	return strconv.FormatFloat(e.Score, 'f', 1, 64) + "/" + strconv.FormatFloat(e.Threshold, 'f', 1, 64)
}

func (r *Report) pathSheet() sheet {
	s := sheet{
		Title:   "Paths lost between nodes",
		Note:    "A lost path says nothing about the health of the upstreams at its other end.",
		Columns: []column{words("from"), words("to"), words("lost"), words("for"), phrase("now")},
		Empty:   "No path was lost in the time that the nodes remember.",
	}
	for _, p := range r.Paths {
		lasted, now := p.Age, "still lost"
		if p.Back != none {
			lasted, now = p.Age-p.Back, "back "+ago(p.Back)
		}
		s.Rows = append(s.Rows, []string{p.From, p.To, ago(p.Age), span(lasted), now})
	}
	return s
}

func (r *Report) unservedSheet() sheet {
	s := sheet{
		Title: "Latest requests that were not served",
		Note:  "The id finds the request in the logs of its entry and its gate.",
		Columns: []column{
			words("when"), phrase("caller"), words("method"), phrase("route"), words("upstream"), words("outcome"),
			phrase("reason"), count("tries"), count("took"), words("entry"), words("id"),
		},
		Empty: "None is on record.",
	}
	for _, u := range r.Unserved {
		s.Rows = append(s.Rows, []string{
			ago(u.Age), callerName(u.Caller), u.Method, cmp.Or(u.Route, "(none)"), cmp.Or(u.Upstream, "(none)"),
			outcomeWords(u.Outcome), meaning(u.Reason), number(u.Attempts), span(u.Took), u.Entry, u.ID,
		})
	}
	return s
}

func (r *Report) eventSheet() sheet {
	s := sheet{
		Title:   "What the nodes noted",
		Columns: []column{words("when"), words("by"), words("what"), words("upstream or node"), phrase("reason")},
		Empty:   "Nothing is on record.",
	}
	for _, e := range r.Events {
		s.Rows = append(s.Rows, []string{
			ago(e.Age), e.By, kindWords(e.Kind), cmp.Or(e.Upstream, e.Node), e.Reason,
		})
	}
	return s
}

func (r *Report) nodeSheet() sheet {
	s := sheet{
		Title: "Nodes asked",
		Note:  "A node keeps a bounded number of single records; totals go on counting what was overwritten.",
		Columns: []column{
			words("admin address"), words("node"), words("domain"), phrase("answer"), words("table"),
			count("up for"), count("totals reach"), count("open"), count("records overwritten"),
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
			n.Address, n.Name, n.Domain, "whole", tableName(n.Table), span(n.Life), span(n.Span),
			number(n.Open), number(n.Dropped.Served + n.Dropped.Unserved),
		})
	}
	return s
}
