package mirror

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// returnGrace is how long after the store's return a value that was removed during the
// outage still counts: leases of live writers expire while the store is unavailable, and
// the writers register again within two seconds of its return.
const returnGrace = 2 * clock.Second

// HashFunc returns a hash of the key and of those parts of a value that matter to its
// readers. A change that leaves the hash as it was is not published to other nodes. 0
// means that the value matters to no reader.
type HashFunc func(item Item) uint64

// Copy is the state of the store as this process knows it. It is not safe for concurrent
// use.
type Copy struct {
	hash  HashFunc
	items map[string]Item
	// hashes holds the hash of each item, by key.
	hashes map[string]uint64
	// expiring holds, by key, the time at which a removed value ceases to count.
	expiring map[string]clock.Millis
	// tombstones holds the revisions of removals, by key. Without it, an answer that is
	// in transit while the update with a removal arrives would restore the value, and the
	// removal would not be announced again.
	tombstones map[string]uint64
	// isOlder compares the content of values; nil if it can't be compared.
	isOlder OlderFunc
	// carried holds, by key, what counts in place of what a restored store has. removed
	// holds the values that were removed lately.
	carried map[string]carried
	removed map[string]removedValue
	// eraStart is the revision at which this copy learned of the last restore of the store.
	eraStart uint64
	revision uint64
	// maxRevision is the highest revision of any value. It exceeds revision after a list
	// whose pages are not a snapshot.
	maxRevision uint64
	// bytes is the size of all values and keys.
	bytes int
	// mayLackRemovals is true if the last list may contain values that were removed while
	// its pages were read.
	mayLackRemovals bool
	// digest is the exclusive or of the hashes of all values that are not removed.
	digest uint64
	// ignored counts the values that were offered and are older than those held.
	ignored uint64
	// graceEnd is the end of the grace period after the store's last return.
	graceEnd clock.Millis
}

// emptyDigest is the digest of a copy without values. It is not 0, because a digest of 0
// means that a node publishes none.
const emptyDigest = 1

// NewCopy returns an empty copy. If hash is nil, the whole value matters. If isOlder is nil, the
// values of a restored store always count, even if later ones were known.
func NewCopy(hash HashFunc, isOlder OlderFunc) *Copy {
	if hash == nil {
		hash = hashWhole
	}
	return &Copy{
		hash:       hash,
		items:      map[string]Item{},
		hashes:     map[string]uint64{},
		expiring:   map[string]clock.Millis{},
		tombstones: map[string]uint64{},
		isOlder:    isOlder,
		carried:    map[string]carried{},
		removed:    map[string]removedValue{},
		digest:     emptyDigest,
	}
}

// hashWhole is the HashFunc that covers all of a value.
func hashWhole(item Item) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s\x00%d\x00%s", item.Key, item.Created, item.Value) // a hash's Write never fails
	return max(hash.Sum64(), 1)
}

// Revision returns the revision at which the next watch starts; 0 before the first list.
func (c *Copy) Revision() uint64 {
	return c.revision
}

// Bytes returns the size of all values with their keys.
func (c *Copy) Bytes() int {
	return c.bytes
}

// StoreReturned records that the store returned from an outage at the given time at the latest. It
// returns the end of the grace period, which starts then.
func (c *Copy) StoreReturned(at clock.Millis) (graceEnd clock.Millis) {
	c.graceEnd = max(c.graceEnd, at+returnGrace)
	return c.graceEnd
}

// NextExpiry returns the time at which a removed value ceases to count, and false if there is none.
func (c *Copy) NextExpiry() (clock.Millis, bool) {
	if len(c.expiring) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Values(c.expiring))), true
}

// Digest returns a hash over the relevant parts of all values that are not removed. Two
// correct copies at the same revision have the same digest. It returns false if the copy
// contains values that are newer than its revision.
func (c *Copy) Digest() (uint64, bool) {
	return c.digest, c.maxRevision <= c.revision
}

// WatchedThrough records that a watch of this process has returned all changes up to a
// revision, which includes the removals that an earlier list missed.
func (c *Copy) WatchedThrough(revision uint64) {
	if revision > c.revision {
		c.mayLackRemovals = false
	}
}

