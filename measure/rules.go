package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
)

// Settings of the rules that this project's own are compared with. They are the defaults
// of common proxies.
const (
	proxyHoldOff    = 30 * clock.Second
	proxyTimeout    = 2 * clock.Second
	windowLength    = 100
	maxWindowFailed = 15
)

// GateRule returns this project's rule with the given caution. The detector of each
// upstream runs at its gate.
func GateRule(caution table.Caution) Rule {
	return Rule{Name: string(caution), UsesBaseline: true, New: func(seed uint64) Detector {
		return health.New(health.Config{Caution: caution, Seed: seed})
	}}
}

// EntryRule returns this project's rule with the given caution. Each entry runs its
// own detectors, without the service's baseline.
func EntryRule(caution table.Caution) Rule {
	rule := GateRule(caution)
	rule.Name += ", at each entry"
	rule.AtEntry, rule.UsesBaseline = true, false
	return rule
}

// ConsecutiveFailures returns a rule that ejects an upstream after limit failures in a row.
func ConsecutiveFailures(name string, limit int) Rule {
	return Rule{Name: name, New: func(uint64) Detector { return &consecutiveFailures{limit: limit} }}
}

// FailureWindow returns a rule that ejects an upstream when more than 15 of its last
// 100 outcomes failed.
func FailureWindow() Rule {
	return Rule{Name: "over 15 of 100", New: func(uint64) Detector { return &failureWindow{} }}
}

// Rules returns this project's rules and those of common proxies.
func Rules() []Rule {
	return []Rule{
		GateRule(table.Fast), GateRule(table.Balanced), GateRule(table.Cautious),
		EntryRule(table.Balanced),
		ConsecutiveFailures("5 in a row", 5), ConsecutiveFailures("3 in a row", 3), FailureWindow(),
	}
}

// proxyRule is the part that the rules of common proxies share: a constant hold-off
// and a constant timeout, without a baseline or trial requests.
type proxyRule struct {
	until   clock.Millis
	ejected bool
}

func (r *proxyRule) SetBaseline(health.Baseline)         {}
func (r *proxyRule) RecordProbe(clock.Millis, bool)      {}
func (r *proxyRule) LocalBaseline() health.Baseline      { return health.Baseline{} }
func (r *proxyRule) OverdueAfter() clock.Millis          { return proxyTimeout }
func (r *proxyRule) Admit(now clock.Millis, _ bool) bool { return r.Status(now).State == health.InUse }

func (r *proxyRule) Status(now clock.Millis) health.Status {
	if r.ejected && now >= r.until {
		r.ejected = false
	}
	if r.ejected {
		return health.Status{State: health.Ejected, Until: r.until}
	}
	return health.Status{Share: 1}
}

func (r *proxyRule) eject(now clock.Millis) {
	r.ejected, r.until = true, now+proxyHoldOff
}

// consecutiveFailures is the detector of ConsecutiveFailures.
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

// failureWindow is the detector of FailureWindow. last is a ring buffer that holds true
// for each failed outcome.
type failureWindow struct {
	proxyRule
	last             [windowLength]bool
	observed, failed int
}

func (w *failureWindow) Observe(now clock.Millis, o health.Observation) bool {
	if o.Result != health.Good && o.Result != health.Failed && o.Result != health.Overdue {
		return false
	}
	i := w.observed % windowLength
	if w.last[i] {
		w.failed--
	}
	w.last[i] = o.Result != health.Good
	if w.last[i] {
		w.failed++
	}
	w.observed++
	if w.observed < windowLength || w.failed <= maxWindowFailed || w.Status(now).State == health.Ejected {
		return false
	}
	w.last, w.observed, w.failed = [windowLength]bool{}, 0, 0
	w.eject(now)
	return true
}
