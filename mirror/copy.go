package mirror

import (
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// returnGrace is how long after the store's return a value that vanished during
// its absence still counts: leases of live writers lapse while the store is
// away, and these write again within two seconds of its return.
const returnGrace = 2 * clock.Second

// Copy is the state of the store as this process knows it. It is not safe for
// concurrent use.
type Copy struct {
	items map[string]Item
	// vanished holds the instants at which values that are gone cease to count.
	vanished map[string]clock.Millis
	revision uint64
	// heldUntil is the end of the grace after the store's last return.
	heldUntil clock.Millis
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{items: map[string]Item{}, vanished: map[string]clock.Millis{}}
}

// Revision is where the next watch begins; 0 before the first list.
func (c *Copy) Revision() uint64 {
	return c.revision
}

// Returned takes in that the store answers again after it was away.
func (c *Copy) Returned(now clock.Millis) {
	c.heldUntil = now + returnGrace
}

// Reset takes in a whole list.
func (c *Copy) Reset(now clock.Millis, items []Item, revision uint64) {
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[item.Key] = struct{}{}
		c.put(item)
	}
	for key := range c.items {
		if _, ok := listed[key]; !ok {
			c.remove(now, key)
		}
	}
	c.revision = revision
}

// Apply takes in changes in their order.
func (c *Copy) Apply(now clock.Millis, events []Event, revision uint64) {
	for _, e := range events {
		switch {
		case !e.Gone:
			c.put(e.Item)
		case e.Revision == 0 || e.Revision > c.items[e.Key].Revision:
			c.remove(now, e.Key)
		}
	}
	c.revision = max(c.revision, revision)
}

// put keeps the newer of two values: the pages of a list aren't a snapshot, and
// a watch that goes on from the first page's revision tells changes again.
func (c *Copy) put(item Item) {
	if old, ok := c.items[item.Key]; ok && old.Revision > item.Revision {
		return
	}
	c.items[item.Key] = item
	delete(c.vanished, item.Key)
}

func (c *Copy) remove(now clock.Millis, key string) {
	if _, ok := c.vanished[key]; ok {
		return
	}
	if now < c.heldUntil {
		c.vanished[key] = c.heldUntil
		return
	}
	delete(c.items, key)
}

// Items returns what counts now, by key.
func (c *Copy) Items(now clock.Millis) []Item {
	for key, end := range c.vanished {
		if now >= end {
			delete(c.vanished, key)
			delete(c.items, key)
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
