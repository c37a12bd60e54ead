package report

import (
	"cmp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// burn tells of alerts and of objectives missed.
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
func causeWords(c burn.CauseCount) string {
	at := c.Upstream
	if at == "" {
		at = "no upstream"
	}
	return at + " (" + meaning(c.Reason) + ": " + number(c.Count) + ")"
}

func (r *Report) burnSheet() sheet {
	s := sheet{
		Title: "Burn of objectives",
		Note: "At 1.0x the budget of bad requests lasts exactly as long as the objective's period. Requests that fail " +
			"by a caller's own limit or fault don't count. Nothing is older than the nodes: \"covered\" is what a window spans. " +
			"A rate with * is of fewer than ten bad requests, too few to alert.",
		Columns: []column{
			words("service"), words("objective"), count("last 5m"), count("1h"), count("6h"), count("3d"),
			count("bad"), count("allowed"), count("budget left"), words("covered"), words("alert"),
		},
		Empty: "No service has counted a request.",
	}
	for _, b := range r.Burn {
		for _, left := range b.Budgets {
			row := make([]string, 0, len(s.Columns))
			row = append(row, b.Service, objectiveWords(b.Objective, left.Kind))
			for _, rate := range b.Rates {
				row = append(row, rateWords(rate, left.Kind))
			}
			row = append(row, number(left.Spent), decimal(left.Allowed), share(left.Left),
				coveredWords(b.Rates), alertWords(b.Alerts, left.Kind))
			s.Rows = append(s.Rows, row)
		}
	}
	return s
}

// rateWords marks a rate above 1 that too few bad requests make.
func rateWords(r burn.Rate, kind burn.Kind) string {
	rate, bad := r.BurnRate(kind)
	if rate > 1 && bad < burn.MinBad {
		return times(rate) + "*"
	}
	return times(rate)
}

func objectiveWords(o access.Objective, kind burn.Kind) string {
	if kind == burn.Latency {
		return promise(o.Within) + " within " + span(o.Latency)
	}
	return promise(o.Availability) + " served"
}

// coveredWords says what the longest window spans; nodes that started at
// different times cover different parts of it.
func coveredWords(rates []burn.Rate) string {
	if len(rates) == 0 {
		return "-"
	}
	last := rates[len(rates)-1]
	if last.MinCovered == last.Covered {
		return span(last.Covered)
	}
	return span(last.MinCovered) + " to " + span(last.Covered)
}

func alertWords(alerts []burn.Alert, kind burn.Kind) string {
	var names []string
	for _, a := range alerts {
		if a.Kind == kind {
			names = append(names, a.Name+" ("+string(a.Severity)+")")
		}
	}
	return cmp.Or(list(names), "none")
}

func (r *Report) causeSheet() sheet {
	s := sheet{
		Title:   "What spent the budgets",
		Note:    "Over the longest window, the largest first.",
		Columns: []column{words("service"), words("objective"), words("upstream"), phrase("reason"), count("requests")},
		Empty:   "No budget was spent.",
	}
	for _, b := range r.Burn {
		if len(b.Rates) == 0 {
			continue
		}
		for _, c := range b.Rates[len(b.Rates)-1].Causes {
			s.Rows = append(s.Rows, []string{
				b.Service, string(c.Kind), cmp.Or(c.Upstream, "(none)"), meaning(c.Reason), number(c.Count),
			})
		}
	}
	return s
}
