package report

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// callerSum gathers a caller's totals.
type callerSum struct {
	Caller

	took      clock.Millis
	upstreams map[string]bool
}

// mergeCallers sums the callers' totals and says how exact they are.
func (m *merger) mergeCallers() {
	sums := make(map[string]*callerSum)
	at := func(name string) *callerSum {
		if sums[name] == nil {
			sums[name] = &callerSum{Caller: Caller{Name: name}, upstreams: make(map[string]bool)}
		}
		return sums[name]
	}
	for _, t := range m.report.Totals {
		c := at(t.Caller)
		c.add(&t)
		if t.Upstream != "" {
			c.upstreams[t.Upstream] = true
		}
		if t.Outcome == access.Served {
			c.took += t.Took
		}
	}
	if asked := m.report.Filter.Caller; asked != "" {
		at(asked)
	}
	m.addMissed(sums)
	for _, c := range sums {
		c.Upstreams = len(c.upstreams)
		if c.Served > 0 {
			c.Mean = c.took / clock.Millis(c.Served)
		}
		m.report.Callers = append(m.report.Callers, c.Caller)
	}
	slices.SortFunc(m.report.Callers, func(a, b Caller) int {
		return cmp.Or(cmp.Compare(b.Sum(), a.Sum()), cmp.Compare(a.Name, b.Name))
	})
}

// addMissed adds up what nodes may have counted under Others. A node that doesn't
// keep a caller apart may hold some of its requests there too.
func (m *merger) addMissed(sums map[string]*callerSum) {
	for _, s := range m.snapshots {
		listed := make(map[string]bool, len(s.Callers))
		for _, c := range s.Callers {
			if sum := sums[c.Caller]; sum != nil {
				sum.Missed += c.Missed
			}
			listed[c.Caller] = true
		}
		for name, sum := range sums {
			if !listed[name] && name != access.Others {
				sum.Missed += s.MaxMissed
			}
		}
	}
}

func (r *Report) callerSheet() sheet {
	s := sheet{
		Title: "Callers",
		Note: "A node keeps its busiest callers apart. \"May miss\" says how many more of a caller's " +
			"requests at most stand under (other).",
		Columns: []column{
			longTextColumn("caller"), numberColumn("requests"), numberColumn("served"), numberColumn("with error"), numberColumn("not run"), numberColumn("unknown"),
			numberColumn("upstreams"), numberColumn("mean time served"), numberColumn("may miss"),
		},
		Empty: "No request is on account.",
	}
	for _, c := range r.Callers {
		s.Rows = append(s.Rows, []string{
			callerName(c.Name), formatCount(c.Sum()), formatCount(c.Served), formatCount(c.Errors), formatCount(c.NotRun), formatCount(c.Unknown),
			formatCount(c.Upstreams), formatMean(c.Mean, c.Served), formatCount(c.Missed),
		})
	}
	return s
}

func callerName(name string) string {
	return cmp.Or(name, "(unnamed)")
}

// formatMean writes a mean over the requests served, if there are any.
func formatMean(mean clock.Millis, served uint64) string {
	if served == 0 {
		return "-"
	}
	return formatDuration(mean)
}
