package mirror

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// returnGrace is how long after the store's return a value that vanished during
// its absence still counts: leases of live writers lapse while the store is
// away, and these write again within two seconds of its return.
const returnGrace = 2 * clock.Second

// Mark sums up what of a value matters to its readers, the key included: a change
// that leaves it as it was needs no telling. 0 stands for a value that matters to
// nobody.
type Mark func(item Item) uint64

// Copy is the state of the store as this process knows it. It is not safe for
// concurrent use.
type Copy struct {
	mark  Mark
	items map[string]Item
	// marks are those of the items.
	marks map[string]uint64
	// vanished holds the instants at which values that are gone cease to count.
	vanished map[string]clock.Millis
	// removed holds the revisions of removals. An answer that was on its way while
	// news of a removal came would else bring the value back, and nothing would tell
	// its removal again.
	removed  map[string]uint64
	revision uint64
	// newest is the last revision of any value, which is ahead of revision after a
	// list: its pages aren't a snapshot.
	newest uint64
	// bytes are those of all values and keys.
	bytes int
	// isLoose says that the last list may lack values that went while its pages were read.
	isLoose bool
	// sum is the exclusive or of the marks of all values that are not gone.
	sum uint64
	// heldUntil is the end of the grace after the store's last return.
	heldUntil clock.Millis
}

// emptySum is the digest of a copy without values: that of none stands for one that
// isn't told.
const emptySum = 1

// NewCopy returns an empty copy. Without a mark all of a value matters.
func NewCopy(mark Mark) *Copy {
	if mark == nil {
		mark = markWhole
	}
	return &Copy{
		mark:     mark,
		items:    map[string]Item{},
		marks:    map[string]uint64{},
		vanished: map[string]clock.Millis{},
		removed:  map[string]uint64{},
		sum:      emptySum,
	}
}

// markWhole is the mark of a value of which all matters.
func markWhole(item Item) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s\x00%d\x00%s", item.Key, item.Created, item.Value) // a hash's Write never fails
	return max(hash.Sum64(), 1)
}

// Revision is where the next watch begins; 0 before the first list.
func (c *Copy) Revision() uint64 {
	return c.revision
}

// Bytes is the size of all values, with their keys.
func (c *Copy) Bytes() int {
	return c.bytes
}

// Returned takes in that the store answers again after it was away.
func (c *Copy) Returned(now clock.Millis) {
	c.heldUntil = now + returnGrace
}

// Digest sums up the values that are not gone, as far as they matter. Two copies at the
// same revision have the same one. It returns false where the copy holds values that
// are newer than its revision.
func (c *Copy) Digest() (uint64, bool) {
	return c.sum, c.newest <= c.revision
}

// Watched takes in that a watch of this process has told all changes up to a revision: none
// that a list before it has missed is left.
func (c *Copy) Watched(revision uint64) {
	if revision > c.revision {
		c.isLoose = false
	}
}

// Exact reports whether the copy is what the store held at its revision: no value is newer,
// and none is gone by a later change.
func (c *Copy) Exact() bool {
	if c.isLoose || c.newest > c.revision {
		return false
	}
	for _, at := range c.removed {
		if at > c.revision {
			return false
		}
	}
	return true
}

// Reset takes in a whole list. What is known to be newer than the list stays.
func (c *Copy) Reset(now clock.Millis, all Listing) {
	items, revision := all.Items, all.Revision
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[item.Key] = struct{}{}
		c.put(item)
	}
	for key, item := range c.items {
		if _, ok := listed[key]; !ok && item.Revision <= revision {
			c.remove(now, key, revision)
		}
	}
	c.revision, c.isLoose = revision, !all.IsSnapshot
	c.newest = revision
	for _, item := range c.items {
		c.newest = max(c.newest, item.Revision)
	}
}

// Wrong counts the values in which the copy is shown wrong by a list, which it has not
// taken in yet: those that it should hold already, by its revision, and doesn't, and,
// where nothing has changed since, those that are gone or another.
func (c *Copy) Wrong(items []Item, revision uint64) int {
	wrong := 0
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[item.Key] = struct{}{}
		held, isHeld := c.items[item.Key]
		_, isRemoved := c.removed[item.Key]
		isMissed := item.Created <= c.revision && !isHeld && !isRemoved
		isOther := isHeld && item.Revision <= c.revision && held.Revision < item.Revision && c.marks[item.Key] != c.mark(item)
		if isMissed || isOther {
			wrong++
		}
	}
	for key := range c.items {
		_, isListed := listed[key]
		_, isVanished := c.vanished[key]
		if !isListed && !isVanished && revision == c.revision {
			wrong++
		}
	}
	return wrong
}

// Confirmed takes in that a call of this process was answered as of a revision: no
// later answer tells of changes up to it.
func (c *Copy) Confirmed(revision uint64) {
	maps.DeleteFunc(c.removed, func(_ string, at uint64) bool { return at <= revision })
}

// Apply takes in changes in their order.
func (c *Copy) Apply(now clock.Millis, events []Event, revision uint64) {
	for _, e := range events {
		switch {
		case !e.Gone:
			c.put(e.Item)
		case e.Revision == 0 || e.Revision > c.items[e.Key].Revision:
			c.remove(now, e.Key, max(e.Revision, c.items[e.Key].Revision))
		}
	}
	c.revision = max(c.revision, revision)
}

// put keeps the newer of two values: the pages of a list aren't a snapshot, and
// a watch that goes on from the first page's revision tells changes again.
func (c *Copy) put(item Item) {
	old, ok := c.items[item.Key]
	if (ok && old.Revision > item.Revision) || c.removed[item.Key] > item.Revision {
		return
	}
	_, isVanished := c.vanished[item.Key]
	switch {
	case !ok, isVanished:
		c.marks[item.Key] = c.mark(item)
		c.sum ^= c.marks[item.Key]
	case old.Revision != item.Revision:
		c.sum ^= c.marks[item.Key]
		c.marks[item.Key] = c.mark(item)
		c.sum ^= c.marks[item.Key]
	}
	c.bytes += item.size() - old.size()
	c.items[item.Key] = item
	c.newest = max(c.newest, item.Revision)
	delete(c.vanished, item.Key)
	delete(c.removed, item.Key)
}

// remove takes a value out at a revision, or, in the grace after the store's return,
// lets it count until that is over.
func (c *Copy) remove(now clock.Millis, key string, revision uint64) {
	c.removed[key] = max(c.removed[key], revision)
	if _, ok := c.vanished[key]; ok {
		return
	}
	c.sum ^= c.marks[key]
	if _, ok := c.items[key]; ok && now < c.heldUntil {
		c.vanished[key] = c.heldUntil
		return
	}
	c.drop(key)
}

func (c *Copy) drop(key string) {
	old := c.items[key]
	c.bytes -= old.size()
	delete(c.items, key)
	delete(c.marks, key)
}

// Items returns what counts now, by key.
func (c *Copy) Items(now clock.Millis) []Item {
	for key, end := range c.vanished {
		if now >= end {
			delete(c.vanished, key)
			c.drop(key)
		}
	}
	return slices.SortedFunc(maps.Values(c.items), func(a, b Item) int {
		switch {
		case a.Key < b.Key:
			return -1
		case a.Key > b.Key:
			return 1
		default:
			return 0
		}
	})
}
