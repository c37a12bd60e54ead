package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/rendezvous"
)

const (
	// maxCrashes bounds the ends that are remembered. Where there are more, all but
	// keptEnds are forgotten, so that this is seldom worked out.
	maxCrashes, retainedCrashes = 512, 384
	// resolvedTTL is how long an End is remembered of which nothing is suspected any more:
	// a node that was away must not bring it back as one that is.
	resolvedTTL = 10 * clock.Minute
	// OpenTTL is how long any other is. A request that comes again later begins anew.
	OpenTTL = 2 * maxQuarantine
)

// Registry is what one node knows of ends. It is not safe for concurrent use.
type Registry struct {
	crashes map[uint64]*record
	hints   map[uint64]int // of suspects that aren't cleared
	cases   map[Fingerprint]*Case
	// suspects are the suspects of all ends, with whether they came to their end after one.
	suspects map[Fingerprint]bool
	// lifted are the requests that an operator has freed.
	lifted   map[Fingerprint]struct{}
	sequence uint64
}

// record is an End with the number of its last change here.
type record struct {
	Crash

	changed uint64
}

// NewRegistry returns a register that knows of no end.
func NewRegistry() *Registry {
	return &Registry{crashes: map[uint64]*record{}, hints: map[uint64]int{}, cases: map[Fingerprint]*Case{}, suspects: map[Fingerprint]bool{}}
}

// IsEmpty reports whether nothing is suspected.
func (r *Registry) IsEmpty() bool {
	return len(r.hints) == 0
}

// MayMatch reports whether a request with the hint may be a suspect.
func (r *Registry) MayMatch(hint uint64) bool {
	_, ok := r.hints[hint]
	return ok
}

// Merge takes in what a gate has seen or another node tells. It returns whether any of it
// is new here, and the ends of which the teller knows less. What is told too late to
// matter is passed over.
func (r *Registry) Merge(now clock.Millis, told []Crash) (isNews bool, behind []Crash) {
	for i := range told {
		known, ok := r.crashes[told[i].ID]
		if !ok {
			isNews = r.add(now, &told[i]) || isNews
			continue
		}
		known.At = min(known.At, told[i].At) // ages are understated on the way
		if all := known.Cleared | told[i].Cleared; all != known.Cleared {
			known.Cleared = all
			r.touch(known)
			isNews = true
		}
		if known.Cleared != told[i].Cleared {
			behind = append(behind, known.Crash)
		}
	}
	if isNews {
		r.trim(now)
		r.recompute()
	}
	return isNews, behind
}

func (r *Registry) add(now clock.Millis, e *Crash) bool {
	if len(e.Suspects) == 0 || len(e.Suspects) > MaxSuspects || isExpired(now, e) {
		return false
	}
	r.crashes[e.ID] = &record{Crash: *e}
	r.touch(r.crashes[e.ID])
	return true
}

// Clear takes in that a request came to its end, and returns whether that frees it of an
// End.
func (r *Registry) Clear(now clock.Millis, f Fingerprint) bool {
	isNews := false
	for _, e := range r.crashes {
		for i := range e.Suspects {
			if e.Suspects[i].Fingerprint == f && !e.isCleared(i) {
				e.Cleared |= 1 << i
				r.touch(e)
				isNews = true
			}
		}
	}
	if isNews {
		r.trim(now)
		r.recompute()
	}
	return isNews
}

// AddInconclusive takes in that a trial neither ended the process nor succeeded, and returns whether
// that counts: only for a request that may be convicted.
func (r *Registry) AddInconclusive(now clock.Millis, miss Crash) bool {
	if len(miss.Suspects) != 1 {
		return false
	}
	c, ok := r.cases[miss.Suspects[0].Fingerprint]
	if !ok || len(c.Crashes) < MinCrashes {
		return false
	}
	miss.IsInconclusive = true
	isNews, _ := r.Merge(now, []Crash{miss})
	return isNews
}

// Lift frees requests for as long as they are named, by an operator's word.
func (r *Registry) Lift(all []Fingerprint) {
	r.lifted = make(map[Fingerprint]struct{}, len(all))
	for _, f := range all {
		r.lifted[f] = struct{}{}
	}
	r.recompute()
}

func (r *Registry) isLifted(f Fingerprint) bool {
	_, ok := r.lifted[f]
	return ok
}

