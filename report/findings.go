package report

import (
	"cmp"
	"slices"
	"strings"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// mostAlike is how many findings of one kind are told one by one; the tables
// hold the rest.
const mostAlike = 8

// findings says in sentences what a manager must know, the most pressing first.
func findings(r *Report) []Finding {
	f := &finder{report: r}
	f.asides()
	f.upstreams()
	f.paths()
	f.burn()
	f.refusals()
	f.configuration()
	f.memory()
	f.calm()
	slices.SortStableFunc(f.found, func(a, b Finding) int { return rank(a.Level) - rank(b.Level) })
	first := &finder{report: r}
	first.missing()
	first.notAsked()
	first.headline()
	return append(first.found, f.found...)
}

func rank(l Level) int {
	return slices.Index([]Level{Bad, Watch, Note}, l)
}

type finder struct {
	report *Report
	found  []Finding
}

func (f *finder) say(level Level, parts ...string) {
	f.found = append(f.found, Finding{Level: level, Text: plain(strings.Join(parts, ""))})
}

// more stands for the findings beyond mostAlike.
func (f *finder) more(all int, what string) {
	if all > mostAlike {
		f.say(Watch, "There are ", number(all-mostAlike), " more ", what, "; the tables have them.")
	}
}

func (f *finder) missing() {
	var missing []string
	for _, n := range f.report.Nodes {
		if n.Fault != "" {
			missing = append(missing, n.Address+" ("+n.Fault+")")
		}
	}
	if len(missing) == 0 {
		return
	}
	f.say(Bad, number(len(missing)), " of ", plural(len(f.report.Nodes), "node", "nodes"),
		" gave no account, so every total here may be too small: ", list(missing), ".")
}

// notAsked tells of a report that is whole and yet not of the whole fleet.
func (f *finder) notAsked() {
	answered, faults := f.report.Answered(), 0
	for _, n := range f.report.Nodes {
		if n.Fault != "" {
			faults++
		}
	}
	if answered > 0 && f.report.Named > answered+faults {
		f.say(Watch, "The table names ", plural(f.report.Named, "node", "nodes"), "; this report is of ", number(answered),
			" of them: requests that reached the fleet through the others are not counted.")
	}
}

func (f *finder) headline() {
	r := &f.report.Requests
	if f.report.Answered() == 0 {
		return
	}
	text := "Of " + plural(r.Sum(), "finished request", "finished requests") + f.scope() + ", " +
		number(r.Served) + " were served" + errorWords(r.Errors) + ", " + number(r.NotRun) + " were refused and not run, and " +
		number(r.Unknown) + " have an unknown outcome"
	if f.report.Filter == (access.Filter{Limit: f.report.Filter.Limit}) {
		text += "; of " + number(r.Received) + " received, " + number(r.Open) + " still open"
	}
	f.say(Note, text, ".")
}

// errorWords says how many were served with an upstream's error.
func errorWords(n uint64) string {
	if n == 0 {
		return ""
	}
	return " (" + number(n) + " of them with an upstream's error)"
}

// scope says what the report was narrowed to.
func (f *finder) scope() string {
	filter := f.report.Filter
	var parts []string
	for _, part := range []struct{ word, value string }{
		{"of service ", filter.Service}, {"from caller ", filter.Caller}, {"at upstream ", filter.Upstream},
	} {
		if part.value != "" {
			parts = append(parts, part.word+part.value)
		}
	}
	if filter.Since > 0 {
		parts = append(parts, "in the last "+span(filter.Since))
	}
	if len(parts) == 0 {
		return ""
	}
	return " " + strings.Join(parts, " ")
}

// asides tells of what lasts first, so that a bound leaves out what is over.
func (f *finder) asides() {
	var lasting, over []*Aside
	for i := range f.report.Asides {
		switch a := &f.report.Asides[i]; {
		case a.Lasts():
			lasting = append(lasting, a)
		case a.State != StateRelapsed:
			over = append(over, a)
		}
	}
	all := slices.Concat(lasting, over)
	for _, a := range all[:min(len(all), mostAlike)] {
		text := f.report.label(a.Service, a.Upstream) + " was set aside " + ago(a.Age) + " by its gate: " +
			evidenceWords(a.Evidence, a.Reason) + "; " + asideNow(a)
		if len(a.Kept) > 0 {
			text += " All the same " + list(a.Kept) + " used it, since the floor of " + a.Service + " left no choice."
		}
		level := Watch
		if a.State == access.StateSetAside || a.State == access.StateTrial {
			level = Bad
		}
		f.say(level, text)
	}
	f.more(len(all), "times that an upstream was set aside")
}

// asideNow says what became of an upstream that was set aside.
func asideNow(a *Aside) string {
	switch a.State {
	case access.StateTrial:
		return "it has been on trial with a few requests for " + span(a.Trial) + "."
	case access.StateRamp:
		return "it was out of use for " + span(a.Out) + " and has been coming back slowly for " + span(a.Ramp) + "."
	case string(access.Back):
		return "it was out of use for " + span(a.Out) + " and has been back in full use for " + span(a.Back) + "."
	case access.StateSetAside:
		if a.Left > 0 {
			return "it has been out of use since, and will be tried again in " + span(a.Left) + "."
		}
	}
	return "it has been out of use since."
}

// upstreams tells of states that are not sickness, and of sick upstreams whose
// gate gave no evidence.
func (f *finder) upstreams() {
	for _, x := range []struct {
		level            Level
		state, one, many string
	}{
		{Note, access.StateLeaving, " is leaving and gets", " are leaving and get"},
		{Note, access.StateOff, " has weight 0 in the table and gets", " have weight 0 in the table and get"},
	} {
		if names := f.inState(x.state); len(names) == 1 {
			f.say(x.level, names[0], x.one, " no new work. That is planned, not sickness.")
		} else if len(names) > 1 {
			f.say(x.level, list(names), x.many, " no new work. That is planned, not sickness.")
		}
	}
	if names := f.inState(access.StateFull); len(names) > 0 {
		f.say(Watch, "Over the limit that the table sets, so busy and not sick: ", list(names), ".")
	}
	for _, u := range f.report.Upstreams {
		sick := u.State == access.StateSetAside || u.State == access.StateKept
		if sick && !f.hasAside(u) {
			f.say(Bad, f.report.label(u.Service, u.Name), " is set aside as sick. The evidence isn't here, since its gate gave no account of it.")
		}
	}
}

func (f *finder) inState(state string) []string {
	var names []string
	for _, u := range f.report.Upstreams {
		if u.State == state {
			names = append(names, f.report.label(u.Service, u.Name))
		}
	}
	return names
}

func (f *finder) hasAside(u Upstream) bool {
	return slices.ContainsFunc(f.report.Asides, func(a Aside) bool {
		return a.Lasts() && a.Service == u.Service && a.Upstream == u.Name
	})
}

// lostNode gathers who can't reach a node.
type lostNode struct {
	to      string
	from    []string
	longest clock.Millis
}

func (f *finder) paths() {
	var lost []*lostNode
	for _, p := range f.report.Paths {
		if p.Back != none {
			continue
		}
		at := slices.IndexFunc(lost, func(l *lostNode) bool { return l.to == p.To })
		if at < 0 {
			at = len(lost)
			lost = append(lost, &lostNode{to: p.To})
		}
		lost[at].from = append(lost[at].from, p.From)
		lost[at].longest = max(lost[at].longest, p.Age)
	}
	for _, l := range lost[:min(len(lost), mostAlike)] {
		f.say(Bad, f.lostWords(l))
	}
	f.more(len(lost), "nodes out of reach")
}

func (f *finder) lostWords(l *lostNode) string {
	who := list(l.from) + " has"
	if len(l.from) > 1 {
		who = number(len(l.from)) + " of " + plural(f.report.Answered(), "node", "nodes") + " have"
	}
	text := who + " not reached node " + l.to + " for " + span(l.longest)
	var names []string
	for _, u := range f.report.Upstreams {
		if u.Node == l.to {
			names = append(names, f.report.label(u.Service, u.Name))
		}
	}
	if len(names) > 0 {
		text += ", so nothing goes that way to " + list(names)
	}
	if len(l.from) > 1 && len(l.from) == f.report.Answered() {
		return text + ". No node that answered reaches it: it may be down or cut off."
	}
	return text + ". That is about the path; whether the upstreams are sick is for their own gate to say."
}

func (f *finder) refusals() {
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
		parts = append(parts, number(refused[reason])+" since "+reason)
	}
	if n := f.report.Requests.NotRun; n > 0 {
		f.say(Note, plural(n, "request was", "requests were"), " refused, and in fact not run: ", list(parts), ".")
	}
	if n := f.report.Requests.Unknown; n > 0 {
		f.say(Watch, plural(n, "request has", "requests have"),
			" an unknown outcome: an upstream may have run it, and its caller was told so. The table of unserved requests names the latest.")
	}
}
