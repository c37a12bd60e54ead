package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// MinCrashes is under how many ends a request must have run.
	MinCrashes = 3
	// maxChance is the most that the chance of a request being there by accident may be.
	maxChance = 1e-5
	// maxTrials is how many trials it gets after the end from which it may be convicted,
	// whatever they show but success: it is convicted then however likely chance is. It
	// leaves room for one more that two entries send at one instant.
	maxTrials = 2
	// rateWindow is the time before an end in which others of its service say how often
	// its processes end by themselves.
	rateWindow = 20 * clock.Second
	// minExposure is added to the time of a run: ends and runs aren't seen to the
	// millisecond.
	minExposure = 10 * clock.Millis(1)
	// baseQuarantine is how long a convicted request is held after its third end. Each
	// further end doubles it, up to lastHold.
	baseQuarantine = 10 * clock.Minute
	maxQuarantine  = clock.Hour
)

// Verdict says how a request may be sent.
type Verdict uint8

// The verdicts.
const (
	// Free requests are sent like any other.
	Free Verdict = iota
	// Suspected ones are sent one at a time.
	Suspected
	// Quarantined ones aren't sent.
	Quarantined
)

// Status is what is known of a request.
type Status struct {
	Verdict Verdict
	// IsCleared says that the request is known not to be to blame for some end at least.
	IsCleared bool
	// Versions are those of the software that ended under it. Another one may bear it.
	Versions []string
}

// Admission is how a gate admits a request.
type Admission uint8

// The ways to admit a request.
const (
	// Run runs it like any other.
	Run Admission = iota
	// RunAlone runs it beside no other suspect.
	RunAlone
	// Refuse doesn't run it.
	Refuse
)

// Admit says how a gate admits a request, by what its node knows and what the entry that
// sends it knew. Software of another version than those that ended under it may bear it. An
// entry that holds it back is believed, unless the gate knows that it was cleared: the
// entry may not have heard that yet.
func (s *Status) Admit(entry Verdict, version string) Admission {
	isTested := version == "" || slices.Contains(s.Versions, version)
	switch {
	case s.Verdict == Quarantined && (isTested || entry == Free):
		return Refuse
	case s.Verdict == Free && s.IsCleared:
		return Run
	case entry == Quarantined && s.Verdict != Quarantined && !s.IsCleared:
		return Refuse
	case s.Verdict == Free && entry == Free:
		return Run
	default:
		return RunAlone
	}
}

// Case is a request that runs as processes end.
type Case struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	Service     string
	// Crashes are the processes that ended under it and that nothing else explains, oldest
	// first, and Requests the sends that ran there.
	Crashes  []uint64
	Servers  []string
	Requests []string
	Versions []string
	// Trials is how many of the ends were under a trial.
	Trials int
	// trials are the instants of all trials, also of those that showed nothing.
	trials []clock.Millis
	// provenAt is when the end was from which it may be convicted.
	provenAt clock.Millis
	// Chance is how likely its trials met ends of other causes. Ends under other runs
	// say nothing of that: several may have one cause at one instant.
	Chance float64
	// Last is when the last of them was, Until when the quarantine ends.
	Last, Until clock.Millis
}

// recomputeCases works out all cases: a convicted request explains the ends that it ran under,
// which then count against no other one.
func (r *Registry) recomputeCases() {
	r.cases = map[Fingerprint]*Case{}
	explained := map[uint64]struct{}{}
	ends := r.sortedCrashes()
	each := crashRates(ends)
	for {
		open := r.openCases(ends, each, explained)
		guilty := strongestCase(open)
		if guilty == nil {
			maps.DeleteFunc(open, func(_ Fingerprint, c *Case) bool { return len(c.Crashes) == 0 }) // trials alone
			maps.Copy(r.cases, open)
			return
		}
		guilty.Verdict = Quarantined
		r.cases[guilty.Fingerprint] = guilty
		for _, id := range guilty.Crashes {
			explained[id] = struct{}{}
		}
	}
}