// IsExact reports whether the copy equals the store's state at the copy's revision: no
// value is newer, and none was removed by a later change.
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

// Reset replaces the copy with a list. Values and removals that are newer than the list
// stay.
func (c *Copy) Reset(now clock.Millis, list Listing) {
	items, revision := list.Items, list.Revision
	c.startEra(revision)
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
	c.revision, c.mayLackRemovals = revision, !list.IsSnapshot
	c.maxRevision = revision
	for _, item := range c.items {
		c.maxRevision = max(c.maxRevision, item.Revision)
	}
}

// CountWrong returns the number of values for which a list of the copy's era shows that the copy
// is wrong. It is called before the list is applied. It counts the values that the copy lacks or
// holds in an older state although the copy's revision covers them. If the store hasn't
// changed since that revision, it also counts the values that are no longer in the store.
func (c *Copy) CountWrong(items []Item, revision uint64) int {
	wrong := 0
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[item.Key] = struct{}{}
		current, isKnown := c.items[item.Key]
		_, isRemoved := c.tombstones[item.Key]
		isMissing := item.Created <= StoreRevision(c.revision) && !isKnown && !isRemoved && c.hash(item) != 0
		isOutdated := isKnown && item.Revision <= c.revision && current.Revision < item.Revision && c.hashes[item.Key] != c.hash(item)
		if isMissing || isOutdated {
			wrong++
		}
	}
	for key := range c.items {
		_, isListed := listed[key]
		_, isExpiring := c.expiring[key]
		if !isListed && !isExpiring && revision == c.revision {
			wrong++
		}
	}
	return wrong
}

// PruneTombstones drops the tombstones up to a revision as of which a call of this
// process was answered: no later answer contains changes up to it.
func (c *Copy) PruneTombstones(revision uint64) {
	maps.DeleteFunc(c.tombstones, func(_ string, at uint64) bool { return at <= revision })
}

// Apply applies changes in order.
func (c *Copy) Apply(now clock.Millis, events []Event, revision uint64) {
	c.startEra(revision)
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

// put stores an item unless the copy holds a newer one: the pages of a list are not a
// snapshot, and a watch that continues from the first page's revision returns some
// changes again.
func (c *Copy) put(item Item) {
	old, ok := c.items[item.Key]
	if (ok && old.Revision > item.Revision) || c.tombstones[item.Key] > item.Revision {
		c.ignored++
		return
	}
	c.updateCarried(item)
	delete(c.removed, item.Key)
	_, isExpiring := c.expiring[item.Key]
	switch {
	case !ok, isExpiring:
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

// remove removes a value at a revision. During the grace period after the store's return,
// the value still counts until the period ends.
func (c *Copy) remove(now clock.Millis, key string, revision uint64) {
	c.tombstones[key] = max(c.tombstones[key], revision)
	if _, ok := c.expiring[key]; ok {
		return
	}
	c.digest ^= c.hashes[key]
	c.rememberRemoved(now, key)
	delete(c.carried, key)
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

// relevantItems returns the values that count now and matter to any reader, sorted by key. Other
// values may be large, and a copy that is sent to another node needs none of them.
func (c *Copy) relevantItems(now clock.Millis) []Item {
	return slices.DeleteFunc(c.Items(now), func(item Item) bool {
		if held := c.items[item.Key]; held.Revision == item.Revision {
			return c.hashes[item.Key] == 0
		}
		return c.hash(item) == 0 // it is carried in place of the one that is held
	})
}

// Items returns the values that count now, sorted by key.
func (c *Copy) Items(now clock.Millis) []Item {
	for key, end := range c.expiring {
		if now >= end {
			delete(c.expiring, key)
			c.drop(key)
		}
	}
	c.forgetRemoved(now)
	counting := make([]Item, 0, len(c.items))
	for key := range c.items {
		if item, ok := c.effective(key); ok {
			counting = append(counting, item)
		}
	}
	slices.SortFunc(counting, func(a, b Item) int {
		switch {
		case a.Key < b.Key:
			return -1
		case a.Key > b.Key:
			return 1
		default:
			return 0
		}
	})
	return counting
}
