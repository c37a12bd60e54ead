package report

import (
	"cmp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// addBurn adds findings for burn-rate alerts and for error budgets that are overspent.
func (f *findingsBuilder) addBurn() {
	for _, b := range f.report.Burn {
		for _, a := range b.Alerts {
			level := LevelBad
			if a.Severity == burn.Ticket {
				level = LevelWatch
			}
			f.add(level, describeAlert(&b, a))
		}
		for _, budget := range b.Budgets {
			if budget.Left < 0 {
				f.add(LevelWatch, b.Service, " missed its ", string(budget.Kind), " objective over the time covered: ",
					pluralize(budget.Spent, "request was ", "requests were "), describeBad(budget.Kind), " where ",
					formatDecimal(budget.Allowed), " were allowed.")
			}
		}
	}
}

// describeBad returns the words for a request that counts as bad under an objective of
// this kind.
func describeBad(kind burn.Kind) string {
	if kind == burn.Latency {
		return "slow"
	}
	return "not served well"
}

// describeAlert returns a sentence with the burn rate, its window and the main causes.
func describeAlert(b *Burn, a burn.Alert) string {
	text := b.Service + " spends its " + string(a.Kind) + " budget " + formatBurnRate(a.Rate) +
		" as fast as the objective allows, over the last " + formatDuration(a.Long)
	if a.Partial {
		text += ", of which the nodes cover " + formatDuration(b.coveredSpan(a.Long))
	}
	if causes := mainCauses(b, a.Kind, a.Long); causes != "" {
		text += "; most of it by " + causes
	}
	return text + "."
}

// coveredSpan returns how much of the window with this span was covered by the node that
// has run longest, or 0 if the report has no such window.
func (b *Burn) coveredSpan(span clock.Millis) clock.Millis {
	for _, r := range b.Rates {
		if r.Span == span {
			return r.Covered
		}
	}
	return 0
}

// mainCauses names the two largest causes of bad requests in the window with this span.
func mainCauses(b *Burn, kind burn.Kind, span clock.Millis) string {
	var names []string
	for _, r := range b.Rates {
		if r.Span != span {
			continue
		}
		for _, c := range r.Causes {
			if c.Kind == kind && len(names) < 2 {
				names = append(names, formatCause(c))
			}
		}
	}
	return joinNames(names)
}

// formatCause formats the upstream, reason and count of bad requests, for example
// "bacheca-4 (the answer broke off: 12)".
func formatCause(c burn.CauseCount) string {
	upstream := c.Upstream
	if upstream == "" {
		upstream = "no upstream"
	}
	return upstream + " (" + describeReason(c.Reason) + ": " + formatCount(c.Count) + ")"
}

func (r *Report) burnSheet() sheet {
	s := sheet{
		Title: "Burn of objectives",
		Note: "At 1.0x the budget of bad requests lasts exactly as long as the objective's period. Requests that fail " +
			"by a caller's own limit or fault don't count. Nothing is older than the nodes: \"covered\" is what a window spans. " +
			"A rate with * is of fewer than ten bad requests, too few to alert.",
		Columns: []column{
			textColumn("service"), textColumn("objective"), numberColumn("last 5m"), numberColumn("1h"), numberColumn("6h"), numberColumn("3d"),
			numberColumn("bad"), numberColumn("allowed"), numberColumn("budget left"), textColumn("covered"), textColumn("alert"),
		},
		Empty: "No service has counted a request.",
	}
	for _, b := range r.Burn {
		for _, budget := range b.Budgets {
			row := make([]string, 0, len(s.Columns))
			row = append(row, b.Service, formatObjective(b.Objective, budget.Kind))
			for _, rate := range b.Rates {
				row = append(row, formatRate(rate, budget.Kind))
			}
			row = append(row, formatCount(budget.Spent), formatDecimal(budget.Allowed), formatPercent(budget.Left),
				formatCoverage(b.Rates), formatAlerts(b.Alerts, budget.Kind))
			s.Rows = append(s.Rows, row)
		}
	}
	return s
}

// formatRate formats a burn rate. It appends * to a rate above 1 that rests on fewer than
// burn.MinBad bad requests, which are too few to alert.
func formatRate(r burn.Rate, kind burn.Kind) string {
	rate, bad := r.BurnRate(kind)
	if rate > 1 && bad < burn.MinBad {
		return formatBurnRate(rate) + "*"
	}
	return formatBurnRate(rate)
}

// formatObjective formats one part of an objective, for example "99% within 250ms".
func formatObjective(o access.Objective, kind burn.Kind) string {
	if kind == burn.Latency {
		return formatTarget(o.LatencyRatio) + " within " + formatDuration(o.Latency)
	}
	return formatTarget(o.Availability) + " served"
}

// formatCoverage formats how much of the longest window the nodes cover: one span, or a
// range if the nodes started at different times. It expects the longest window last.
func formatCoverage(rates []burn.Rate) string {
	if len(rates) == 0 {
		return "-"
	}
	longest := rates[len(rates)-1]
	if longest.MinCovered == longest.Covered {
		return formatDuration(longest.Covered)
	}
	return formatDuration(longest.MinCovered) + " to " + formatDuration(longest.Covered)
}

// formatAlerts lists the names and severities of the alerts of one kind.
func formatAlerts(alerts []burn.Alert, kind burn.Kind) string {
	var names []string
	for _, a := range alerts {
		if a.Kind == kind {
			names = append(names, a.Name+" ("+string(a.Severity)+")")
		}
	}
	return cmp.Or(joinNames(names), "none")
}

func (r *Report) causeSheet() sheet {
	s := sheet{
		Title:   "What spent the budgets",
		Note:    "Over the longest window, the largest first.",
		Columns: []column{textColumn("service"), textColumn("objective"), textColumn("upstream"), longTextColumn("reason"), numberColumn("requests")},
		Empty:   "No budget was spent.",
	}
	for _, b := range r.Burn {
		if len(b.Rates) == 0 {
			continue
		}
		for _, c := range b.Rates[len(b.Rates)-1].Causes {
			s.Rows = append(s.Rows, []string{
				b.Service, string(c.Kind), cmp.Or(c.Upstream, "(none)"), describeReason(c.Reason), formatCount(c.Count),
			})
		}
	}
	return s
}
