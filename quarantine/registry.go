package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/rendezvous"
)

const (
	// maxCrashes bounds the crashes that are stored. When it is exceeded, all but
	// retainedCrashes are evicted, so that the costly choice of what to evict is rare.
	maxCrashes, retainedCrashes = 512, 384
	// resolvedTTL is how long a resolved crash is retained: a node that was disconnected
	// must not bring it back as an open one.
	resolvedTTL = 10 * clock.Minute
	// OpenTTL is how long an unresolved crash is retained. A request that returns later
	// starts without a record.
	OpenTTL = 2 * maxQuarantine
)

// Registry holds the crashes that one node knows of and the cases that follow from them. It
// is not safe for concurrent use.
type Registry struct {
	crashes map[uint64]*record
	hints   map[uint64]int // counts by hint the open cases' suspects that aren't cleared
	cases   map[Fingerprint]*Case
	// suspects has an entry for each suspect of any crash: whether it was cleared of one.
	suspects map[Fingerprint]bool
	// lifted are the requests that an operator has released.
	lifted   map[Fingerprint]struct{}
	sequence uint64 // of the last change
}

// record is a Crash with the sequence number of its last change in this registry.
type record struct {
	Crash

	changed uint64
}

// NewRegistry returns a registry without crashes.
func NewRegistry() *Registry {
	return &Registry{crashes: map[uint64]*record{}, hints: map[uint64]int{}, cases: map[Fingerprint]*Case{}, suspects: map[Fingerprint]bool{}}
}

// IsEmpty reports whether no request is under suspicion.
func (r *Registry) IsEmpty() bool {
	return len(r.hints) == 0
}

// MayMatch reports whether a request with the hint may be a suspect. False is certain.
func (r *Registry) MayMatch(hint uint64) bool {
	_, ok := r.hints[hint]
	return ok
}

// Merge stores crashes that a local gate saw or that another node sent. It returns whether
// the registry changed, and the stored crashes that have suspects cleared which the sender
// doesn't know to be cleared. Crashes that have already expired are skipped.
func (r *Registry) Merge(now clock.Millis, received []Crash) (isChanged bool, behind []Crash) {
	for i := range received {
		known, ok := r.crashes[received[i].ID]
		if !ok {
			isChanged = r.add(now, &received[i]) || isChanged
			continue
		}
		// A received crash looks younger than it is: its age doesn't grow in transit.
		known.At = min(known.At, received[i].At)
		if union := known.Cleared | received[i].Cleared; union != known.Cleared {
			known.Cleared = union
			r.markChanged(known)
			isChanged = true
		}
		if known.Cleared != received[i].Cleared {
			behind = append(behind, known.Crash)
		}
	}
	if isChanged {
		r.trim(now)
		r.recompute()
	}
	return isChanged, behind
}

// add stores a crash unless its number of suspects is out of bounds or it has expired. It
// returns whether the crash was stored.
func (r *Registry) add(now clock.Millis, c *Crash) bool {
	if len(c.Suspects) == 0 || len(c.Suspects) > MaxSuspects || isExpired(now, c) {
		return false
	}
	r.crashes[c.ID] = &record{Crash: *c}
	r.markChanged(r.crashes[c.ID])
	return true
}

// Clear records that a request completed, which clears it of all crashes stored so far. It
// returns whether the request was an uncleared suspect of any.
func (r *Registry) Clear(now clock.Millis, f Fingerprint) bool {
	isChanged := false
	for _, crash := range r.crashes {
		for i := range crash.Suspects {
			if crash.Suspects[i].Fingerprint == f && !crash.isCleared(i) {
				crash.Cleared |= 1 << i
				r.markChanged(crash)
				isChanged = true
			}
		}
	}
	if isChanged {
		r.trim(now)
		r.recompute()
	}
	return isChanged
}

// AddInconclusive records a trial that neither crashed the process nor succeeded. It returns
// whether the trial counts, which it does only for a request with at least MinCrashes
// crashes.
func (r *Registry) AddInconclusive(now clock.Millis, trial Crash) bool {
	if len(trial.Suspects) != 1 {
		return false
	}
	c, ok := r.cases[trial.Suspects[0].Fingerprint]
	if !ok || len(c.Crashes) < MinCrashes {
		return false
	}
	trial.IsInconclusive = true
	isChanged, _ := r.Merge(now, []Crash{trial})
	return isChanged
}

// Lift releases the requests that an operator names in the table. It replaces the earlier
// list: a request that is no longer named is judged by its crashes again.
func (r *Registry) Lift(fingerprints []Fingerprint) {
	r.lifted = make(map[Fingerprint]struct{}, len(fingerprints))
	for _, f := range fingerprints {
		r.lifted[f] = struct{}{}
	}
	r.recompute()
}

func (r *Registry) isLifted(f Fingerprint) bool {
	_, ok := r.lifted[f]
	return ok
}

