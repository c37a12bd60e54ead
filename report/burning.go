package report

import (
	"cmp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// addBurn tells of alerts and of objectives missed.
func (f *findingsBuilder) addBurn() {
	for _, b := range f.report.Burn {
		for _, a := range b.Alerts {
			level := LevelBad
			if a.Severity == burn.Ticket {
				level = LevelWatch
			}
			f.add(level, describeAlert(&b, a))
		}
		for _, left := range b.Budgets {
			if left.Left < 0 {
				f.add(LevelWatch, b.Service, " missed its ", string(left.Kind), " objective over the time covered: ",
					pluralize(left.Spent, "request was ", "requests were "), describeBad(left.Kind), " where ",
					formatDecimal(left.Allowed), " were allowed.")
			}
		}
	}
}

func describeBad(kind burn.Kind) string {
	if kind == burn.Latency {
		return "slow"
	}
	return "not served well"
}

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

// coveredSpan returns the part of a window that the longest-lived node counted.
func (b *Burn) coveredSpan(long clock.Millis) clock.Millis {
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
				names = append(names, formatCause(c))
			}
		}
	}
	return joinNames(names)
}

// formatCause says what spent budget, for example "bacheca-4 (the answer broke
// off: 12)".
func formatCause(c burn.CauseCount) string {
	at := c.Upstream
	if at == "" {
		at = "no upstream"
	}
	return at + " (" + describeReason(c.Reason) + ": " + formatCount(c.Count) + ")"
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
		for _, left := range b.Budgets {
			row := make([]string, 0, len(s.Columns))
			row = append(row, b.Service, formatObjective(b.Objective, left.Kind))
			for _, rate := range b.Rates {
				row = append(row, formatRate(rate, left.Kind))
			}
			row = append(row, formatCount(left.Spent), formatDecimal(left.Allowed), formatPercent(left.Left),
				formatCoverage(b.Rates), formatAlerts(b.Alerts, left.Kind))
			s.Rows = append(s.Rows, row)
		}
	}
	return s
}

// formatRate marks a rate above 1 that too few bad requests make.
func formatRate(r burn.Rate, kind burn.Kind) string {
	rate, bad := r.BurnRate(kind)
	if rate > 1 && bad < burn.MinBad {
		return formatBurnRate(rate) + "*"
	}
	return formatBurnRate(rate)
}

func formatObjective(o access.Objective, kind burn.Kind) string {
	if kind == burn.Latency {
		return formatTarget(o.LatencyRatio) + " within " + formatDuration(o.Latency)
	}
	return formatTarget(o.Availability) + " served"
}

// formatCoverage says what the longest window spans; nodes that started at
// different times cover different parts of it.
func formatCoverage(rates []burn.Rate) string {
	if len(rates) == 0 {
		return "-"
	}
	last := rates[len(rates)-1]
	if last.MinCovered == last.Covered {
		return formatDuration(last.Covered)
	}
	return formatDuration(last.MinCovered) + " to " + formatDuration(last.Covered)
}

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
