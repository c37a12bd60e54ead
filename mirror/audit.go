package mirror

import "fuchsiapick.example/fuchsiapick/clock"

const (
	// minRelistDelay is the least span between two lists that are read because copies
	// differ, a tenth of what an upstream that some nodes don't know was lost for
	// before. It doubles while the lists find nothing, up to longestDoubt: nodes of
	// two releases that mark values differently would else list all the time.
	minRelistDelay = 3 * clock.Second
	maxRelistDelay = 10 * clock.Minute
	// auditRatio is the part of the calls that list all values though nothing speaks
	// against the copy: a change that the whole fleet has missed shows in nothing
	// else. A fleet of 24 nodes makes 1.9 calls a second and so finds it in 34 s;
	// pages of large lists count as calls, so that the price stays 1.6% of them.
	auditRatio = 1.0 / 64
	// pageSize is how many values the store lists in a call, about.
	pageSize = 500
)

// audit decides when the whole list is read to check a copy. It is not safe for
// concurrent use.
type audit struct {
	isDue bool
	// isSuspected says that something speaks against the copy.
	isSuspected bool
	// nextRelist is when doubt may cause a list again, span what to add to it.
	nextRelist, relistDelay clock.Millis
	accumulated             float64
}

// suspect takes in that something speaks against the copy, and reports whether a list is
// due for it.
func (a *audit) suspect(now clock.Millis) bool {
	if now < a.nextRelist {
		return false
	}
	a.isDue, a.isSuspected = true, true
	return true
}

// recordCall takes in a call, made with a copy of so many values.
func (a *audit) recordCall(values int) {
	a.accumulated += auditRatio / float64(1+values/pageSize)
	if a.accumulated >= 1 {
		a.isDue = true
	}
}

// recordList takes in that all values were listed, and whether the copy was wrong.
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

// compareDigest holds the copy against that of a node that has just read the store. They can
// only differ where one has missed a change, which no later event would mend: both may
// believe themselves up to date for good. The node that differs reads all values.
func (f *Follower) compareDigest(now clock.Millis, n *Update) {
	own, isSettled := f.copy.Digest()
	if n.Digest == 0 || n.Digest == own || !isSettled || f.unconfirmedRevision > 0 || n.Revision != f.copy.Revision() {
		return
	}
	f.suspect(now)
}

// Suspect takes in that the copy may lack a value: the node beside an upstream is asked
// for one that it doesn't know.
func (f *Follower) Suspect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspect(f.config.Now())
}

func (f *Follower) suspect(now clock.Millis) {
	if f.audit.suspect(now) {
		f.schedule.PollSoon(now)
		f.wake()
	}
}

// auditList takes in what a list says of the copy, before the copy takes the list in.
func (f *Follower) auditList(now clock.Millis, items []Item, revision uint64) {
	wrong := 0
	if f.copy.Revision() > 0 {
		wrong = f.copy.CountWrong(items, revision)
	}
	f.audit.recordList(now, wrong > 0)
	if wrong == 0 {
		return
	}
	f.stats.CopyErrors++
	f.config.Log.WithField("values", wrong).Warn("copy of the platform's values was wrong; all were listed again")
}
