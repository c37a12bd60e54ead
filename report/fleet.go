package report

import (
	"maps"
	"slices"
	"strconv"

	"fuchsiapick.example/fuchsiapick/access"
)

// Answered counts the nodes whose account is in the report.
func (r *Report) Answered() int {
	n := 0
	for _, node := range r.Nodes {
		if node.Fault == "" && !node.Duplicate {
			n++
		}
	}
	return n
}

// addConfiguration tells of tables and of the platform.
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
	// Only the latest event of a node about its platform says how it is now.
	latest := make(map[string]bool)
	var away []string
	for _, e := range f.report.Events {
		if e.Kind != access.PlatformLost && e.Kind != access.PlatformRestored || latest[e.By] {
			continue
		}
		latest[e.By] = true
		if e.Kind == access.PlatformLost {
			away = append(away, e.By+" ("+formatAge(e.Age)+")")
		}
	}
	if len(away) > 0 {
		f.add(LevelWatch, "The platform's service stopped answering to ", joinNames(away),
			". The table in force stays in force; no change can come in that way.")
	}
	f.addRejectedTables()
}

// addRejectedTables tells of the latest table of each node that was not taken, unless
// one was accepted since.
func (f *findingsBuilder) addRejectedTables() {
	settled := make(map[string]bool)
	told := make(map[string]bool)
	for _, e := range f.report.Events {
		switch e.Kind {
		case access.TableAccepted:
			settled[e.By] = true
		case access.TableRejected, access.TableOlder:
			if settled[e.By] || told[string(e.Kind)+e.Reason] {
				continue
			}
			told[string(e.Kind)+e.Reason] = true
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

// addDroppedData tells what the nodes' bounded memory took from the report.
func (f *findingsBuilder) addDroppedData() {
	var short []string
	var unplaced, unmatched uint64
	for _, n := range f.report.Nodes {
		asked := n.Uptime
		if since := f.report.Filter.Since; since > 0 {
			asked = min(asked, since)
		}
		if n.Fault == "" && n.Span < asked {
			short = append(short, n.Name+" ("+formatDuration(n.Span)+" of "+formatDuration(asked)+")")
		}
		unplaced += n.Dropped.Unattributed
		unmatched += n.Dropped.Unmatched
	}
	if len(short) > 0 {
		f.add(LevelWatch, "Totals don't reach back as far as was asked, since a node keeps a bounded number of requests: ",
			joinNames(short), ".")
	}
	if unplaced > 0 {
		f.add(LevelNote, pluralize(unplaced, "request", "requests"),
			" may match the filter and are left out: their service and upstream are no longer kept apart.")
	}
	if unmatched > 0 {
		f.add(LevelBad, pluralize(unmatched, "account was", "accounts were"),
			" closed with no request open. That is a fault of the program; please report it.")
	}
}

// addAllClear says so if nothing needs a person, which an empty list would leave open.
func (f *findingsBuilder) addAllClear() {
	pressing := slices.ContainsFunc(f.findings, func(x Finding) bool { return x.Level != LevelNote })
	if !pressing && !f.report.Partial && f.report.Answered() > 0 {
		f.add(LevelNote, "Nothing needs attention: all nodes answered, no upstream was set aside, no path is lost, no budget burns.")
	}
}