// Expire removes crashes whose retention is over.
func (r *Registry) Expire(now clock.Millis) {
	before := len(r.crashes)
	r.trim(now)
	if len(r.crashes) != before {
		r.recompute()
	}
}

// Status returns how a request may be sent. A quarantined request whose quarantine is over
// is suspected again.
func (r *Registry) Status(now clock.Millis, f Fingerprint) Status {
	wasCleared, isSuspect := r.suspects[f]
	c, ok := r.cases[f]
	if !ok {
		return Status{IsCleared: isSuspect}
	}
	s := Status{Verdict: c.Verdict, Versions: c.Versions, IsCleared: wasCleared}
	if s.Verdict == Quarantined && now >= c.Until {
		s.Verdict = Suspected
	}
	return s
}

// Cases returns the requests that are suspected or quarantined: quarantined ones first, then
// by the time of their last crash, latest first.
func (r *Registry) Cases() []Case {
	cases := make([]Case, 0, len(r.cases))
	for _, c := range r.cases {
		cases = append(cases, *c)
	}
	slices.SortFunc(cases, func(a, b Case) int {
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), cmp.Compare(b.Last, a.Last), cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()))
	})
	return cases
}

// ChangedSince returns the crashes that changed in this registry after a sequence number,
// and the number to pass in the next call. For 0, resolved crashes are left out.
func (r *Registry) ChangedSince(sequence uint64) ([]Crash, uint64) {
	var changed []Crash
	for _, c := range r.sortedCrashes() {
		if r.crashes[c.ID].changed > sequence && (sequence > 0 || !c.isResolved()) {
			changed = append(changed, *c)
		}
	}
	return changed, r.sequence
}

// Digest returns a hash of the unresolved crashes, 0 if there are none. Registries with
// equal digests need not exchange crashes.
func (r *Registry) Digest() uint64 {
	sum := uint64(0)
	for _, c := range r.crashes {
		if !c.isResolved() {
			sum ^= rendezvous.Mix(c.ID ^ rendezvous.Mix(c.Cleared))
		}
	}
	return sum
}

func (r *Registry) markChanged(c *record) {
	r.sequence++
	c.changed = r.sequence
}

// recompute derives cases, hints and suspects from the crashes.
func (r *Registry) recompute() {
	r.recomputeCases()
	clear(r.hints)
	clear(r.suspects)
	for _, c := range r.crashes {
		for i := range c.Suspects {
			f := c.Suspects[i].Fingerprint
			r.suspects[f] = r.suspects[f] || c.isCleared(i)
			if _, isOpen := r.cases[c.Suspects[i].Fingerprint]; isOpen && !c.isCleared(i) {
				r.hints[c.Suspects[i].Hint]++
			}
		}
	}
}

// sortedCrashes returns all crashes, oldest first.
func (r *Registry) sortedCrashes() []*Crash {
	crashes := make([]*Crash, 0, len(r.crashes))
	for _, c := range r.crashes {
		crashes = append(crashes, &c.Crash)
	}
	slices.SortFunc(crashes, func(a, b *Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	return crashes
}

// trim removes expired crashes and, if more than maxCrashes remain, those with the least
// weight as evidence: first the resolved ones, then the oldest whose suspects ran at no
// other crash.
func (r *Registry) trim(now clock.Millis) {
	maps.DeleteFunc(r.crashes, func(_ uint64, c *record) bool { return isExpired(now, &c.Crash) })
	if len(r.crashes) <= maxCrashes {
		return
	}
	crashes := r.sortedCrashes()
	weights := r.crashWeights()
	slices.SortStableFunc(crashes, func(a, b *Crash) int { return cmp.Compare(weights[a.ID], weights[b.ID]) })
	for _, c := range crashes[:len(crashes)-retainedCrashes] {
		delete(r.crashes, c.ID)
	}
}

// crashWeights returns the weight of each crash that isn't resolved, by its ID: the largest
// number of crashes that any one of its uncleared suspects ran at, MinCrashes at most.
func (r *Registry) crashWeights() map[uint64]int {
	crashCounts := map[Fingerprint]int{}
	forEachSuspect := func(visit func(c *Crash, f Fingerprint)) {
		for _, c := range r.crashes {
			for i := range c.Suspects {
				if !c.isCleared(i) {
					visit(&c.Crash, c.Suspects[i].Fingerprint)
				}
			}
		}
	}
	forEachSuspect(func(_ *Crash, f Fingerprint) { crashCounts[f]++ })
	weights := make(map[uint64]int, len(r.crashes))
	forEachSuspect(func(c *Crash, f Fingerprint) { weights[c.ID] = max(weights[c.ID], min(crashCounts[f], MinCrashes)) })
	return weights
}

func isExpired(now clock.Millis, c *Crash) bool {
	if c.isResolved() {
		return now-c.At > resolvedTTL
	}
	return now-c.At > OpenTTL
}
