package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/rendezvous"
)

const (
	// mostEnds bounds the ends that are remembered. Where there are more, all but
	// keptEnds are forgotten, so that this is seldom worked out.
	mostEnds, keptEnds = 512, 384
	// keepOver is how long an End is remembered of which nothing is suspected any more:
	// a node that was away must not bring it back as one that is.
	keepOver = 10 * clock.Minute
	// KeepOpen is how long any other is. A request that comes again later begins anew.
	KeepOpen = 2 * lastHold
)

// Register is what one node knows of ends. It is not safe for concurrent use.
type Register struct {
	ends  map[uint64]*entry
	hints map[uint64]int // of suspects that aren't cleared
	cases map[Fingerprint]*Case
	// known are the suspects of all ends, with whether they came to their end after one.
	known map[Fingerprint]bool
	// lifted are the requests that an operator has freed.
	lifted   map[Fingerprint]struct{}
	sequence uint64
}

// entry is an End with the number of its last change here.
type entry struct {
	End

	changed uint64
}

// New returns a register that knows of no end.
func New() *Register {
	return &Register{ends: map[uint64]*entry{}, hints: map[uint64]int{}, cases: map[Fingerprint]*Case{}, known: map[Fingerprint]bool{}}
}

// IsEmpty reports whether nothing is suspected.
func (r *Register) IsEmpty() bool {
	return len(r.hints) == 0
}

// Watches reports whether a request with the hint may be a suspect.
func (r *Register) Watches(hint uint64) bool {
	_, ok := r.hints[hint]
	return ok
}

// Merge takes in what a gate has seen or another node tells. It returns whether any of it
// is new here, and the ends of which the teller knows less. What is told too late to
// matter is passed over.
func (r *Register) Merge(now clock.Millis, told []End) (isNews bool, behind []End) {
	for i := range told {
		known, ok := r.ends[told[i].ID]
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
			behind = append(behind, known.End)
		}
	}
	if isNews {
		r.trim(now)
		r.update()
	}
	return isNews, behind
}

func (r *Register) add(now clock.Millis, e *End) bool {
	if len(e.Suspects) == 0 || len(e.Suspects) > MostSuspects || isOld(now, e) {
		return false
	}
	r.ends[e.ID] = &entry{End: *e}
	r.touch(r.ends[e.ID])
	return true
}

// Clear takes in that a request came to its end, and returns whether that frees it of an
// End.
func (r *Register) Clear(now clock.Millis, f Fingerprint) bool {
	isNews := false
	for _, e := range r.ends {
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
		r.update()
	}
	return isNews
}

// Miss takes in that a trial neither ended the process nor succeeded, and returns whether
// that counts: only for a request that may be convicted.
func (r *Register) Miss(now clock.Millis, miss End) bool {
	if len(miss.Suspects) != 1 {
		return false
	}
	c, ok := r.cases[miss.Suspects[0].Fingerprint]
	if !ok || len(c.Ends) < ConvictAfter {
		return false
	}
	miss.IsMiss = true
	isNews, _ := r.Merge(now, []End{miss})
	return isNews
}

// Lift frees requests for as long as they are named, by an operator's word.
func (r *Register) Lift(all []Fingerprint) {
	r.lifted = make(map[Fingerprint]struct{}, len(all))
	for _, f := range all {
		r.lifted[f] = struct{}{}
	}
	r.update()
}

func (r *Register) isLifted(f Fingerprint) bool {
	_, ok := r.lifted[f]
	return ok
}

// Expire forgets what is too old.
func (r *Register) Expire(now clock.Millis) {
	before := len(r.ends)
	r.trim(now)
	if len(r.ends) != before {
		r.update()
	}
}

// Standing says how a request may be sent.
func (r *Register) Standing(now clock.Millis, f Fingerprint) Standing {
	wasCleared, isKnown := r.known[f]
	c, ok := r.cases[f]
	if !ok {
		return Standing{IsCleared: isKnown}
	}
	s := Standing{Verdict: c.Verdict, Versions: c.Versions, IsCleared: wasCleared}
	if s.Verdict == Quarantined && now >= c.Until {
		s.Verdict = Suspected
	}
	return s
}

// Cases returns the requests that are suspected or quarantined, by their last ends.
func (r *Register) Cases() []Case {
	all := make([]Case, 0, len(r.cases))
	for _, c := range r.cases {
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b Case) int {
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), cmp.Compare(b.Last, a.Last), cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()))
	})
	return all
}

// Since returns the ends that have changed here after a number, and the number to ask
// from next. From 0 on, those of which nothing is suspected any more are left out.
func (r *Register) Since(number uint64) ([]End, uint64) {
	var all []End
	for _, e := range r.inOrder() {
		if r.ends[e.ID].changed > number && (number > 0 || !e.isOver()) {
			all = append(all, *e)
		}
	}
	return all, r.sequence
}

// Digest sums up the ends of which something is suspected: registers with one digest
// need not tell each other anything. It is 0 for none.
func (r *Register) Digest() uint64 {
	sum := uint64(0)
	for _, e := range r.ends {
		if !e.isOver() {
			sum ^= rendezvous.Mix(e.ID ^ rendezvous.Mix(e.Cleared))
		}
	}
	return sum
}

func (r *Register) touch(e *entry) {
	r.sequence++
	e.changed = r.sequence
}

// update works out what follows from the ends.
func (r *Register) update() {
	r.review()
	clear(r.hints)
	clear(r.known)
	for _, e := range r.ends {
		for i := range e.Suspects {
			f := e.Suspects[i].Fingerprint
			r.known[f] = r.known[f] || e.isCleared(i)
			if _, isOpen := r.cases[e.Suspects[i].Fingerprint]; isOpen && !e.isCleared(i) {
				r.hints[e.Suspects[i].Hint]++
			}
		}
	}
}

// inOrder returns all ends, oldest first.
func (r *Register) inOrder() []*End {
	all := make([]*End, 0, len(r.ends))
	for _, e := range r.ends {
		all = append(all, &e.End)
	}
	slices.SortFunc(all, func(a, b *End) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	return all
}

// trim forgets ends that are too old, and the least telling ones of too many: first those
// of which nothing is suspected, then the oldest whose suspects ran under no other.
func (r *Register) trim(now clock.Millis) {
	maps.DeleteFunc(r.ends, func(_ uint64, e *entry) bool { return isOld(now, &e.End) })
	if len(r.ends) <= mostEnds {
		return
	}
	all := r.inOrder()
	weights := r.weights()
	slices.SortStableFunc(all, func(a, b *End) int { return cmp.Compare(weights[a.ID], weights[b.ID]) })
	for _, e := range all[:len(all)-keptEnds] {
		delete(r.ends, e.ID)
	}
}

// weights say of each end under how many the most telling of its suspects ran, up to what
// convicts one.
func (r *Register) weights() map[uint64]int {
	seen := map[Fingerprint]int{}
	each := func(act func(e *End, f Fingerprint)) {
		for _, e := range r.ends {
			for i := range e.Suspects {
				if !e.isCleared(i) {
					act(&e.End, e.Suspects[i].Fingerprint)
				}
			}
		}
	}
	each(func(_ *End, f Fingerprint) { seen[f]++ })
	weights := make(map[uint64]int, len(r.ends))
	each(func(e *End, f Fingerprint) { weights[e.ID] = max(weights[e.ID], min(seen[f], ConvictAfter)) })
	return weights
}

func isOld(now clock.Millis, e *End) bool {
	if e.isOver() {
		return now-e.At > keepOver
	}
	return now-e.At > KeepOpen
}
