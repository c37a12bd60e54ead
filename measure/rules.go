package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
)

// Settings of the usual rules: the defaults of common proxies.
const (
	proxyHoldOff    = 30 * clock.Second
	proxyTimeout    = 2 * clock.Second
	windowLength    = 100
	maxWindowFailed = 15
)

// GateRule returns this project's rule at the gate with a caution.
func GateRule(caution table.Caution) Rule {
	return Rule{Name: string(caution), UsesBaseline: true, New: func(seed uint64) Detector {
		return health.New(health.Config{Caution: caution, Seed: seed})
	}}
}

// EntryRule returns the same rule, judged at each entry.
func EntryRule(caution table.Caution) Rule {
	rule := GateRule(caution)
	rule.Name += ", at each entry"
	rule.AtEntry, rule.UsesBaseline = true, false
	return rule
}

// ConsecutiveFailures returns the rule that sets aside after limit failures in a row.
func ConsecutiveFailures(name string, limit int) Rule {
	return Rule{Name: name, New: func(uint64) Detector { return &consecutiveFailures{limit: limit} }}
}

// FailureWindow returns the rule that sets aside when more than 15 of the last 100
// outcomes failed.
func FailureWindow() Rule {
	return Rule{Name: "over 15 of 100", New: func(uint64) Detector { return &failureWindow{} }}
}

// Rules returns this project's rules and the usual ones.
func Rules() []Rule {
	return []Rule{
		GateRule(table.Fast), GateRule(table.Balanced), GateRule(table.Cautious),
		EntryRule(table.Balanced),
		ConsecutiveFailures("5 in a row", 5), ConsecutiveFailures("3 in a row", 3), FailureWindow(),
	}
}

// proxyRule is what the usual rules have in common: no baseline, no trial, a
// constant hold-off and timeout.
type proxyRule struct {
	until   clock.Millis
	ejected bool
}

func (u *proxyRule) SetBaseline(health.Baseline)         {}
func (u *proxyRule) RecordProbe(clock.Millis, bool)      {}
func (u *proxyRule) LocalBaseline() health.Baseline      { return health.Baseline{} }
func (u *proxyRule) OverdueAfter() clock.Millis          { return proxyTimeout }
func (u *proxyRule) Admit(now clock.Millis, _ bool) bool { return u.Status(now).State == health.InUse }

func (u *proxyRule) Status(now clock.Millis) health.Status {
	if u.ejected && now >= u.until {
		u.ejected = false
	}
	if u.ejected {
		return health.Status{State: health.Ejected, Until: u.until}
	}
	return health.Status{Share: 1}
}

func (u *proxyRule) eject(now clock.Millis) {
	u.ejected, u.until = true, now+proxyHoldOff
}

type consecutiveFailures struct {
	proxyRule
	limit, failed int
}

func (r *consecutiveFailures) Observe(now clock.Millis, o health.Observation) bool {
	switch o.Result {
	case health.Good:
		r.failed = 0
	case health.Failed, health.Overdue:
		r.failed++
	default:
	}
	if r.failed < r.limit || r.Status(now).State == health.Ejected {
		return false
	}
	r.failed = 0
	r.eject(now)
	return true
}

type failureWindow struct {
	proxyRule
	last          [windowLength]bool
	taken, failed int
}

func (w *failureWindow) Observe(now clock.Millis, o health.Observation) bool {
	if o.Result != health.Good && o.Result != health.Failed && o.Result != health.Overdue {
		return false
	}
	i := w.taken % windowLength
	if w.last[i] {
		w.failed--
	}
	w.last[i] = o.Result != health.Good
	if w.last[i] {
		w.failed++
	}
	w.taken++
	if w.taken < windowLength || w.failed <= maxWindowFailed || w.Status(now).State == health.Ejected {
		return false
	}
	w.last, w.taken, w.failed = [windowLength]bool{}, 0, 0
	w.eject(now)
	return true
}
