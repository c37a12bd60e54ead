// Package mirror keeps a copy of the values that the platform's store holds
// under one prefix: one list at the start, then a watch from its revision.
//
// The store can only be read. It may be down, slow, silent or without its
// history at any time; the copy stays in force until it answers again.
package mirror

import (
	"context"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Faults of a store.
const (
	// ErrUnavailable means that the store gave no answer, or none in time.
	ErrUnavailable = errors.ConstError("the platform's store doesn't answer")
	// ErrTruncated means that an answer began and did not end: the store is there.
	ErrTruncated = errors.ConstError("the platform's answer did not end")
	// ErrTooLarge means that a watch's answer is larger than was allowed; it was not read.
	ErrTooLarge = errors.ConstError("the platform's answer is larger than all of its values")
	// ErrCompacted means that the store has dropped the changes that were asked
	// for: all values must be listed again.
	ErrCompacted = errors.ConstError("the platform's store no longer has these changes")
	// ErrMalformed means an answer that breaks the store's protocol.
	ErrMalformed = errors.ConstError("the platform's store answered what can't be read")
)

// Item is one value of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's count of changes at the value's last one.
	Revision uint64
	// Created is that count when the key was written first.
	Created uint64
}

func (i *Item) size() int {
	return len(i.Key) + len(i.Value)
}

// SizeOf is the bytes of values, with their keys.
func SizeOf(items []Item) int {
	size := 0
	for i := range items {
		size += items[i].size()
	}
	return size
}

// Event is one change. A key that is gone has no value.
type Event struct {
	Item

	Gone bool
	// Edit makes the value of the one before, in news of a large value; nil where the
	// value is told.
	Edit *Edit `cbor:",omitempty"`
}

// Listing is all values.
type Listing struct {
	Items []Item
	// Revision is one from which a watch misses no later change.
	Revision uint64
	// IsSnapshot says that these are the values as of Revision; what came in several
	// pages may lack some that went meanwhile, and hold some that came.
	IsSnapshot bool
}

// Store reads the platform's store.
type Store interface {
	// List returns all values. It returns ErrUnavailable, ErrCut, ErrLarge or ErrAnswer.
	List(ctx context.Context) (Listing, error)
	// Watch waits for changes after a revision, at most for the span, and
	// returns them with the revision to go on from. Changes whose values have more
	// bytes than most, about, are not read. It returns ErrUnavailable, ErrCut,
	// ErrHistory, ErrLarge or ErrAnswer.
	Watch(ctx context.Context, after uint64, wait clock.Millis, most int) ([]Event, uint64, error)
}
