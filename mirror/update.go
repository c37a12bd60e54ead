package mirror

import (
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// maxUpdateSize limits, in bytes, the values that one node sends to all others. A
// registration has 300 bytes, a configuration of the larger deployments 25,000, a fifth
// of that on the wire. To send larger updates costs more than a call of the store by each
// node.
const maxUpdateSize = 128 << 10

// largeValueSize is the size in bytes from which a value is sent as an edit, and left out
// of an update that would exceed maxUpdateSize. It is the size of fifty registrations,
// and less than that of a configuration with a hundred routes.
const largeValueSize = 16 << 10

// maxEvents limits the changes in one update: an array in a frame has at most 4,096
// entries, and a peer that can't decode a frame learns nothing from it.
const maxEvents = 4000

// Update is what one node has read from the store and sends to others: all relevant
// changes between two revisions.
type Update struct {
	// Since is the revision from which Events are complete, up to Revision.
	Since, Revision uint64
	Events          []Event
	// IsTruncated is true if there are changes besides Events that are too large to be
	// sent.
	IsTruncated bool
	// IsListDiff is true if Events are the difference between the copy and a list. They
	// are complete only for a node that knows exactly what the store held at Since.
	IsListDiff bool
	// IsUnavailable is true if the store didn't answer; the other fields are empty then.
	IsUnavailable bool
	// CurrentAt is a time at which the store was at Revision, or didn't answer, on the clock of the
	// process that holds the update. It is never too late: one that isn't known exactly is the
	// earliest possible.
	CurrentAt clock.Millis
	// Bytes is the size of all values that the sender holds, set with IsTruncated. A node
	// that is behind reads a list rather than a larger answer to a watch.
	Bytes int
	// Digest is the digest of the sender's copy at Revision; 0 if the copy doesn't match
	// that revision exactly.
	Digest uint64
}

// newUpdate returns the changes that a call has returned. It must be called before the
// copy applies the events, with which they are compared.
//
// A value that the copy holds at a revision after since arrived in another node's update
// during the call. Compared with that value, the event is no change. An update without
// the event would claim to be complete, and a node at since that received only this
// update would never learn of an upstream. Such events are included, as are all further
// events of a key once one of them is.
func newUpdate(c *Copy, since, revision uint64, events []Event) Update {
	u := Update{Since: since, Revision: revision}
	included := map[string]struct{}{}
	for _, e := range events {
		old := c.items[e.Key]
		_, isIncluded := included[e.Key]
		if !e.Gone && !isIncluded && !c.endsException(e.Key) && old.Revision <= since && c.hash(e.Item) == c.hashes[e.Key] {
			continue
		}
		included[e.Key] = struct{}{}
		u.Events = append(u.Events, e)
	}
	encodeEdits(c, u.Events)
	if sizeOf(u.Events) > maxUpdateSize {
		u.Events, u.IsTruncated = withoutLarge(u.Events), true
	}
	if len(u.Events) > maxEvents {
		u.Events, u.IsTruncated = nil, true
	}
	return u
}

// endsException reports whether a write of a key matters although it changes nothing: the value
// counts only until the grace period ends, or something else counts in its place.
func (c *Copy) endsException(key string) bool {
	_, isExpiring := c.expiring[key]
	_, isCarried := c.carried[key]
	return isExpiring || isCarried
}

// sizeOf returns the number of bytes of text in the events.
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

// withoutLarge leaves out the large values, because the removal of an upstream must not
// wait for a configuration that takes a second to read. It returns nil if the rest still
// exceeds maxUpdateSize.
func withoutLarge(events []Event) []Event {
	isLarge := func(e Event) bool { return e.Edit != nil || len(e.Value) >= largeValueSize }
	small := slices.DeleteFunc(events, isLarge)
	if sizeOf(small) > maxUpdateSize {
		return nil
	}
	return small
}

// newListUpdate returns the changes that a list shows compared with the copy. Like
// newUpdate, it must be called before the copy applies the list. It serves when a watch's
// answer is too large: otherwise none of the nodes that list for this reason would
// publish the changes that made the answer so large.
//
// A list doesn't show a value that was added and removed since the copy's revision, but a
// node that receives the update may hold that value. The update is therefore complete
// only for a node that knows nothing later than Since, and only if this copy was exact
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
		_, isExpiring := c.expiring[key]
		if !isListed && !isExpiring && c.items[key].Revision <= revision {
			events = append(events, Event{Item: Item{Key: key, Revision: revision}, Gone: true})
		}
	}
	u := newUpdate(c, since, revision, events)
	u.IsListDiff = true
	u.IsTruncated = u.IsTruncated || !c.IsExact() // no removal is sent for a value that the copy lacks
	return u
}

// publish sends the changes that a call has returned to other nodes, unless the update is
// empty, as after the first list or an audit.
func (f *Follower) publish(u Update, startedAt clock.Millis) {
	if f.config.Publish == nil || u.Since == 0 {
		return
	}
	u.CurrentAt = startedAt
	f.config.Publish(u)
}

