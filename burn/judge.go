package burn

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

const (
	// minAllowed stands for the allowed share of an objective of exactly 1,
	// so that its burn is a large number in place of an infinite one.
	minAllowed = 1e-9
	// MinBad is how many bad requests a window must hold before it can
	// alert: on a quiet service two in a minute say little about a rate.
	MinBad = 10
)

// Severity says how soon an alert wants a person.
type Severity string

// The severities.
const (
	// Page wants a person now.
	Page Severity = "page"
	// Ticket wants a person on a working day.
	Ticket Severity = "ticket"
)

// rule alerts when both windows burn at the rate or faster. The long window
// says that it matters, the short one that it still goes on.
type rule struct {
	name        string
	short, long clock.Millis
	rate        float64
	severity    Severity
}

// rules are the multiwindow, multi-burn-rate alerts of Google's Site
// Reliability Workbook, chapter 5, for a period of 30 days: 14.4 spends 2% of
// the budget in an hour, 6 spends 5% in six hours, 1 spends 10% in three days.
// The workbook's short window of 30 m is taken as the 1 h that is counted, so
// that the steady alert clears up to half an hour later.
var rules = []rule{
	{name: "fast", short: 5 * clock.Minute, long: clock.Hour, rate: 14.4, severity: Page},
	{name: "steady", short: clock.Hour, long: 6 * clock.Hour, rate: 6, severity: Page},
	{name: "slow", short: 6 * clock.Hour, long: 3 * clock.Day, rate: 1, severity: Ticket},
}

// Rate is the burn over one window.
type Rate struct {
	Window

	// Availability and Latency are burn rates; 1 spends the budget exactly.
	Availability float64 `json:"availability"`
	Latency      float64 `json:"latency"`
}

// Alert is a rule that holds.
type Alert struct {
	Name     string       `json:"name"`
	Kind     Kind         `json:"kind"`
	Severity Severity     `json:"severity"`
	Short    clock.Millis `json:"short"`
	Long     clock.Millis `json:"long"`
	// Limit is the burn rate that both windows reached.
	Limit float64 `json:"limit"`
	// Rate is the burn over the long window.
	Rate float64 `json:"rate"`
	// Partial means that the nodes' lives don't cover the long window.
	Partial bool `json:"partial"`
}

// Budget is what is left of the bad requests that an objective allows, among
// the requests of the longest window.
type Budget struct {
	Kind    Kind    `json:"kind"`
	Allowed float64 `json:"allowed"`
	Spent   uint64  `json:"spent"`
	// Left is the share left; below 0 the objective is missed.
	Left float64 `json:"left"`
}

// Evaluation is the burn of one service.
type Evaluation struct {
	Rates   []Rate   `json:"windows"`
	Alerts  []Alert  `json:"alerts"`
	Budgets []Budget `json:"budgets"`
}

// Evaluate works out the burn of an objective from windows ordered as in Spans.
// An objective without availability or latency is not judged for it.
func Evaluate(o table.Objective, windows []Window) Evaluation {
	v := Evaluation{Rates: []Rate{}, Alerts: []Alert{}, Budgets: []Budget{}}
	for _, w := range windows {
		v.Rates = append(v.Rates, Rate{
			Window:       w,
			Availability: rate(w.Failed, w.Total, o.Availability),
			Latency:      rate(w.Slow, w.Good(), latencyShare(o)),
		})
	}
	for _, kind := range []Kind{Availability, Latency} {
		v.Alerts = append(v.Alerts, alerts(v.Rates, kind)...)
	}
	if len(windows) > 0 {
		longest := windows[len(windows)-1]
		v.Budgets = append(v.Budgets, budgets(o, longest)...)
	}
	return v
}

// latencyShare returns the share promised to be fast, 0 if none is.
func latencyShare(o table.Objective) float64 {
	if o.Latency <= 0 {
		return 0
	}
	return o.LatencyRatio
}

func rate(bad, total uint64, promised float64) float64 {
	if total == 0 || promised <= 0 {
		return 0
	}
	return float64(bad) / float64(total) / max(1-promised, minAllowed)
}

// BurnRate returns the burn rate of one promise and the bad requests behind it.
func (r *Rate) BurnRate(kind Kind) (burn float64, bad uint64) {
	if kind == Latency {
		return r.Latency, r.Slow
	}
	return r.Availability, r.Failed
}

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

func findRate(rates []Rate, span clock.Millis) *Rate {
	for i := range rates {
		if rates[i].Span == span {
			return &rates[i]
		}
	}
	return nil
}

func budgets(o table.Objective, w Window) []Budget {
	var found []Budget
	if o.Availability > 0 {
		found = append(found, budget(Availability, w.Failed, w.Total, o.Availability))
	}
	if latencyShare(o) > 0 {
		found = append(found, budget(Latency, w.Slow, w.Good(), o.LatencyRatio))
	}
	return found
}

func budget(kind Kind, bad, total uint64, promised float64) Budget {
	b := Budget{Kind: kind, Allowed: float64(total) * (1 - promised), Spent: bad, Left: 1}
	if bad > 0 {
		b.Left = 1 - float64(bad)/max(b.Allowed, minAllowed)
	}
	return b
}
