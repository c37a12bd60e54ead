package mirror

import (
	"fuchsiapick.example/fuchsiapick/clock"
)

// newsLimit bounds, in bytes, the values that one node tells all others: a
// registration has 300, a configuration 5,000 and more, which to each of 95 nodes
// would cost more than a call of its own.
const newsLimit = 2 << 10

// News is what one node has learned from the store, for others: all that matters
// between two revisions.
type News struct {
	// Since is the revision from which Events are complete, up to Revision.
	Since, Revision uint64
	Events          []Event
	// More says that there are changes too large to be told.
	More bool
	// Age is how long ago Revision was the store's.
	Age clock.Millis
	// Grace is how much longer values that vanish still count, after an absence of
	// the store.
	Grace clock.Millis
}

// newsOf sums up what a call has brought. It is made before the copy takes the
// events in, with which they are compared.
func newsOf(c *Copy, since, revision uint64, events []Event, matters func(old Item, e Event) bool) News {
	n := News{Since: since, Revision: revision}
	size := 0
	for _, e := range events {
		old := c.items[e.Key]
		if e.Gone || matters(old, e) {
			n.Events = append(n.Events, e)
			size += len(e.Value)
		}
	}
	if size > newsLimit {
		n.Events, n.More = nil, true
	}
	return n
}

// tell tells other nodes what a call has brought, unless that was a list: what has
// changed isn't known then.
func (f *Follower) tell(n News, now, asked clock.Millis) {
	if f.config.Tell == nil || n.Since == 0 {
		return
	}
	n.Age = now - asked
	n.Grace = max(f.copy.heldUntil-now, 0)
	f.config.Tell(n)
}

// Hear takes in what another node has learned.
func (f *Follower) Hear(n News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	known := f.copy.Revision()
	switch {
	case known == 0 || known < n.Since:
		return // there is a gap: this node's own call fills it
	case n.More && known < n.Revision:
		f.pace.Hurry(now)
		f.wake()
		return
	}
	if n.Grace > 0 {
		f.copy.heldUntil = max(f.copy.heldUntil, now+n.Grace)
	}
	f.copy.Apply(now, n.Events, n.Revision)
	f.revision.Store(f.copy.Revision())
	f.config.Deliver(f.copy.Items(now)) // a grace may be over, without any event
	f.pace.Known(now - n.Age)
}
