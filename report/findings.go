package report

import (
	"cmp"
	"slices"
	"strings"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/burn"
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

func (f *finder) headline() {
	r := &f.report.Requests
	if f.report.Answered() == 0 {
		return
	}
	text := "Of " + plural(r.Sum(), "finished request", "finished requests") + f.scope() + ", " +
		number(r.Served) + " were served, " + number(r.NotRun) + " were refused and not run, and " +
		number(r.Unknown) + " have an unknown outcome"
	if f.report.Filter == (account.Filter{Limit: f.report.Filter.Limit}) {
		text += "; of " + number(r.Received) + " received, " + number(r.Open) + " still open"
	}
	f.say(Note, text, ".")
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

func (f *finder) asides() {
	told := 0
	for i := range f.report.Asides {
		a := &f.report.Asides[i]
		if a.State == StateRelapsed {
			continue
		}
		if told++; told > mostAlike {
			continue
		}
		text := a.Upstream + " was set aside " + ago(a.Age) + " by its gate: " +
			evidenceWords(a.Evidence, a.Reason) + "; " + asideNow(a)
		if len(a.Kept) > 0 {
			text += " All the same " + list(a.Kept) + " used it, since the floor of " + a.Service + " left no choice."
		}
		level := Bad
		if !a.Lasts() {
			level = Watch
		}
		f.say(level, text)
	}
	f.more(told, "upstreams set aside")
}

// asideNow says what became of an upstream that was set aside.
func asideNow(a *Aside) string {
	switch a.State {
	case account.StateTrial:
		return "it has been on trial with a few requests for " + span(a.Trial) + "."
	case account.StateRamp:
		return "it was out of use for " + span(a.Out) + " and has been coming back slowly for " + span(a.Ramp) + "."
	case string(account.Back):
		return "it was out of use for " + span(a.Out) + " and has been back in full use for " + span(a.Back) + "."
	case account.StateSetAside:
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
		{Note, account.StateLeaving, " is leaving and gets", " are leaving and get"},
		{Note, account.StateOff, " has weight 0 in the table and gets", " have weight 0 in the table and get"},
	} {
		if names := f.inState(x.state); len(names) == 1 {
			f.say(x.level, names[0], x.one, " no new work. That is planned, not sickness.")
		} else if len(names) > 1 {
			f.say(x.level, list(names), x.many, " no new work. That is planned, not sickness.")
		}
	}
	if names := f.inState(account.StateFull); len(names) > 0 {
		f.say(Watch, "Over the limit that the table sets, so busy and not sick: ", list(names), ".")
	}
	for _, u := range f.report.Upstreams {
		sick := u.State == account.StateSetAside || u.State == account.StateKept
		if sick && !f.hasAside(u) {
			f.say(Bad, u.Name, " is set aside as sick. The evidence isn't here, since its gate gave no account of it.")
		}
	}
}

func (f *finder) inState(state string) []string {
	var names []string
	for _, u := range f.report.Upstreams {
		if u.State == state {
			names = append(names, u.Name)
		}
	}
	return names
}

func (f *finder) hasAside(u Upstream) bool {
	return slices.ContainsFunc(f.report.Asides, func(a Aside) bool {
		return a.Lasts() && a.Service == u.Service && a.Upstream == u.Name
	})
}

func (f *finder) paths() {
	told := 0
	for _, p := range f.report.Paths {
		if p.Back != none {
			continue
		}
		if told++; told > mostAlike {
			continue
		}
		var names []string
		for _, u := range f.report.Upstreams {
			if u.Node == p.To {
				names = append(names, u.Name)
			}
		}
		text := p.From + " has not reached node " + p.To + " for " + span(p.Age)
		if len(names) > 0 {
			text += " and sends nothing to " + list(names) + " there"
		}
		f.say(Bad, text, ". That is about the path between the two; whether the upstreams are sick is for their own gate to say.")
	}
	f.more(told, "paths lost")
}

func (f *finder) burn() {
	for _, b := range f.report.Burn {
		for _, a := range b.Alerts {
			level := Bad
			if a.Severity == burn.Ticket {
				level = Watch
			}
			f.say(level, burnWords(&b, a))
		}
		for _, left := range b.Budgets {
			if left.Left < 0 {
				f.say(Watch, b.Service, " missed its ", string(left.Kind), " objective over the time covered: ",
					plural(left.Spent, "request was ", "requests were "), badWord(left.Kind), " where ",
					decimal(left.Allowed), " were allowed.")
			}
		}
	}
}

func badWord(kind burn.Kind) string {
	if kind == burn.Latency {
		return "slow"
	}
	return "not served well"
}

func burnWords(b *Burn, a burn.Alert) string {
	text := b.Service + " spends its " + string(a.Kind) + " budget " + times(a.Rate) +
		" as fast as the objective allows, over the last " + span(a.Long)
	if a.Partial {
		text += ", of which the nodes cover " + span(b.covered(a.Long))
	}
	if causes := mainCauses(b, a.Kind, a.Long); causes != "" {
		text += "; most of it by " + causes
	}
	return text + "."
}

// covered returns the part of a window that the longest-lived node counted.
func (b *Burn) covered(long clock.Millis) clock.Millis {
	for _, r := range b.Rates {
		if r.Span == long {
			return r.Covered
		}
	}
	return 0
}

// mainCauses names the two largest causes within a window.
func mainCauses(b *Burn, kind burn.Kind, long clock.Millis) string {
	var names []string
	for _, r := range b.Rates {
		if r.Span != long {
			continue
		}
		for _, c := range r.Causes {
			if c.Kind == kind && len(names) < 2 {
				names = append(names, causeWords(c))
			}
		}
	}
	return list(names)
}

// causeWords says what spent budget, for example "bacheca-4 (the answer broke
// off: 12)".
func causeWords(c burn.Spent) string {
	at := c.Upstream
	if at == "" {
		at = "no upstream"
	}
	return at + " (" + meaning(c.Reason) + ": " + number(c.Count) + ")"
}

func (f *finder) refusals() {
	refused := make(map[string]uint64)
	var reasons []string
	for _, r := range f.report.Refusals {
		if r.Outcome == account.Unknown {
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
