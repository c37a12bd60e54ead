package mirror

import (
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// newsLimit bounds, in bytes, the values that one node tells all others: a
// registration has 300, a configuration of the larger deployments 25,000, a fifth of
// it on the wire. Larger ones cost more than a call of each node.
const newsLimit = 128 << 10

// largeValue is the size in bytes from which a value is told by an edit, and left out of
// news that would be larger than newsLimit: fifty registrations, and less than a
// configuration of a hundred routes.
const largeValue = 16 << 10

// mostEvents bounds the changes that are told at once: a frame's arrays have 4,096 entries
// at most, and a peer that can't read one learns nothing of it.
const mostEvents = 4000

// News is what one node has learned from the store, for others: all that matters
// between two revisions.
type News struct {
	// Since is the revision from which Events are complete, up to Revision.
	Since, Revision uint64
	Events          []Event
	// More says that there are changes too large to be told, beside Events.
	More bool
	// IsList says that Events are the difference between two lists: complete for a node
	// that knows exactly what the store held at Since, and for no other.
	IsList bool
	// IsAway says that the store didn't answer; nothing else is told then.
	IsAway bool
	// Age is how long ago Revision was the store's.
	Age clock.Millis
	// Bytes is the size of all values that the teller holds, told with More: a node that
	// is behind reads no answer that is larger.
	Bytes int
	// Digest sums up what the teller holds at Revision; 0 where it can't say.
	Digest uint64
}

// newsOf sums up what a call has brought. It is made before the copy takes the
// events in, with which they are compared.
//
// A value that the copy holds as of a revision after since came by another node's news
// while the call was under way. Compared with that, a change is none, and news without
// it would claim to be complete: a node at since that heard only these would never
// learn of an upstream. Such changes are told, and so are all further ones of a key of
// which one is told.
func newsOf(c *Copy, since, revision uint64, events []Event) News {
	n := News{Since: since, Revision: revision}
	told := map[string]struct{}{}
	for _, e := range events {
		old := c.items[e.Key]
		_, isTold := told[e.Key]
		if !e.Gone && !isTold && old.Revision <= since && c.mark(e.Item) == c.marks[e.Key] {
			continue
		}
		told[e.Key] = struct{}{}
		n.Events = append(n.Events, e)
	}
	tellEdits(c, n.Events)
	if sizeOf(n.Events) > newsLimit {
		n.Events, n.More = smallOf(n.Events), true
	}
	if len(n.Events) > mostEvents {
		n.Events, n.More = nil, true
	}
	return n
}

// sizeOf is how many bytes of text changes have.
func sizeOf(events []Event) int {
	size := 0
	for i := range events {
		size += len(events[i].Value)
		if events[i].Edit != nil {
			size += events[i].Edit.size()
		}
	}
	return size
}

// smallOf leaves out the large values: an upstream that leaves must not wait for a
// configuration that takes a second to read.
func smallOf(events []Event) []Event {
	isLarge := func(e Event) bool { return e.Edit != nil || len(e.Value) >= largeValue }
	small := slices.DeleteFunc(events, isLarge)
	if sizeOf(small) > newsLimit {
		return nil
	}
	return small
}

// newsOfList sums up what a list has brought in place of a watch's answer, made like newsOf
// before the copy takes the list in: none of those who read so would else tell others what
// made it so large. A list doesn't show a value that came and went since, which a node
// that hears it may hold, unless that knows nothing later than Since, and the copy was exact
// then.
func newsOfList(c *Copy, items []Item, revision uint64) News {
	since := c.Revision()
	if since == 0 {
		return News{}
	}
	var events []Event
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[item.Key] = struct{}{}
		if item.Revision > since {
			events = append(events, Event{Item: item})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		_, isListed := listed[key]
		_, isVanished := c.vanished[key]
		if !isListed && !isVanished && c.items[key].Revision <= revision {
			events = append(events, Event{Item: Item{Key: key, Revision: revision}, Gone: true})
		}
	}
	n := newsOf(c, since, revision, events)
	n.IsList = true
	n.More = n.More || !c.Exact() // a value that the copy lacks is not told as gone
	return n
}

// tell tells other nodes what a call has brought, unless that was a list in which nothing
// was looked for.
func (f *Follower) tell(n News, now, asked clock.Millis) {
	if f.config.Tell == nil || n.Since == 0 {
		return
	}
	n.Age = now - asked
	f.config.Tell(n)
}

// confirmSpan is how long after a call of its own a node takes another's word that a
// value is gone: with removals one after the other, as in a release, each node makes
// a call in so long.
const confirmSpan = 3 * clock.Second

// believed returns the changes that are taken on a peer's word. A value that was written
// by the revision known here is known, or gone since. A registration lapses also where
// its upstream lives and is only cut off from the store, with this node beside it or
// near it: the store must have told this node itself that it is gone. A node that is
// cut off as well would else lose what it alone can reach.
func (f *Follower) believed(now clock.Millis, n News) []Event {
	events := unknown(n.Events, f.copy.Revision())
	isGone := func(e Event) bool { return e.Gone && !f.announced(e.Key) }
	if now-f.confirmedAt <= confirmSpan || !slices.ContainsFunc(events, isGone) {
		return events
	}
	f.doubted = max(f.doubted, n.Revision)
	f.pace.Hurry(now)
	f.wake()
	return slices.DeleteFunc(events, isGone)
}

// unknown leaves out the values that were written by a revision that is known.
func unknown(events []Event, known uint64) []Event {
	isKnown := func(e Event) bool { return !e.Gone && e.Revision <= known }
	return slices.DeleteFunc(slices.Clone(events), isKnown)
}

// announced reports whether the removal of a value was expected.
func (f *Follower) announced(key string) bool {
	old, ok := f.copy.items[key]
	return !ok || (f.config.Announced != nil && f.config.Announced(old))
}

// mostKept bounds the news that are kept until a call is answered: a call of a second, and
// an edit each 0.4 s, each told by some peers.
const mostKept = 16

// kept is news that left a gap to what was known at an instant.
type kept struct {
	news News
	at   clock.Millis
}

// Hear takes in what another node has learned.
func (f *Follower) Hear(n News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if n.IsAway {
		f.pace.Postpone(now)
		return
	}
	f.hear(now, n)
	f.logLag()
}

// hear takes in news that tell changes. Those that leave a gap to what is known are kept.
func (f *Follower) hear(now clock.Millis, told News) {
	n, known := told, f.copy.Revision()
	events, isWhole := resolve(f.copy, unknown(n.Events, known))
	n.Events = events
	if known < n.Revision {
		n.More = n.More || !isWhole
		f.lag.heard(now, n.Revision, n.More)
		f.peerBytes = max(f.peerBytes, n.Bytes)
	}
	if known < n.Since || (known < n.Revision && (n.More || !f.fits(&n))) {
		f.hearPart(now, n)
		f.keep(now, told)
		return
	}
	if f.pace.Failures() > 0 {
		f.copy.Returned(now)
	}
	f.copy.Apply(now, f.believed(now, n), n.Revision)
	f.revision.Store(f.copy.Revision())
	f.stats.Heard++
	f.config.Deliver(f.copy.Items(now), true) // a grace may be over, without any event
	f.pace.Known(now - n.Age)
	f.compare(now, &n)
}

// fits reports whether news of a list go on from exactly what is known here.
func (f *Follower) fits(n *News) bool {
	_, isSettled := f.copy.Digest()
	return !n.IsList || (n.Since == f.copy.Revision() && isSettled)
}

// hearPart takes in news that leave a gap to what is known here: this node's own call fills
// it. What they tell is taken over all the same, but nothing is known to be complete.
func (f *Follower) hearPart(now clock.Millis, n News) {
	if events := f.believed(now, n); f.copy.Revision() > 0 && len(events) > 0 {
		f.copy.Apply(now, events, f.copy.Revision())
		f.config.Deliver(f.copy.Items(now), true)
	}
	f.pace.Behind(now)
	if n.More {
		f.pace.Hurry(now)
	}
	f.wake()
}

// keep holds news that left a gap until this node's own call has filled it. A node whose
// answer takes longer than the span between two edits would else miss each next one while
// it reads the last, and read every one itself.
func (f *Follower) keep(now clock.Millis, n News) {
	if n.More {
		return // nobody can fill what they leave out
	}
	if len(f.kept) == mostKept {
		f.kept = slices.Delete(f.kept, 0, 1)
	}
	f.kept = append(f.kept, kept{n, now})
}

// hearKept takes in the news that were kept and that go on from what is known by now.
func (f *Follower) hearKept(now clock.Millis) {
	waiting := f.kept
	f.kept = nil
	for _, k := range waiting {
		if known := f.copy.Revision(); k.news.Since <= known && known < k.news.Revision {
			k.news.Age += now - k.at
			f.hear(now, k.news)
		}
	}
}
