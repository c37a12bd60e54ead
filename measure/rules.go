package measure

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
)

// Settings of the usual rules: the defaults of common proxies.
const (
	usualHoldOff = 30 * clock.Second
	usualTimeout = 2 * clock.Second
	windowLength = 100
	windowFailed = 15
)

// Judged returns this project's rule at the gate with a caution.
func Judged(caution table.Caution) Rule {
	return Rule{Name: string(caution), Learns: true, New: func(seed uint64) Verdict {
		return health.New(health.Config{Caution: caution, Seed: seed})
	}}
}

// JudgedAtEntry returns the same rule, judged at each entry.
func JudgedAtEntry(caution table.Caution) Rule {
	rule := Judged(caution)
	rule.Name += ", at each entry"
	rule.AtEntry, rule.Learns = true, false
	return rule
}

// InARow returns the rule that sets aside after limit failures in a row.
func InARow(name string, limit int) Rule {
	return Rule{Name: name, New: func(uint64) Verdict { return &inARow{limit: limit} }}
}

// Window returns the rule that sets aside when more than 15 of the last 100
// outcomes failed.
func Window() Rule {
	return Rule{Name: "over 15 of 100", New: func(uint64) Verdict { return &window{} }}
}

// Rules returns this project's rules and the usual ones.
func Rules() []Rule {
	return []Rule{
		Judged(table.Fast), Judged(table.Balanced), Judged(table.Cautious),
		JudgedAtEntry(table.Balanced),
		InARow("5 in a row", 5), InARow("3 in a row", 3), Window(),
	}
}

// usual is what the usual rules have in common: no baseline, no trial, a
// constant hold-off and timeout.
type usual struct {
	until clock.Millis
	aside bool
}

func (u *usual) SetBaseline(health.Baseline)         {}
func (u *usual) Probed(clock.Millis, bool)           {}
func (u *usual) Own() health.Baseline                { return health.Baseline{} }
func (u *usual) OverdueAfter() clock.Millis          { return usualTimeout }
func (u *usual) Admit(now clock.Millis, _ bool) bool { return u.Status(now).State == health.InUse }

func (u *usual) Status(now clock.Millis) health.Status {
	if u.aside && now >= u.until {
		u.aside = false
	}
	if u.aside {
		return health.Status{State: health.Aside, Until: u.until}
	}
	return health.Status{Share: 1}
}

func (u *usual) setAside(now clock.Millis) {
	u.aside, u.until = true, now+usualHoldOff
}

type inARow struct {
	usual
	limit, failed int
}

func (r *inARow) Observe(now clock.Millis, o health.Observation) bool {
	switch o.Result {
	case health.Good:
		r.failed = 0
	case health.Failed, health.Overdue:
		r.failed++
	default:
	}
	if r.failed < r.limit || r.Status(now).State == health.Aside {
		return false
	}
	r.failed = 0
	r.setAside(now)
	return true
}

type window struct {
	usual
	last          [windowLength]bool
	taken, failed int
}

func (w *window) Observe(now clock.Millis, o health.Observation) bool {
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
	if w.taken < windowLength || w.failed <= windowFailed || w.Status(now).State == health.Aside {
		return false
	}
	w.last, w.taken, w.failed = [windowLength]bool{}, 0, 0
	w.setAside(now)
	return true
}
