package mirror

import "fuchsiapick.example/fuchsiapick/clock"

const (
	// minRelistDelay is the minimum delay between two lists that are read because a copy
	// is suspected to be wrong. It is a tenth of the time for which an upstream that some
	// nodes didn't know used to get no requests from them. The delay doubles while the
	// lists find no difference, up to maxRelistDelay: nodes of two releases that hash
	// values differently would otherwise list all values all the time.
	minRelistDelay = 3 * clock.Second
	maxRelistDelay = 10 * clock.Minute
	// auditRatio is the share of calls that list all values although nothing indicates an
	// error in the copy. No other check finds a change that the whole fleet has missed. A
	// fleet of 24 nodes makes 1.9 calls a second and thus finds such a change within 34
	// s. Each page of a large list counts as a call, so the overhead stays at 1.6% of the
	// calls.
	auditRatio = 1.0 / 64
	// pageSize is the approximate number of values that the store returns per call of a
	// list.
	pageSize = 500
)

// audit decides when all values are listed to check the copy. It is not safe for
// concurrent use.
type audit struct {
	isDue bool
	// isSuspected is true if the next list was requested because the copy may be wrong.
	isSuspected bool
	// nextRelist is the earliest time at which a suspicion may request another list, and
	// relistDelay the delay that led to it. accumulated sums what the calls since
	// the last list add towards an audit; a list is due when it reaches 1.
	nextRelist, relistDelay clock.Millis
	accumulated             float64
}

// suspect records an indication that the copy is wrong. It reports whether a list is due
// because of it.
func (a *audit) suspect(now clock.Millis) bool {
	if now < a.nextRelist {
		return false
	}
	a.isDue, a.isSuspected = true, true
	return true
}

// recordCall counts a call that is made with a copy of the given number of values.
func (a *audit) recordCall(values int) {
	a.accumulated += auditRatio / float64(1+values/pageSize)
	if a.accumulated >= 1 {
		a.isDue = true
	}
}

// recordList records that all values were listed, and whether the copy was wrong.
func (a *audit) recordList(now clock.Millis, wasWrong bool) {
	switch {
	case wasWrong || a.relistDelay == 0:
		a.relistDelay = minRelistDelay
	case a.isSuspected:
		a.relistDelay = min(2*a.relistDelay, maxRelistDelay)
	}
	a.nextRelist = now + a.relistDelay
	a.isDue, a.isSuspected, a.accumulated = false, false, 0
}

// compareDigest compares the copy's digest with that of a node that has just read the
// store. The digests differ at the same revision only if one of the two nodes has missed
// a change. No later event corrects that, and both nodes would consider their copies
// current. The node that finds a difference lists all values.
func (f *Follower) compareDigest(now clock.Millis, u *Update) {
	local, isSettled := f.copy.Digest()
	if u.Digest == 0 || u.Digest == local || !isSettled || f.unconfirmedRevision > 0 || u.Revision != f.copy.Revision() {
		return
	}
	f.suspect(now)
}

// Suspect reports that the copy may lack a value, for example when a peer asks the node
// beside an upstream for that upstream, which this node doesn't know.
func (f *Follower) Suspect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspect(f.config.Now())
}

func (f *Follower) suspect(now clock.Millis) {
	if f.audit.suspect(now) {
		f.pollSoon(now, CauseSuspicion)
		f.wake()
	}
}

// auditList compares a list with the copy, before the copy is replaced by the list.
func (f *Follower) auditList(now clock.Millis, items []Item, revision uint64) {
	wrong := 0
	if f.copy.Revision() > 0 && EraOf(revision) == EraOf(f.copy.Revision()) {
		wrong = f.copy.CountWrong(items, revision)
	}
	f.audit.recordList(now, wrong > 0)
	if wrong == 0 {
		return
	}
	f.stats.CopyErrors++
	f.config.Log.WithField("values", wrong).Warn("copy of the platform's values differed from the store; replacing it with the list")
}
