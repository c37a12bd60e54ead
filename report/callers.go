package report

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// callerSum accumulates a caller's totals over all nodes.
type callerSum struct {
	Caller

	// servedTime is the summed duration of the requests that were served.
	servedTime clock.Millis
	upstreams  map[string]bool
}

// mergeCallers sums the totals of each caller over all nodes, and computes for each caller
// how many of its requests the nodes may have counted under access.Others.
func (m *merger) mergeCallers() {
	sums := make(map[string]*callerSum)
	sumOf := func(name string) *callerSum {
		if sums[name] == nil {
			sums[name] = &callerSum{Caller: Caller{Name: name}, upstreams: make(map[string]bool)}
		}
		return sums[name]
	}
	for _, t := range m.report.Totals {
		c := sumOf(t.Caller)
		c.add(&t)
		if t.Upstream != "" {
			c.upstreams[t.Upstream] = true
		}
		if t.Outcome == access.Served {
			c.servedTime += t.Took
		}
	}
	if requested := m.report.Filter.Caller; requested != "" {
		sumOf(requested)
	}
	m.addMissed(sums)
	for _, c := range sums {
		c.Upstreams = len(c.upstreams)
		if c.Served > 0 {
			c.Mean = c.servedTime / clock.Millis(c.Served)
		}
		m.report.Callers = append(m.report.Callers, c.Caller)
	}
	slices.SortFunc(m.report.Callers, func(a, b Caller) int {
		return cmp.Or(cmp.Compare(b.Sum(), a.Sum()), cmp.Compare(a.Name, b.Name))
	})
}

// addMissed adds to each caller the maximum number of its requests that the nodes may have
// counted under access.Others. A node that doesn't list a caller may have counted up to
// Snapshot.MaxMissed of its requests there.
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

// formatMean formats the mean duration of the requests that were served, or "-" if there
// are none.
func formatMean(mean clock.Millis, served uint64) string {
	if served == 0 {
		return "-"
	}
	return formatDuration(mean)
}
