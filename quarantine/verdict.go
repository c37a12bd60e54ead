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
	// MinCrashes is the minimum number of crashes that a request must have been running at
	// before it may be quarantined.
	MinCrashes = 3
	// maxChance is the highest probability of coincidence at which a request is
	// quarantined.
	maxChance = 1e-5
	// maxTrials is how many trials without success a request gets after it has reached
	// MinCrashes. It is then quarantined however likely a coincidence is. The number leaves
	// room for one more trial, when two entries send one at the same time.
	maxTrials = 2
	// rateWindow is the time before a crash over which the crashes of its service are
	// counted, to estimate how often its processes crash by themselves.
	rateWindow = 20 * clock.Second
	// minExposure is added to the time for which a send ran: crashes and sends aren't timed
	// to the millisecond.
	minExposure = 10 * clock.Millis(1)
	// baseQuarantine is the length of the quarantine after the third crash. Each further
	// crash doubles it, up to maxQuarantine.
	baseQuarantine = 10 * clock.Minute
	maxQuarantine  = clock.Hour
)

// Verdict says how a request may be sent.
type Verdict uint8

// The verdicts.
const (
	// Free requests are sent without restriction.
	Free Verdict = iota
	// Suspected requests are sent as trials, one at a time.
	Suspected
	// Quarantined requests aren't sent.
	Quarantined
)

// Status is what a node knows of a request.
type Status struct {
	Verdict Verdict
	// IsCleared reports whether the request is known not to have caused one of the crashes
	// at least.
	IsCleared bool
	// Versions are the software versions that crashed while they ran the request. Other
	// versions may handle it.
	Versions []string
}

// Admission is a gate's decision about a request.
type Admission uint8

// The decisions about a request.
const (
	// Run runs the request without restriction.
	Run Admission = iota
	// RunAlone runs the request as a trial: no other suspect runs on the server meanwhile.
	RunAlone
	// Refuse doesn't run the request.
	Refuse
)

// Admit returns a gate's decision about a request. It combines what the gate's node knows
// with the verdict of the entry that sends the request. Version is the software version of
// the gate's backend server, empty if unknown: a version that hasn't crashed under the
// request may handle it. The gate follows an entry's verdict of Quarantined, unless its own
// node knows that the request was cleared: the entry may not have received that yet.
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

// Case is the evidence against one request.
type Case struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	Service     string
	// Crashes are the IDs of the crashes at which the request was running and that no
	// quarantined request explains, oldest first. Servers names the upstream of each,
	// Requests the id of the send that was running, and Versions the distinct software
	// versions.
	Crashes  []uint64
	Servers  []string
	Requests []string
	Versions []string
	// Trials is how many of the crashes happened during a trial.
	Trials int
	// trials are the times of all trials, inconclusive ones too.
	trials []clock.Millis
	// provenAt is the time of the crash with which the case reached MinCrashes.
	provenAt clock.Millis
	// Chance is the probability that all crashes during its trials had other causes.
	// Crashes outside of trials don't lower it: several may share one cause at the same
	// instant.
	Chance float64
	// Last is the time of the last crash, Until the time at which the quarantine ends.
	Last, Until clock.Millis
}

// recomputeCases derives all cases from the crashes. It quarantines the strongest
// conclusive case first; the crashes that this case explains don't count against other
// requests. It then repeats with the remaining crashes.
func (r *Registry) recomputeCases() {
	r.cases = map[Fingerprint]*Case{}
	explained := map[uint64]struct{}{}
	crashes := r.sortedCrashes()
	rates := crashRates(crashes)
	for {
		open := r.openCases(crashes, rates, explained)
		strongest := strongestCase(open)
		if strongest == nil {
			// A case without crashes has inconclusive trials only.
			maps.DeleteFunc(open, func(_ Fingerprint, c *Case) bool { return len(c.Crashes) == 0 })
			maps.Copy(r.cases, open)
			return
		}
		strongest.Verdict = Quarantined
		r.cases[strongest.Fingerprint] = strongest
		for _, id := range strongest.Crashes {
			explained[id] = struct{}{}
		}
	}
}

