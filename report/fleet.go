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

// configuration tells of tables and of the platform.
func (f *finder) configuration() {
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
			text += " " + tableName(version) + " on " + list(versions[version])
		}
		f.say(Watch, text, ". A change takes a few seconds to reach all.")
	}
	// Only the latest event of a node about its platform says how it is now.
	latest := make(map[string]bool)
	var away []string
	for _, e := range f.report.Events {
		if e.Kind != access.PlatformLost && e.Kind != access.PlatformBack || latest[e.By] {
			continue
		}
		latest[e.By] = true
		if e.Kind == access.PlatformLost {
			away = append(away, e.By+" ("+ago(e.Age)+")")
		}
	}
	if len(away) > 0 {
		f.say(Watch, "The platform's service stopped answering to ", list(away),
			". The table in force stays in force; no change can come in that way.")
	}
	f.rejected()
}

// rejected tells of the latest table of each node that was not taken, unless
// one was accepted since.
func (f *finder) rejected() {
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
				f.say(Watch, "The platform offers ", e.By, " an older table than the one in force (", e.Reason,
					"). It is not taken; publish a higher version to move on.")
				continue
			}
			f.say(Bad, "A table was rejected ", ago(e.Age), " by ", e.By, ": ", e.Reason,
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

// memory tells what the nodes' bounded memory took from the report.
func (f *finder) memory() {
	var short []string
	var unplaced, unmatched uint64
	for _, n := range f.report.Nodes {
		asked := n.Life
		if since := f.report.Filter.Since; since > 0 {
			asked = min(asked, since)
		}
		if n.Fault == "" && n.Span < asked {
			short = append(short, n.Name+" ("+span(n.Span)+" of "+span(asked)+")")
		}
		unplaced += n.Dropped.Unplaced
		unmatched += n.Dropped.Unmatched
	}
	if len(short) > 0 {
		f.say(Watch, "Totals don't reach back as far as was asked, since a node keeps a bounded number of requests: ",
			list(short), ".")
	}
	if unplaced > 0 {
		f.say(Note, plural(unplaced, "request", "requests"),
			" may match the filter and are left out: their service and upstream are no longer kept apart.")
	}
	if unmatched > 0 {
		f.say(Bad, plural(unmatched, "account was", "accounts were"),
			" closed with no request open. That is a fault of the program; please report it.")
	}
}

// calm says so if nothing needs a person, which an empty list would leave open.
func (f *finder) calm() {
	pressing := slices.ContainsFunc(f.found, func(x Finding) bool { return x.Level != Note })
	if !pressing && !f.report.Partial && f.report.Answered() > 0 {
		f.say(Note, "Nothing needs attention: all nodes answered, no upstream was set aside, no path is lost, no budget burns.")
	}
}
