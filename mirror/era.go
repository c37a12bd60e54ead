package mirror

// A store that is restored from a backup loses its latest changes and gives their revisions out
// again. Its era counts the restores. In this package a revision therefore combines the era and
// the store's own revision, so that any revision of a later era is higher than all of earlier
// ones. For a store that was never restored, or doesn't name its era, both are the same.

// revisionBits is the number of bits of a revision that hold the store's own one. The era has
// the others.
const revisionBits = 40

const (
	// MaxStoreRevision is the highest revision of a store.
	MaxStoreRevision = 1<<revisionBits - 1
	// MaxEra is the highest era of a store.
	MaxEra = 1<<(64-revisionBits) - 1
)

// NewRevision combines an era, at most MaxEra, and the store's own revision in it, at most
// MaxStoreRevision.
func NewRevision(era, storeRevision uint64) uint64 {
	return era<<revisionBits | storeRevision
}

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 {
	return revision >> revisionBits
}

// StoreRevision returns the store's own revision, without the era.
func StoreRevision(revision uint64) uint64 {
	return revision & MaxStoreRevision
}

// WithoutEra returns an update whose revisions are the store's own, for nodes of releases that
// know no eras.
func (u Update) WithoutEra() Update {
	u.Since, u.Revision = StoreRevision(u.Since), StoreRevision(u.Revision)
	events := make([]Event, len(u.Events))
	for i, e := range u.Events {
		e.Revision = StoreRevision(e.Revision)
		events[i] = e
	}
	u.Events = events
	return u
}

// WithoutEras returns items whose revisions are the store's own.
func WithoutEras(items []Item) []Item {
	plain := make([]Item, len(items))
	for i, item := range items {
		item.Revision = StoreRevision(item.Revision)
		plain[i] = item
	}
	return plain
}
