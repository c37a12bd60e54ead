package report

import (
	"maps"
	"slices"
	"strconv"

	"fuchsiapick.example/fuchsiapick/access"
)

// Answered returns the number of nodes whose snapshot is in the report. A node that
// answered at several addresses counts once.
func (r *Report) Answered() int {
	n := 0
	for _, node := range r.Nodes {
		if node.Fault == "" && !node.Duplicate {
			n++
		}
	}
	return n
}

// addConfiguration adds findings on nodes with different tables in force, on nodes that the
// platform doesn't answer, and on tables that nodes rejected.
func (f *findingsBuilder) addConfiguration() {
	versions := make(map[uint64][]string)
	for _, n := range f.report.Nodes {
		if n.Fault == "" && !n.Duplicate {
			versions[n.Table] = append(versions[n.Table], n.Name)
		}
	}
	if len(versions) > 1 {
		text := "The nodes have different tables in force:"
		for i, version := range slices.Sorted(maps.Keys(versions)) {
			if i > 0 {
				text += ";"
			}
			text += " " + tableName(version) + " on " + joinNames(versions[version])
		}
		f.add(LevelWatch, text, ". A change takes a few seconds to reach all.")
	}
	// The events are sorted newest first, so the first platform event of a node gives the
	// current state.
	seen := make(map[string]bool)
	var disconnected []string
	for _, e := range f.report.Events {
		if e.Kind != access.PlatformLost && e.Kind != access.PlatformRestored || seen[e.By] {
			continue
		}
		seen[e.By] = true
		if e.Kind == access.PlatformLost {
			disconnected = append(disconnected, e.By+" ("+formatAge(e.Age)+")")
		}
	}
	if len(disconnected) > 0 {
		f.add(LevelWatch, "The platform's service stopped answering to ", joinNames(disconnected),
			". The table in force stays in force; no change can come in that way.")
	}
	f.addRejectedTables()
}

// addRejectedTables adds a finding for each reason for which nodes rejected a table or
// ignored an older one, unless the node has accepted a table since. A reason that several
// nodes share is reported once.
func (f *findingsBuilder) addRejectedTables() {
	accepted := make(map[string]bool)
	reported := make(map[string]bool)
	for _, e := range f.report.Events {
		switch e.Kind {
		case access.TableAccepted:
			accepted[e.By] = true
		case access.TableRejected, access.TableOlder:
			if accepted[e.By] || reported[string(e.Kind)+e.Reason] {
				continue
			}
			reported[string(e.Kind)+e.Reason] = true
			if e.Kind == access.TableOlder {
				f.add(LevelWatch, "The platform offers ", e.By, " an older table than the one in force (", e.Reason,
					"). It is not taken; publish a higher version to move on.")
				continue
			}
			f.add(LevelBad, "A table was rejected ", formatAge(e.Age), " by ", e.By, ": ", e.Reason,
				". The last accepted one stays in force.")
		default:
		}
	}
}

func tableName(version uint64) string {
	if version == 0 {
		return "none"
	}
	return "version " + strconv.FormatUint(version, 10)
}

// addDroppedData adds findings on data that is missing from the report because nodes keep a
// bounded history, and on inconsistent request counts.
func (f *findingsBuilder) addDroppedData() {
	var incomplete []string
	var unattributed, unmatched uint64
	for _, n := range f.report.Nodes {
		wanted := n.Uptime
		if since := f.report.Filter.Since; since > 0 {
			wanted = min(wanted, since)
		}
		if n.Fault == "" && n.Span < wanted {
			incomplete = append(incomplete, n.Name+" ("+formatDuration(n.Span)+" of "+formatDuration(wanted)+")")
		}
		unattributed += n.Dropped.Unattributed
		unmatched += n.Dropped.Unmatched
	}
	if len(incomplete) > 0 {
		f.add(LevelWatch, "Totals don't reach back as far as was asked, since a node keeps a bounded number of requests: ",
			joinNames(incomplete), ".")
	}
	if unattributed > 0 {
		f.add(LevelNote, pluralize(unattributed, "request", "requests"),
			" may match the filter and are left out: their service and upstream are no longer kept apart.")
	}
	if unmatched > 0 {
		f.add(LevelBad, pluralize(unmatched, "account was", "accounts were"),
			" closed with no request open. That is a fault of the program; please report it.")
	}
}

// addAllClear adds a finding that nothing needs attention, since an empty list of findings
// could also mean that nothing was checked.
func (f *findingsBuilder) addAllClear() {
	needsAttention := slices.ContainsFunc(f.findings, func(x Finding) bool { return x.Level != LevelNote })
	if !needsAttention && !f.report.Partial && f.report.Answered() > 0 {
		f.add(LevelNote, "Nothing needs attention: all nodes answered, no upstream was set aside, no path is lost, no budget burns.")
	}
}
