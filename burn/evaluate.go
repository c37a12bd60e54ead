package burn

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

const (
	// minAllowed is the minimum share of bad requests that an objective is taken to allow,
	// so that the burn rate of an objective of exactly 1 is large instead of infinite.
	minAllowed = 1e-9
	// MinBad is the number of bad requests that a long window must hold before it can
	// alert: for a service with little traffic, two in a minute say little about a rate.
	MinBad = 10
)

// Severity says how soon somebody must look at an alert.
type Severity string

// The severities.
const (
	// Page means immediately.
	Page Severity = "page"
	// Ticket means on a working day.
	Ticket Severity = "ticket"
)

// rule alerts when the burn rates of both windows reach rate. The long window shows that
// the burn is significant, the short one that it continues.
type rule struct {
	name        string
	short, long clock.Millis
	rate        float64
	severity    Severity
}

// rules are the multiwindow, multi-burn-rate alerts of Google's Site
// Reliability Workbook, chapter 5, for a period of 30 days: 14.4 spends 2% of
// the budget in an hour, 6 spends 5% in six hours, 1 spends 10% in three days.
// In place of the workbook's short window of 30 m, the steady alert uses the window of
// 1 h, which is counted anyway; so the alert clears up to half an hour later.
var rules = []rule{
	{name: "fast", short: 5 * clock.Minute, long: clock.Hour, rate: 14.4, severity: Page},
	{name: "steady", short: clock.Hour, long: 6 * clock.Hour, rate: 6, severity: Page},
	{name: "slow", short: 6 * clock.Hour, long: 3 * clock.Day, rate: 1, severity: Ticket},
}

// Rate holds the counts and the burn rates of one window.
type Rate struct {
	Window

	// Availability and Latency are burn rates; at 1 the budget lasts exactly as long as
	// the objective's period.
	Availability float64 `json:"availability"`
	Latency      float64 `json:"latency"`
}

// Alert is a rule whose condition is met.
type Alert struct {
	Name     string       `json:"name"`
	Kind     Kind         `json:"kind"`
	Severity Severity     `json:"severity"`
	Short    clock.Millis `json:"short"`
	Long     clock.Millis `json:"long"`
	// Limit is the rule's burn rate, which both windows reached.
	Limit float64 `json:"limit"`
	// Rate is the burn rate of the long window.
	Rate float64 `json:"rate"`
	// Partial means that no node has run for the whole long window.
	Partial bool `json:"partial"`
}

// Budget compares the bad requests of the longest window with the number that one target of
// the objective allows in it.
type Budget struct {
	Kind    Kind    `json:"kind"`
	Allowed float64 `json:"allowed"`
	Spent   uint64  `json:"spent"`
	// Left is the share of Allowed that is left; below 0 the target is missed.
	Left float64 `json:"left"`
}

// Evaluation holds the burn rates, alerts and budgets of one service.
type Evaluation struct {
	Rates   []Rate   `json:"windows"`
	Alerts  []Alert  `json:"alerts"`
	Budgets []Budget `json:"budgets"`
}

// Evaluate compares the windows, ordered as in Spans, with an objective. For a target that
// the objective doesn't set, burn rates are 0 and there are no alerts and no budget.
func Evaluate(o table.Objective, windows []Window) Evaluation {
	e := Evaluation{Rates: []Rate{}, Alerts: []Alert{}, Budgets: []Budget{}}
	for _, w := range windows {
		e.Rates = append(e.Rates, Rate{
			Window:       w,
			Availability: burnRate(w.Failed, w.Total, o.Availability),
			Latency:      burnRate(w.Slow, w.Good(), latencyShare(o)),
		})
	}
	for _, kind := range []Kind{Availability, Latency} {
		e.Alerts = append(e.Alerts, alerts(e.Rates, kind)...)
	}
	if len(windows) > 0 {
		longest := windows[len(windows)-1]
		e.Budgets = append(e.Budgets, budgets(o, longest)...)
	}
	return e
}

// latencyShare returns the share of good answers that must be fast, 0 without a latency
// target.
func latencyShare(o table.Objective) float64 {
	if o.Latency <= 0 {
		return 0
	}
	return o.LatencyRatio
}

// burnRate returns the share of bad requests over the share that the target, a share of
// good requests, allows. It returns 0 without requests or without a target.
func burnRate(bad, total uint64, target float64) float64 {
	if total == 0 || target <= 0 {
		return 0
	}
	return float64(bad) / float64(total) / max(1-target, minAllowed)
}

// BurnRate returns the burn rate of one target and the number of bad requests that cause it.
func (r *Rate) BurnRate(kind Kind) (rate float64, bad uint64) {
	if kind == Latency {
		return r.Latency, r.Slow
	}
	return r.Availability, r.Failed
}

// alerts returns the rules whose condition is met for one target.
func alerts(rates []Rate, kind Kind) []Alert {
	var found []Alert
	for _, r := range rules {
		short, long := findRate(rates, r.short), findRate(rates, r.long)
		if short == nil || long == nil {
			continue
		}
		shortRate, _ := short.BurnRate(kind)
		longRate, bad := long.BurnRate(kind)
		if shortRate < r.rate || longRate < r.rate || bad < MinBad {
			continue
		}
		found = append(found, Alert{
			Name: r.name, Kind: kind, Severity: r.severity, Short: r.short, Long: r.long,
			Limit: r.rate, Rate: longRate, Partial: long.Covered < long.Span,
		})
	}
	return found
}

// findRate returns the rate of the window with the span, nil if there is none.
func findRate(rates []Rate, span clock.Millis) *Rate {
	for i := range rates {
		if rates[i].Span == span {
			return &rates[i]
		}
	}
	return nil
}

// budgets returns the budget of each target that the objective sets.
func budgets(o table.Objective, w Window) []Budget {
	var found []Budget
	if o.Availability > 0 {
		found = append(found, newBudget(Availability, w.Failed, w.Total, o.Availability))
	}
	if latencyShare(o) > 0 {
		found = append(found, newBudget(Latency, w.Slow, w.Good(), o.LatencyRatio))
	}
	return found
}

func newBudget(kind Kind, bad, total uint64, target float64) Budget {
	b := Budget{Kind: kind, Allowed: float64(total) * (1 - target), Spent: bad, Left: 1}
	if bad > 0 {
		b.Left = 1 - float64(bad)/max(b.Allowed, minAllowed)
	}
	return b
}
