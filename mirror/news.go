package mirror

import (
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// maxUpdateSize bounds, in bytes, the values that one node tells all others: a
// registration has 300, a configuration of the larger deployments 25,000, a fifth of
// it on the wire. Larger ones cost more than a call of each node.
const maxUpdateSize = 128 << 10

// largeValueSize is the size in bytes from which a value is told by an edit, and left out of
// news that would be larger than newsLimit: fifty registrations, and less than a
// configuration of a hundred routes.
const largeValueSize = 16 << 10

// maxEvents bounds the changes that are told at once: a frame's arrays have 4,096 entries
// at most, and a peer that can't read one learns nothing of it.
const maxEvents = 4000

// Update is what one node has learned from the store, for others: all that matters
// between two revisions.
type Update struct {
	// Since is the revision from which Events are complete, up to Revision.
	Since, Revision uint64
	Events          []Event
	// IsTruncated says that there are changes too large to be told, beside Events.
	IsTruncated bool
	// IsListDiff says that Events are the difference between two lists: complete for a node
	// that knows exactly what the store held at Since, and for no other.
	IsListDiff bool
	// IsUnavailable says that the store didn't answer; nothing else is told then.
	IsUnavailable bool
	// Age is how long ago Revision was the store's.
	Age clock.Millis
	// Bytes is the size of all values that the teller holds, told with More: a node that
	// is behind reads no answer that is larger.
	Bytes int
	// Digest sums up what the teller holds at Revision; 0 where it can't say.
	Digest uint64
}

// newUpdate sums up what a call has brought. It is made before the copy takes the
// events in, with which they are compared.
//
// A value that the copy holds as of a revision after since came by another node's news
// while the call was under way. Compared with that, a change is none, and news without
// it would claim to be complete: a node at since that heard only these would never
// learn of an upstream. Such changes are told, and so are all further ones of a key of
// which one is told.
func newUpdate(c *Copy, since, revision uint64, events []Event) Update {
	n := Update{Since: since, Revision: revision}
	told := map[string]struct{}{}
	for _, e := range events {
		old := c.items[e.Key]
		_, isTold := told[e.Key]
		if !e.Gone && !isTold && old.Revision <= since && c.hash(e.Item) == c.hashes[e.Key] {
			continue
		}
		told[e.Key] = struct{}{}
		n.Events = append(n.Events, e)
	}
	encodeEdits(c, n.Events)
	if sizeOf(n.Events) > maxUpdateSize {
		n.Events, n.IsTruncated = withoutLarge(n.Events), true
	}
	if len(n.Events) > maxEvents {
		n.Events, n.IsTruncated = nil, true
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

// withoutLarge leaves out the large values: an upstream that leaves must not wait for a
// configuration that takes a second to read.
func withoutLarge(events []Event) []Event {
	isLarge := func(e Event) bool { return e.Edit != nil || len(e.Value) >= largeValueSize }
	small := slices.DeleteFunc(events, isLarge)
	if sizeOf(small) > maxUpdateSize {
		return nil
	}
	return small
}

// newListUpdate sums up what a list has brought in place of a watch's answer, made like newsOf
// before the copy takes the list in: none of those who read so would else tell others what
// made it so large. A list doesn't show a value that came and went since, which a node
// that hears it may hold, unless that knows nothing later than Since, and the copy was exact
// then.
func newListUpdate(c *Copy, items []Item, revision uint64) Update {
	since := c.Revision()
	if since == 0 {
		return Update{}
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
		_, isVanished := c.expiring[key]
		if !isListed && !isVanished && c.items[key].Revision <= revision {
			events = append(events, Event{Item: Item{Key: key, Revision: revision}, Gone: true})
		}
	}
	n := newUpdate(c, since, revision, events)
	n.IsListDiff = true
	n.IsTruncated = n.IsTruncated || !c.IsExact() // a value that the copy lacks is not told as gone
	return n
}

// publish tells other nodes what a call has brought, unless that was a list in which nothing
// was looked for.
func (f *Follower) publish(n Update, now, asked clock.Millis) {
	if f.config.Publish == nil || n.Since == 0 {
		return
	}
	n.Age = now - asked
	f.config.Publish(n)
}

// confirmWindow is how long after a call of its own a node takes another's word that a
// value is gone: with removals one after the other, as in a release, each node makes
// a call in so long.
const confirmWindow = 3 * clock.Second

// trustedEvents returns the changes that are taken on a peer's word. A value that was written
// by the revision known here is known, or gone since. A registration lapses also where
// its upstream lives and is only cut off from the store, with this node beside it or
// near it: the store must have told this node itself that it is gone. A node that is
// cut off as well would else lose what it alone can reach.
func (f *Follower) trustedEvents(now clock.Millis, n Update) []Event {
	events := newerThan(n.Events, f.copy.Revision())
	isGone := func(e Event) bool { return e.Gone && !f.isExpectedRemoval(e.Key) }
	if now-f.confirmedAt <= confirmWindow || !slices.ContainsFunc(events, isGone) {
		return events
	}
	f.unconfirmedRevision = max(f.unconfirmedRevision, n.Revision)
	f.schedule.PollSoon(now)
	f.wake()
	return slices.DeleteFunc(events, isGone)
}

// newerThan leaves out the values that were written by a revision that is known.
func newerThan(events []Event, known uint64) []Event {
	isKnown := func(e Event) bool { return !e.Gone && e.Revision <= known }
	return slices.DeleteFunc(slices.Clone(events), isKnown)
}

// isExpectedRemoval reports whether the removal of a value was expected.
func (f *Follower) isExpectedRemoval(key string) bool {
	old, ok := f.copy.items[key]
	return !ok || (f.config.ExpectedRemoval != nil && f.config.ExpectedRemoval(old))
}

// maxPending bounds the news that are kept until a call is answered: a call of a second, and
// an edit each 0.4 s, each told by some peers.
const maxPending = 16

// pendingUpdate is news that left a gap to what was known at an instant.
type pendingUpdate struct {
	update Update
	at     clock.Millis
}

// ReceiveUpdate takes in what another node has learned.
func (f *Follower) ReceiveUpdate(n Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if n.IsUnavailable {
		f.schedule.Postpone(now)
		return
	}
	f.receive(now, n)
	f.logLag()
}

// receive takes in news that tell changes. Those that leave a gap to what is known are kept.
func (f *Follower) receive(now clock.Millis, told Update) {
	n, known := told, f.copy.Revision()
	events, isWhole := decodeEdits(f.copy, newerThan(n.Events, known))
	n.Events = events
	if known < n.Revision {
		n.IsTruncated = n.IsTruncated || !isWhole
		f.lag.recordUpdate(now, n.Revision, n.IsTruncated)
		f.peerBytes = max(f.peerBytes, n.Bytes)
	}
	if known < n.Since || (known < n.Revision && (n.IsTruncated || !f.continuesCopy(&n))) {
		f.receivePartial(now, n)
		f.addPending(now, told)
		return
	}
	if f.schedule.Failures() > 0 {
		f.copy.StoreReturned(now)
	}
	f.copy.Apply(now, f.trustedEvents(now, n), n.Revision)
	f.revision.Store(f.copy.Revision())
	f.stats.UpdatesReceived++
	f.config.Deliver(f.copy.Items(now), true) // a grace may be over, without any event
	f.schedule.Refreshed(now - n.Age)
	f.compareDigest(now, &n)
}

// continuesCopy reports whether news of a list go on from exactly what is known here.
func (f *Follower) continuesCopy(n *Update) bool {
	_, isSettled := f.copy.Digest()
	return !n.IsListDiff || (n.Since == f.copy.Revision() && isSettled)
}

// receivePartial takes in news that leave a gap to what is known here: this node's own call fills
// it. What they tell is taken over all the same, but nothing is known to be complete.
func (f *Follower) receivePartial(now clock.Millis, n Update) {
	if events := f.trustedEvents(now, n); f.copy.Revision() > 0 && len(events) > 0 {
		f.copy.Apply(now, events, f.copy.Revision())
		f.config.Deliver(f.copy.Items(now), true)
	}
	f.schedule.MissedChanges(now)
	if n.IsTruncated {
		f.schedule.PollSoon(now)
	}
	f.wake()
}

// addPending holds news that left a gap until this node's own call has filled it. A node whose
// answer takes longer than the span between two edits would else miss each next one while
// it reads the last, and read every one itself.
func (f *Follower) addPending(now clock.Millis, n Update) {
	if n.IsTruncated {
		return // nobody can fill what they leave out
	}
	if len(f.pendingUpdates) == maxPending {
		f.pendingUpdates = slices.Delete(f.pendingUpdates, 0, 1)
	}
	f.pendingUpdates = append(f.pendingUpdates, pendingUpdate{n, now})
}

// receivePending takes in the news that were kept and that go on from what is known by now.
func (f *Follower) receivePending(now clock.Millis) {
	waiting := f.pendingUpdates
	f.pendingUpdates = nil
	for _, k := range waiting {
		if known := f.copy.Revision(); k.update.Since <= known && known < k.update.Revision {
			k.update.Age += now - k.at
			f.receive(now, k.update)
		}
	}
}