// Expire forgets what is too old.
func (r *Registry) Expire(now clock.Millis) {
	before := len(r.crashes)
	r.trim(now)
	if len(r.crashes) != before {
		r.recompute()
	}
}

// Status says how a request may be sent.
func (r *Registry) Status(now clock.Millis, f Fingerprint) Status {
	wasCleared, isKnown := r.suspects[f]
	c, ok := r.cases[f]
	if !ok {
		return Status{IsCleared: isKnown}
	}
	s := Status{Verdict: c.Verdict, Versions: c.Versions, IsCleared: wasCleared}
	if s.Verdict == Quarantined && now >= c.Until {
		s.Verdict = Suspected
	}
	return s
}

// Cases returns the requests that are suspected or quarantined, by their last ends.
func (r *Registry) Cases() []Case {
	all := make([]Case, 0, len(r.cases))
	for _, c := range r.cases {
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b Case) int {
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), cmp.Compare(b.Last, a.Last), cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()))
	})
	return all
}

// ChangedSince returns the ends that have changed here after a number, and the number to ask
// from next. From 0 on, those of which nothing is suspected any more are left out.
func (r *Registry) ChangedSince(number uint64) ([]Crash, uint64) {
	var all []Crash
	for _, e := range r.sortedCrashes() {
		if r.crashes[e.ID].changed > number && (number > 0 || !e.isResolved()) {
			all = append(all, *e)
		}
	}
	return all, r.sequence
}

// Digest sums up the ends of which something is suspected: registers with one digest
// need not tell each other anything. It is 0 for none.
func (r *Registry) Digest() uint64 {
	sum := uint64(0)
	for _, e := range r.crashes {
		if !e.isResolved() {
			sum ^= rendezvous.Mix(e.ID ^ rendezvous.Mix(e.Cleared))
		}
	}
	return sum
}

func (r *Registry) touch(e *record) {
	r.sequence++
	e.changed = r.sequence
}

// recompute works out what follows from the ends.
func (r *Registry) recompute() {
	r.recomputeCases()
	clear(r.hints)
	clear(r.suspects)
	for _, e := range r.crashes {
		for i := range e.Suspects {
			f := e.Suspects[i].Fingerprint
			r.suspects[f] = r.suspects[f] || e.isCleared(i)
			if _, isOpen := r.cases[e.Suspects[i].Fingerprint]; isOpen && !e.isCleared(i) {
				r.hints[e.Suspects[i].Hint]++
			}
		}
	}
}

// sortedCrashes returns all ends, oldest first.
func (r *Registry) sortedCrashes() []*Crash {
	all := make([]*Crash, 0, len(r.crashes))
	for _, e := range r.crashes {
		all = append(all, &e.Crash)
	}
	slices.SortFunc(all, func(a, b *Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	return all
}

// trim forgets ends that are too old, and the least telling ones of too many: first those
// of which nothing is suspected, then the oldest whose suspects ran under no other.
func (r *Registry) trim(now clock.Millis) {
	maps.DeleteFunc(r.crashes, func(_ uint64, e *record) bool { return isExpired(now, &e.Crash) })
	if len(r.crashes) <= maxCrashes {
		return
	}
	all := r.sortedCrashes()
	weights := r.weights()
	slices.SortStableFunc(all, func(a, b *Crash) int { return cmp.Compare(weights[a.ID], weights[b.ID]) })
	for _, e := range all[:len(all)-retainedCrashes] {
		delete(r.crashes, e.ID)
	}
}

// weights say of each end under how many the most telling of its suspects ran, up to what
// convicts one.
func (r *Registry) weights() map[uint64]int {
	seen := map[Fingerprint]int{}
	each := func(act func(e *Crash, f Fingerprint)) {
		for _, e := range r.crashes {
			for i := range e.Suspects {
				if !e.isCleared(i) {
					act(&e.Crash, e.Suspects[i].Fingerprint)
				}
			}
		}
	}
	each(func(_ *Crash, f Fingerprint) { seen[f]++ })
	weights := make(map[uint64]int, len(r.crashes))
	each(func(e *Crash, f Fingerprint) { weights[e.ID] = max(weights[e.ID], min(seen[f], MinCrashes)) })
	return weights
}

func isExpired(now clock.Millis, e *Crash) bool {
	if e.isResolved() {
		return now-e.At > resolvedTTL
	}
	return now-e.At > OpenTTL
}
