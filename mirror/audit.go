package mirror

import "fuchsiapick.example/fuchsiapick/clock"

const (
	// firstDoubt is the least span between two lists that are read because copies
	// differ, a tenth of what an upstream that some nodes don't know was lost for
	// before. It doubles while the lists find nothing, up to longestDoubt: nodes of
	// two releases that mark values differently would else list all the time.
	firstDoubt   = 3 * clock.Second
	longestDoubt = 10 * clock.Minute
	// auditShare is the part of the calls that list all values though nothing speaks
	// against the copy: a change that the whole fleet has missed shows in nothing
	// else. A fleet of 24 nodes makes 1.9 calls a second and so finds it in 34 s;
	// pages of large lists count as calls, so that the price stays 1.6% of them.
	auditShare = 1.0 / 64
	// pageValues is how many values the store lists in a call, about.
	pageValues = 500
)

// audit decides when the whole list is read to check a copy. It is not safe for
// concurrent use.
type audit struct {
	isDue bool
	// isDoubted says that something speaks against the copy.
	isDoubted bool
	// next is when doubt may cause a list again, span what to add to it.
	next, span clock.Millis
	owed       float64
}

// doubt takes in that something speaks against the copy, and reports whether a list is
// due for it.
func (a *audit) doubt(now clock.Millis) bool {
	if now < a.next {
		return false
	}
	a.isDue, a.isDoubted = true, true
	return true
}

// called takes in a call, made with a copy of so many values.
func (a *audit) called(values int) {
	a.owed += auditShare / float64(1+values/pageValues)
	if a.owed >= 1 {
		a.isDue = true
	}
}

// listed takes in that all values were listed, and whether the copy was wrong.
func (a *audit) listed(now clock.Millis, wasWrong bool) {
	switch {
	case wasWrong || a.span == 0:
		a.span = firstDoubt
	case a.isDoubted:
		a.span = min(2*a.span, longestDoubt)
	}
	a.next = now + a.span
	a.isDue, a.isDoubted, a.owed = false, false, 0
}

// compare holds the copy against that of a node that has just read the store. They can
// only differ where one has missed a change, which no later event would mend: both may
// believe themselves up to date for good. The node that differs reads all values.
func (f *Follower) compare(now clock.Millis, n *News) {
	own, isSettled := f.copy.Digest()
	if n.Digest == 0 || n.Digest == own || !isSettled || f.doubted > 0 || n.Revision != f.copy.Revision() {
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
	if f.audit.doubt(now) {
		f.pace.Hurry(now)
		f.wake()
	}
}

// checked takes in what a list says of the copy, before the copy takes the list in.
func (f *Follower) checked(now clock.Millis, items []Item, revision uint64) {
	wrong := 0
	if f.copy.Revision() > 0 {
		wrong = f.copy.Wrong(items, revision)
	}
	f.audit.listed(now, wrong > 0)
	if wrong == 0 {
		return
	}
	f.stats.Wrong++
	f.config.Log.WithField("values", wrong).Warn("copy of the platform's values was wrong; all were listed again")
}
