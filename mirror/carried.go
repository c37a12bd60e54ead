package mirror

import (
	"maps"

	"fuchsiapick.example/fuchsiapick/clock"
)

// OlderFunc reports whether the content of an offered value is older than that of a held value of
// the same key.
type OlderFunc func(offered, held Item) bool

// removedRetention is how long removed values are remembered: longer than the age of a backup
// from which a store is restored within seconds.
const removedRetention = clock.Minute

// carried is what a restored store has lost and what is written again: until then it still
// counts. Without it, an upstream that had announced its shutdown, or had left, would be used
// again.
type carried struct {
	item Item
	// isGone means that the value was removed.
	isGone bool
}

// removedValue is a value that was removed.
type removedValue struct {
	item Item
	at   clock.Millis
}

// updateCarried decides, before an offered item is stored, whether what is known counts in its
// place.
func (c *Copy) updateCarried(offered Item) {
	if c.isOlder == nil {
		return
	}
	known, isKnown := c.carried[offered.Key]
	if !isKnown {
		known, isKnown = c.lostBy(offered)
	}
	if !isKnown || !c.isLost(offered, known) {
		delete(c.carried, offered.Key)
		return
	}
	c.carried[offered.Key] = known
}

// isLost reports whether an offered item is of a time before what is known. Whether a removed
// value that is there again was written again or comes from the backup can't be told until the
// next write: its writer may have written it before the removal without this node's knowledge.
func (c *Copy) isLost(offered Item, known carried) bool {
	if known.isGone {
		return offered.Revision <= c.eraStart
	}
	return c.isOlder(offered, known.item)
}

// lostBy returns what was known of a key in an earlier era than that of the offered item, or
// false if nothing was.
func (c *Copy) lostBy(offered Item) (carried, bool) {
	if held, ok := c.items[offered.Key]; ok {
		return carried{item: held}, EraOf(held.Revision) < EraOf(offered.Revision)
	}
	removed, ok := c.removed[offered.Key]
	return carried{item: removed.item, isGone: true}, ok && EraOf(removed.item.Revision) < EraOf(offered.Revision)
}

// startEra records the revision at which this copy learns of a restored store, if it is of a later
// era than the copy's.
func (c *Copy) startEra(revision uint64) {
	if EraOf(revision) > EraOf(c.eraStart) {
		c.eraStart = revision
	}
}

// effective returns the value of a key that counts, and false if there is none.
func (c *Copy) effective(key string) (Item, bool) {
	if known, ok := c.carried[key]; ok {
		return known.item, !known.isGone
	}
	item, ok := c.items[key]
	return item, ok
}

// rememberRemoved remembers a value that is removed.
func (c *Copy) rememberRemoved(now clock.Millis, key string) {
	if item, ok := c.effective(key); ok && c.isOlder != nil {
		c.removed[key] = removedValue{item, now}
	}
}

// forgetRemoved forgets the values that were removed more than removedRetention ago.
func (c *Copy) forgetRemoved(now clock.Millis) {
	maps.DeleteFunc(c.removed, func(_ string, r removedValue) bool { return now-r.at > removedRetention })
}