// openCases builds the cases of the crashes that no quarantined request explains. Rates has
// the crash rate of each crash, by its index.
func (r *Registry) openCases(crashes []*Crash, rates []float64, explained map[uint64]struct{}) map[Fingerprint]*Case {
	open := map[Fingerprint]*Case{}
	for index, crash := range crashes {
		if _, ok := explained[crash.ID]; ok {
			continue
		}
		for i := range crash.Suspects {
			s := &crash.Suspects[i]
			known, isKnown := r.cases[s.Fingerprint]
			if crash.isCleared(i) || r.isLifted(s.Fingerprint) || (isKnown && known.Verdict == Quarantined) {
				continue
			}
			c, ok := open[s.Fingerprint]
			if !ok {
				c = &Case{Fingerprint: s.Fingerprint, Verdict: Suspected, Service: crash.Service, Chance: 1}
				open[s.Fingerprint] = c
			}
			c.add(crash, s, rates[index])
		}
	}
	return open
}

// add adds a crash as evidence against suspect s. Rate is the service's crash rate in
// crashes per upstream and millisecond.
func (c *Case) add(crash *Crash, s *Suspect, rate float64) {
	if s.IsTrial {
		c.trials = append(c.trials, crash.At)
	}
	if crash.IsInconclusive || (len(c.Crashes) > 0 && c.Crashes[len(c.Crashes)-1] == crash.ID) {
		return // inconclusive trial, or the request was running twice at this crash
	}
	c.Crashes = append(c.Crashes, crash.ID)
	c.Servers = append(c.Servers, crash.Upstream)
	c.Requests = append(c.Requests, s.Request)
	if !slices.Contains(c.Versions, crash.Version) {
		c.Versions = append(c.Versions, crash.Version)
	}
	if s.IsTrial {
		c.Trials++
		c.Chance *= min(1, rate*float64(s.Elapsed+minExposure))
	}
	c.Last = max(c.Last, crash.At)
	if len(c.Crashes) == MinCrashes {
		c.provenAt = crash.At
	}
	doublings := max(len(c.Crashes)-MinCrashes, 0)
	c.Until = c.Last + clock.Millis(min(float64(maxQuarantine), math.Ldexp(float64(baseQuarantine), doublings)))
}

// isConclusive reports whether the evidence suffices to quarantine the request.
func (c *Case) isConclusive() bool {
	return len(c.Crashes) >= MinCrashes &&
		(c.Chance <= maxChance || c.trialsSince() >= maxTrials)
}

// trialsSince returns the number of trials after the case reached MinCrashes.
func (c *Case) trialsSince() int {
	count := 0
	for _, at := range c.trials {
		if at > c.provenAt {
			count++
		}
	}
	return count
}

// strongestCase returns the conclusive case with the most crashes, nil if no case is
// conclusive.
func strongestCase(open map[Fingerprint]*Case) *Case {
	var strongest *Case
	for _, c := range open {
		if c.isConclusive() && (strongest == nil || c.compare(strongest) < 0) {
			strongest = c
		}
	}
	return strongest
}

// compare orders cases from the strongest to the weakest: by more crashes, more trials, a
// lower chance, and the fingerprint.
func (c *Case) compare(other *Case) int {
	return cmp.Or(
		cmp.Compare(len(other.Crashes), len(c.Crashes)),
		cmp.Compare(other.Trials, c.Trials),
		cmp.Compare(c.Chance, other.Chance),
		bytes.Compare(c.Fingerprint[:], other.Fingerprint[:]),
	)
}

// crashRates returns the crash rate of the service at each of the crashes, in crashes per
// upstream and millisecond, over the rateWindow before it. Crashes must be in order of time.
// Later crashes don't count: a verdict must not be reversed because other servers crash
// afterwards.
func crashRates(crashes []*Crash) []float64 {
	rates := make([]float64, len(crashes))
	recent := map[string][]clock.Millis{} // times of crashes within the window, by service
	for i, c := range crashes {
		if c.IsInconclusive {
			continue
		}
		recent[c.Service] = append(recent[c.Service], c.At)
		for c.At-recent[c.Service][0] > rateWindow {
			recent[c.Service] = recent[c.Service][1:]
		}
		rates[i] = float64(len(recent[c.Service])) / float64(max(c.Upstreams, 1)) / float64(rateWindow)
	}
	return rates
}