// openCases gathers the cases of all ends that nothing explains.
func (r *Registry) openCases(ends []*Crash, each []float64, explained map[uint64]struct{}) map[Fingerprint]*Case {
	open := map[Fingerprint]*Case{}
	for number, e := range ends {
		if _, ok := explained[e.ID]; ok {
			continue
		}
		for i := range e.Suspects {
			s := &e.Suspects[i]
			known, isGuilty := r.cases[s.Fingerprint]
			if e.isCleared(i) || r.isLifted(s.Fingerprint) || (isGuilty && known.Verdict == Quarantined) {
				continue
			}
			c, ok := open[s.Fingerprint]
			if !ok {
				c = &Case{Fingerprint: s.Fingerprint, Verdict: Suspected, Service: e.Service, Chance: 1}
				open[s.Fingerprint] = c
			}
			c.add(e, s, each[number])
		}
	}
	return open
}

func (c *Case) add(e *Crash, s *Suspect, rate float64) {
	if s.IsTrial {
		c.trials = append(c.trials, e.At)
	}
	if e.IsInconclusive || (len(c.Crashes) > 0 && c.Crashes[len(c.Crashes)-1] == e.ID) {
		return // it showed nothing, or ran there twice at once
	}
	c.Crashes = append(c.Crashes, e.ID)
	c.Servers = append(c.Servers, e.Upstream)
	c.Requests = append(c.Requests, s.Request)
	if !slices.Contains(c.Versions, e.Version) {
		c.Versions = append(c.Versions, e.Version)
	}
	if s.IsTrial {
		c.Trials++
		c.Chance *= min(1, rate*float64(s.Elapsed+minExposure))
	}
	c.Last = max(c.Last, e.At)
	if len(c.Crashes) == MinCrashes {
		c.provenAt = e.At
	}
	doublings := max(len(c.Crashes)-MinCrashes, 0)
	c.Until = c.Last + clock.Millis(min(float64(maxQuarantine), math.Ldexp(float64(baseQuarantine), doublings)))
}

// isConclusive reports whether the evidence will do.
func (c *Case) isConclusive() bool {
	return len(c.Crashes) >= MinCrashes &&
		(c.Chance <= maxChance || c.trialsSince() >= maxTrials)
}

// trialsSince is how many trials there were since it may be convicted.
func (c *Case) trialsSince() int {
	spent := 0
	for _, at := range c.trials {
		if at > c.provenAt {
			spent++
		}
	}
	return spent
}

// strongestCase is the convicted case that explains most, nil without one.
func strongestCase(open map[Fingerprint]*Case) *Case {
	var found *Case
	for _, c := range open {
		if c.isConclusive() && (found == nil || c.compare(found) < 0) {
			found = c
		}
	}
	return found
}

func (c *Case) compare(other *Case) int {
	return cmp.Or(
		cmp.Compare(len(other.Crashes), len(c.Crashes)),
		cmp.Compare(other.Trials, c.Trials),
		cmp.Compare(c.Chance, other.Chance),
		bytes.Compare(c.Fingerprint[:], other.Fingerprint[:]),
	)
}

// crashRates returns how many ends an upstream of the service had in a millisecond before each
// of the ends, which are in order. Later ones say nothing of it: a verdict that stands must
// not fall since other servers end.
func crashRates(ends []*Crash) []float64 {
	all := make([]float64, len(ends))
	before := map[string][]clock.Millis{} // of each service, within the span
	for i, e := range ends {
		if e.IsInconclusive {
			continue
		}
		before[e.Service] = append(before[e.Service], e.At)
		for e.At-before[e.Service][0] > rateWindow {
			before[e.Service] = before[e.Service][1:]
		}
		all[i] = float64(len(before[e.Service])) / float64(max(e.Upstreams, 1)) / float64(rateWindow)
	}
	return all
}
