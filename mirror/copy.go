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

// HashFunc sums up what of a value matters to its readers, the key included: a change
// that leaves it as it was needs no telling. 0 stands for a value that matters to
// nobody.
type HashFunc func(item Item) uint64

// Copy is the state of the store as this process knows it. It is not safe for
// concurrent use.
type Copy struct {
	hash  HashFunc
	items map[string]Item
	// hashes are those of the items.
	hashes map[string]uint64
	// expiring holds the instants at which values that are gone cease to count.
	expiring map[string]clock.Millis
	// tombstones holds the revisions of removals. An answer that was on its way while
	// news of a removal came would else bring the value back, and nothing would tell
	// its removal again.
	tombstones map[string]uint64
	revision   uint64
	// maxRevision is the last revision of any value, which is ahead of revision after a
	// list: its pages aren't a snapshot.
	maxRevision uint64
	// bytes are those of all values and keys.
	bytes int
	// mayLackRemovals says that the last list may lack values that went while its pages were read.
	mayLackRemovals bool
	// digest is the exclusive or of the marks of all values that are not gone.
	digest uint64
	// graceEnd is the end of the grace after the store's last return.
	graceEnd clock.Millis
}

// emptyDigest is the digest of a copy without values: that of none stands for one that
// isn't told.
const emptyDigest = 1

// NewCopy returns an empty copy. Without a mark all of a value matters.
func NewCopy(mark HashFunc) *Copy {
	if mark == nil {
		mark = hashWhole
	}
	return &Copy{
		hash:       mark,
		items:      map[string]Item{},
		hashes:     map[string]uint64{},
		expiring:   map[string]clock.Millis{},
		tombstones: map[string]uint64{},
		digest:     emptyDigest,
	}
}

// hashWhole is the mark of a value of which all matters.
func hashWhole(item Item) uint64 {
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

// StoreReturned takes in that the store answers again after it was away.
func (c *Copy) StoreReturned(now clock.Millis) {
	c.graceEnd = now + returnGrace
}

// Digest sums up the values that are not gone, as far as they matter. Two copies at the
// same revision have the same one. It returns false where the copy holds values that
// are newer than its revision.
func (c *Copy) Digest() (uint64, bool) {
	return c.digest, c.maxRevision <= c.revision
}

// WatchedThrough takes in that a watch of this process has told all changes up to a revision: none
// that a list before it has missed is left.
func (c *Copy) WatchedThrough(revision uint64) {
	if revision > c.revision {
		c.mayLackRemovals = false
	}
}

// IsExact reports whether the copy is what the store held at its revision: no value is newer,
// and none is gone by a later change.
func (c *Copy) IsExact() bool {
	if c.mayLackRemovals || c.maxRevision > c.revision {
		return false
	}
	for _, at := range c.tombstones {
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
	c.revision, c.mayLackRemovals = revision, !all.IsSnapshot
	c.maxRevision = revision
	for _, item := range c.items {
		c.maxRevision = max(c.maxRevision, item.Revision)
	}
}

// CountWrong counts the values in which the copy is shown wrong by a list, which it has not
// taken in yet: those that it should hold already, by its revision, and doesn't, and,
// where nothing has changed since, those that are gone or another.
func (c *Copy) CountWrong(items []Item, revision uint64) int {
	wrong := 0
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[item.Key] = struct{}{}
		held, isHeld := c.items[item.Key]
		_, isRemoved := c.tombstones[item.Key]
		isMissed := item.Created <= c.revision && !isHeld && !isRemoved
		isOther := isHeld && item.Revision <= c.revision && held.Revision < item.Revision && c.hashes[item.Key] != c.hash(item)
		if isMissed || isOther {
			wrong++
		}
	}
	for key := range c.items {
		_, isListed := listed[key]
		_, isVanished := c.expiring[key]
		if !isListed && !isVanished && revision == c.revision {
			wrong++
		}
	}
	return wrong
}

// PruneTombstones takes in that a call of this process was answered as of a revision: no
// later answer tells of changes up to it.
func (c *Copy) PruneTombstones(revision uint64) {
	maps.DeleteFunc(c.tombstones, func(_ string, at uint64) bool { return at <= revision })
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
	if (ok && old.Revision > item.Revision) || c.tombstones[item.Key] > item.Revision {
		return
	}
	_, isVanished := c.expiring[item.Key]
	switch {
	case !ok, isVanished:
		c.hashes[item.Key] = c.hash(item)
		c.digest ^= c.hashes[item.Key]
	case old.Revision != item.Revision:
		c.digest ^= c.hashes[item.Key]
		c.hashes[item.Key] = c.hash(item)
		c.digest ^= c.hashes[item.Key]
	}
	c.bytes += item.size() - old.size()
	c.items[item.Key] = item
	c.maxRevision = max(c.maxRevision, item.Revision)
	delete(c.expiring, item.Key)
	delete(c.tombstones, item.Key)
}

// remove takes a value out at a revision, or, in the grace after the store's return,
// lets it count until that is over.
func (c *Copy) remove(now clock.Millis, key string, revision uint64) {
	c.tombstones[key] = max(c.tombstones[key], revision)
	if _, ok := c.expiring[key]; ok {
		return
	}
	c.digest ^= c.hashes[key]
	if _, ok := c.items[key]; ok && now < c.graceEnd {
		c.expiring[key] = c.graceEnd
		return
	}
	c.drop(key)
}

func (c *Copy) drop(key string) {
	old := c.items[key]
	c.bytes -= old.size()
	delete(c.items, key)
	delete(c.hashes, key)
}

// Items returns what counts now, by key.
func (c *Copy) Items(now clock.Millis) []Item {
	for key, end := range c.expiring {
		if now >= end {
			delete(c.expiring, key)
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