// newerThan leaves out the values that were written up to the known revision.
func newerThan(events []Event, known uint64) []Event {
	isKnown := func(e Event) bool { return !e.Gone && e.Revision <= known }
	return slices.DeleteFunc(slices.Clone(events), isKnown)
}

// isExpectedRemoval reports whether the removal of a value was expected. It is true for a
// value that this node doesn't hold.
func (f *Follower) isExpectedRemoval(key string) bool {
	old, ok := f.copy.effective(key)
	return !ok || (f.config.ExpectedRemoval != nil && f.config.ExpectedRemoval(old))
}

// maxPending limits the updates that are retained until a call is answered: a call takes
// up to a second, there is an edit every 0.4 s, and several peers send each edit.
const maxPending = 16

// minFreshness is by how much an update without changes must be more recent than the last one to
// be news. It keeps nodes that forward updates to each other from sending the same one on and on.
const minFreshness = 100 * clock.Millis(1)

// ReceiveUpdate applies an update from another node. It reports whether the update is news, which
// this node forwards: it shows a later state of the store than all before.
func (f *Follower) ReceiveUpdate(u Update) (isNews bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if u.IsUnavailable {
		f.schedule.Postpone(u.CurrentAt)
		return false
	}
	isNews = f.isNews(&u)
	f.receive(now, u)
	f.logLag()
	return isNews
}

// isNews reports whether an update shows a later state of the store than all before, and records
// it.
func (f *Follower) isNews(u *Update) bool {
	latest := max(f.forwardedRevision, f.copy.Revision())
	isNews := u.Revision > latest || (u.Revision == latest && u.CurrentAt >= max(f.forwardedAt, f.schedule.currentAt)+minFreshness)
	if isNews {
		f.forwardedRevision, f.forwardedAt = u.Revision, u.CurrentAt
	}
	return isNews
}

// receive applies an update with changes. Updates that leave a gap after the known
// revision are retained until the gap is filled.
func (f *Follower) receive(now clock.Millis, received Update) {
	u, known := received, f.copy.Revision()
	if EraOf(u.Revision) < EraOf(known) {
		return // the sender hasn't read the store since it was restored, or knows no eras
	}
	f.recordStoreAnswer(u.CurrentAt)
	events, isComplete := decodeEdits(f.copy, newerThan(u.Events, known))
	u.Events = events
	if known < u.Revision {
		u.IsTruncated = u.IsTruncated || !isComplete
		f.lag.recordUpdate(now, u.Revision, u.IsTruncated)
		f.peerBytes = max(f.peerBytes, u.Bytes)
	}
	if known < u.Since || (known < u.Revision && (u.IsTruncated || !f.continuesCopy(&u))) {
		f.receivePartial(now, u)
		f.addPending(received)
		return
	}
	f.noteRestore(now, u.Revision)
	f.applyFromPeer(now, f.trustedEvents(now, u), u.Revision)
	f.stats.UpdatesReceived++
	f.awaitsReaders = false
	f.history.record(received)
	if len(f.copy.carried) == 0 { // peers don't send the writes that end what is carried here alone
		f.schedule.Refreshed(u.CurrentAt)
	}
	f.compareDigest(now, &u)
}

// continuesCopy reports whether an update made from a list continues exactly from what is
// known here.
func (f *Follower) continuesCopy(u *Update) bool {
	_, isSettled := f.copy.Digest()
	return !u.IsListDiff || (u.Since == f.copy.Revision() && isSettled)
}

// receivePartial applies an update that leaves a gap after the known revision; a call of
// this node fills the gap. The changes are applied, but the copy's revision stays, as it
// is not known to be complete.
func (f *Follower) receivePartial(now clock.Millis, u Update) {
	f.copy.startEra(u.Revision)
	if events := f.trustedEvents(now, u); f.copy.Revision() > 0 && len(events) > 0 {
		f.applyFromPeer(now, events, f.copy.Revision())
	}
	f.schedule.MissedChanges(now, u.CurrentAt)
	if u.IsTruncated {
		f.pollSoon(now, CauseLarge)
	}
	f.wake()
}

// addPending retains an update that left a gap until this node's own call has filled the
// gap. Without it, a node whose calls take longer than the time between two edits would
// miss the next edit during each call, and read every edit itself.
func (f *Follower) addPending(u Update) {
	if u.IsTruncated {
		return // the missing changes can only come from the store
	}
	if len(f.pendingUpdates) == maxPending {
		f.pendingUpdates = slices.Delete(f.pendingUpdates, 0, 1)
	}
	f.pendingUpdates = append(f.pendingUpdates, u)
}

// receivePending applies the retained updates that continue from what is known now.
func (f *Follower) receivePending(now clock.Millis) {
	pending := f.pendingUpdates
	f.pendingUpdates = nil
	for _, u := range pending {
		if known := f.copy.Revision(); u.Since <= known && known < u.Revision {
			f.receive(now, u)
		}
	}
}
