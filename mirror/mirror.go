// Package mirror keeps a copy of the values that the platform's store holds under one
// prefix. It lists all values once, and then watches for changes from the list's
// revision.
//
// The store is read-only. It may be down, slow, unresponsive or without its history at
// any time; the copy stays in use until the store answers again.
package mirror

import (
	"context"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Errors of a Store.
const (
	// ErrUnavailable means that the store didn't answer, or not in time.
	ErrUnavailable = errors.ConstError("the platform's store doesn't answer")
	// ErrTruncated means that an answer began but did not end; the store is reachable.
	ErrTruncated = errors.ConstError("the platform's answer is truncated")
	// ErrTooLarge means that a watch's answer exceeds the allowed size; it was not read.
	ErrTooLarge = errors.ConstError("the platform's answer to a watch is larger than all values")
	// ErrCompacted means that the store has dropped the requested changes: all values
	// must be listed again.
	ErrCompacted = errors.ConstError("the platform's store has dropped the requested changes")
	// ErrRestored means that the store was restored from a backup since the requested
	// revision: all values must be listed again.
	ErrRestored = errors.ConstError("the platform's store was restored from a backup")
	// ErrMalformed means that an answer violates the store's protocol.
	ErrMalformed = errors.ConstError("the platform's store returned a malformed answer")
)

// Item is one value of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the value, as NewRevision
	// combines it with the era.
	Revision uint64
	// Created is the store's own revision at which the key was created.
	Created uint64
}

func (i *Item) size() int {
	return len(i.Key) + len(i.Value)
}

// SizeOf returns the size in bytes of values with their keys.
func SizeOf(items []Item) int {
	size := 0
	for i := range items {
		size += items[i].size()
	}
	return size
}

// Event is one change. A removed key has no value.
type Event struct {
	Item

	Gone bool
	// Edit produces the value from the previous one, in updates with a large value. It is
	// nil if Value is set.
	Edit *Edit `cbor:",omitempty"`
}

// Listing holds all values.
type Listing struct {
	Items []Item
	// Revision is a revision from which a watch misses no later change.
	Revision uint64
	// IsSnapshot is true if Items are the values as of Revision. A list that was read in
	// several pages may lack values that were added meanwhile, and contain values that
	// were removed.
	IsSnapshot bool
}

// Store reads the platform's store. All its revisions are those of NewRevision.
type Store interface {
	// List returns all values. It returns ErrUnavailable, ErrTruncated, ErrTooLarge or
	// ErrMalformed.
	List(ctx context.Context) (Listing, error)
	// Watch waits for changes after a revision, at most for wait, and returns them with
	// the revision from which to continue. An answer whose values have more than about
	// maxBytes bytes is not read. Watch returns ErrUnavailable, ErrTruncated,
	// ErrCompacted, ErrRestored, ErrTooLarge or ErrMalformed.
	Watch(ctx context.Context, after uint64, wait clock.Millis, maxBytes int) ([]Event, uint64, error)
}
