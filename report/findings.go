package report

import (
	"cmp"
	"slices"
	"strings"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// maxPerKind bounds the findings of one kind that are listed one by one; the tables hold
// the rest.
const maxPerKind = 8

// buildFindings returns the findings that a reader without knowledge of the program needs.
// Findings about the completeness of the report and the summary come first, the others
// follow by level, the most severe first.
func buildFindings(r *Report) []Finding {
	f := &findingsBuilder{report: r}
	f.addEjections()
	f.addUpstreamStates()
	f.addLostPaths()
	f.addBurn()
	f.addRefusals()
	f.addConfiguration()
	f.addDroppedData()
	f.addAllClear()
	slices.SortStableFunc(f.findings, func(a, b Finding) int { return levelRank(a.Level) - levelRank(b.Level) })
	overview := &findingsBuilder{report: r}
	overview.addMissingNodes()
	overview.addUnqueriedNodes()
	overview.addSummary()
	return append(overview.findings, f.findings...)
}

// levelRank returns the sort position of a level, 0 for the most severe.
func levelRank(l Level) int {
	return slices.Index([]Level{LevelBad, LevelWatch, LevelNote}, l)
}

// findingsBuilder collects findings on a merged report.
type findingsBuilder struct {
	report   *Report
	findings []Finding
}

func (f *findingsBuilder) add(level Level, parts ...string) {
	f.findings = append(f.findings, Finding{Level: level, Text: stripControl(strings.Join(parts, ""))})
}

// addOverflow adds a finding with the number of findings that were left out, if total is more
// than maxPerKind.
func (f *findingsBuilder) addOverflow(total int, what string) {
	if total > maxPerKind {
		f.add(LevelWatch, "There are ", formatCount(total-maxPerKind), " more ", what, "; the tables have them.")
	}
}

func (f *findingsBuilder) addMissingNodes() {
	var missing []string
	for _, n := range f.report.Nodes {
		if n.Fault != "" {
			missing = append(missing, n.Address+" ("+n.Fault+")")
		}
	}
	if len(missing) == 0 {
		return
	}
	f.add(LevelBad, formatCount(len(missing)), " of ", pluralize(len(f.report.Nodes), "node", "nodes"),
		" gave no account, so every total here may be too small: ", joinNames(missing), ".")
}

// addUnqueriedNodes adds a finding if the table names more nodes than the report queried:
// such a report isn't partial, but doesn't cover the whole fleet.
func (f *findingsBuilder) addUnqueriedNodes() {
	answered, faults := f.report.Answered(), 0
	for _, n := range f.report.Nodes {
		if n.Fault != "" {
			faults++
		}
	}
	if answered > 0 && f.report.TableNodes > answered+faults {
		f.add(LevelWatch, "The table names ", pluralize(f.report.TableNodes, "node", "nodes"), "; this report is of ", formatCount(answered),
			" of them: requests that reached the fleet through the others are not counted.")
	}
}

func (f *findingsBuilder) addSummary() {
	r := &f.report.Requests
	if f.report.Answered() == 0 {
		return
	}
	text := "Of " + pluralize(r.Sum(), "finished request", "finished requests") + f.scope() + ", " +
		formatCount(r.Served) + " were served" + formatErrors(r.Errors) + ", " + formatCount(r.NotRun) + " were refused and not run, and " +
		formatCount(r.Unknown) + " have an unknown outcome"
	if f.report.Filter == (access.Filter{Limit: f.report.Filter.Limit}) {
		text += "; of " + formatCount(r.Received) + " received, " + formatCount(r.Open) + " still open"
	}
	f.add(LevelNote, text, ".")
}

// formatErrors formats how many of the served requests got an upstream's error; it returns
// "" for none.
func formatErrors(n uint64) string {
	if n == 0 {
		return ""
	}
	return " (" + formatCount(n) + " of them with an upstream's error)"
}

// scope describes the report's filter; it returns "" for a report on everything.
func (f *findingsBuilder) scope() string {
	filter := f.report.Filter
	var parts []string
	for _, part := range []struct{ prefix, value string }{
		{"of service ", filter.Service}, {"from caller ", filter.Caller}, {"at upstream ", filter.Upstream},
	} {
		if part.value != "" {
			parts = append(parts, part.prefix+part.value)
		}
	}
	if filter.Since > 0 {
		parts = append(parts, "in the last "+formatDuration(filter.Since))
	}
	if len(parts) == 0 {
		return ""
	}
	return " " + strings.Join(parts, " ")
}

// addEjections adds findings on ongoing ejections before ended ones, so that maxPerKind
// leaves out ended ones first. It skips an ejection that ended in another one.
func (f *findingsBuilder) addEjections() {
	var ongoing, ended []*Ejection
	for i := range f.report.Ejections {
		switch e := &f.report.Ejections[i]; {
		case e.IsOngoing():
			ongoing = append(ongoing, e)
		case e.State != StateReejected:
			ended = append(ended, e)
		}
	}
	all := slices.Concat(ongoing, ended)
	for _, e := range all[:min(len(all), maxPerKind)] {
		text := f.report.upstreamLabel(e.Service, e.Upstream) + " was set aside " + formatAge(e.Age) + " by its gate: " +
			formatEvidence(e.Evidence, e.Reason) + "; " + describeEjection(e)
		if len(e.ForcedBy) > 0 {
			text += " All the same " + joinNames(e.ForcedBy) + " used it, since the floor of " + e.Service + " left no choice."
		}
		level := LevelWatch
		if e.State == access.StateEjected || e.State == access.StateTrial {
			level = LevelBad
		}
		f.add(level, text)
	}
	f.addOverflow(len(all), "times that an upstream was set aside")
}

// describeEjection describes how an ejection went on.
func describeEjection(e *Ejection) string {
	switch e.State {
	case access.StateTrial:
		return "it has been on trial with a few requests for " + formatDuration(e.Trial) + "."
	case access.StateRamp:
		return "it was out of use for " + formatDuration(e.Duration) + " and has been coming back slowly for " + formatDuration(e.Ramp) + "."
	case string(access.Restored):
		return "it was out of use for " + formatDuration(e.Duration) + " and has been back in full use for " + formatDuration(e.Back) + "."
	case access.StateEjected:
		if e.Remaining > 0 {
			return "it has been out of use since, and will be tried again in " + formatDuration(e.Remaining) + "."
		}
	}
	return "it has been out of use since."
}

// addUpstreamStates adds findings on upstreams that are out of use without a failure
// (leaving, weight 0, over their limit), and on ejected upstreams whose gate sent no
// ejection event.
func (f *findingsBuilder) addUpstreamStates() {
	for _, x := range []struct {
		level                   Level
		state, singular, plural string
	}{
		{LevelNote, access.StateLeaving, " is leaving and gets", " are leaving and get"},
		{LevelNote, access.StateOff, " has weight 0 in the table and gets", " have weight 0 in the table and get"},
	} {
		if names := f.inState(x.state); len(names) == 1 {
			f.add(x.level, names[0], x.singular, " no new work. That is planned, not sickness.")
		} else if len(names) > 1 {
			f.add(x.level, joinNames(names), x.plural, " no new work. That is planned, not sickness.")
		}
	}
	if names := f.inState(access.StateOverLimit); len(names) > 0 {
		f.add(LevelWatch, "Over the limit that the table sets, so busy and not sick: ", joinNames(names), ".")
	}
	for _, u := range f.report.Upstreams {
		ejected := u.State == access.StateEjected || u.State == access.StateForced
		if ejected && !f.hasEjection(u) {
			f.add(LevelBad, f.report.upstreamLabel(u.Service, u.Name), " is set aside as sick. The evidence isn't here, since its gate gave no account of it.")
		}
	}
}

// inState returns the labels of the upstreams in a state.
func (f *findingsBuilder) inState(state string) []string {
	var names []string
	for _, u := range f.report.Upstreams {
		if u.State == state {
			names = append(names, f.report.upstreamLabel(u.Service, u.Name))
		}
	}
	return names
}

func (f *findingsBuilder) hasEjection(u Upstream) bool {
	return slices.ContainsFunc(f.report.Ejections, func(e Ejection) bool {
		return e.IsOngoing() && e.Service == u.Service && e.Upstream == u.Name
	})
}

// unreachableNode is a node with the nodes that can't reach it now.
type unreachableNode struct {
	to   string
	from []string
	// longest is the age of the oldest of these path losses.
	longest clock.Millis
}

func (f *findingsBuilder) addLostPaths() {
	var lost []*unreachableNode
	for _, p := range f.report.Paths {
		if p.Back != noAge {
			continue
		}
		at := slices.IndexFunc(lost, func(l *unreachableNode) bool { return l.to == p.To })
		if at < 0 {
			at = len(lost)
			lost = append(lost, &unreachableNode{to: p.To})
		}
		lost[at].from = append(lost[at].from, p.From)
		lost[at].longest = max(lost[at].longest, p.Age)
	}
	for _, l := range lost[:min(len(lost), maxPerKind)] {
		f.add(LevelBad, f.describeUnreachable(l))
	}
	f.addOverflow(len(lost), "nodes out of reach")
}

func (f *findingsBuilder) describeUnreachable(l *unreachableNode) string {
	subject := joinNames(l.from) + " has"
	if len(l.from) > 1 {
		subject = formatCount(len(l.from)) + " of " + pluralize(f.report.Answered(), "node", "nodes") + " have"
	}
	text := subject + " not reached node " + l.to + " for " + formatDuration(l.longest)
	var names []string
	for _, u := range f.report.Upstreams {
		if u.Node == l.to {
			names = append(names, f.report.upstreamLabel(u.Service, u.Name))
		}
	}
	if len(names) > 0 {
		text += ", so nothing goes that way to " + joinNames(names)
	}
	if len(l.from) > 1 && len(l.from) == f.report.Answered() {
		return text + ". No node that answered reaches it: it may be down or cut off."
	}
	return text + ". That is about the path; whether the upstreams are sick is for their own gate to say."
}

func (f *findingsBuilder) addRefusals() {
	refused := make(map[string]uint64)
	var reasons []string
	for _, r := range f.report.Refusals {
		if r.Outcome == access.Unknown {
			continue
		}
		if refused[r.Meaning] == 0 {
			reasons = append(reasons, r.Meaning)
		}
		refused[r.Meaning] += r.Count
	}
	slices.SortStableFunc(reasons, func(a, b string) int { return cmp.Compare(refused[b], refused[a]) })
	parts := make([]string, 0, len(reasons))
	for _, reason := range reasons {
		parts = append(parts, formatCount(refused[reason])+" since "+reason)
	}
	if n := f.report.Requests.NotRun; n > 0 {
		f.add(LevelNote, pluralize(n, "request was", "requests were"), " refused, and in fact not run: ", joinNames(parts), ".")
	}
	if n := f.report.Requests.Unknown; n > 0 {
		f.add(LevelWatch, pluralize(n, "request has", "requests have"),
			" an unknown outcome: an upstream may have run it, and its caller was told so. The table of unserved requests names the latest.")
	}
}
