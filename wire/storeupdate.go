package wire

import "fuchsiapick.example/fuchsiapick/clock"

// StoreUpdate carries what a node has read from the platform's store, so that the
// receiver doesn't need to ask the platform itself.
type StoreUpdate struct {
	_ struct{} `cbor:",toarray"`
	// Changes are complete from platform revision Since up to Revision.
	Since, Revision uint64
	// Changes is the list of changes as Pack encodes it; empty without changes.
	Changes []byte
	// IsTruncated is true if some changes were too large to send.
	IsTruncated bool
	// IsListDiff is true if Changes is the difference between two lists.
	IsListDiff bool
	// IsUnavailable is true if the platform didn't answer; the other fields carry
	// no information then.
	IsUnavailable bool
	// Age is how long before Time, on the sender's clock, the platform was at Revision.
	Age, Time clock.Millis
	// Bytes is the size of all values that the sender holds; set only with IsTruncated.
	Bytes int
	// Digest is the digest of the values that the sender holds at Revision; 0 if the
	// sender can't confirm them.
	Digest uint64
}

// EraUpdate is a StoreUpdate whose revisions include the era of a store that was restored from a
// backup. Releases that know no eras would take these revisions for the store's own.
type EraUpdate struct {
	_      struct{} `cbor:",toarray"`
	Update StoreUpdate
}

// Kind implements Message.
func (*StoreUpdate) Kind() Kind { return KindStoreUpdate }

// Kind implements Message.
func (*EraUpdate) Kind() Kind { return KindEraUpdate }
