package wire

import "fuchsiapick.example/fuchsiapick/clock"

// StoreUpdate is what a node has learned from the platform, for a node that needs not ask
// it then.
type StoreUpdate struct {
	_ struct{} `cbor:",toarray"`
	// Since is the platform's revision from which Changes are complete, up to
	// Revision.
	Since, Revision uint64
	// Changes are packed, and empty without any.
	Changes []byte
	// IsTruncated says that there are changes too large to be told.
	IsTruncated bool
	// IsListDiff says that Changes are the difference between two lists.
	IsListDiff bool
	// IsUnavailable says that the platform didn't answer; nothing else is told then.
	IsUnavailable bool
	// Age is how long ago Revision was the platform's, at Time of the sender's
	// clock.
	Age, Time clock.Millis
	// Bytes is the size of all values that the sender holds, said with More.
	Bytes int
	// Digest sums up what the sender holds at Revision; 0 where it can't say.
	Digest uint64
}

// Kind names the frame.
func (*StoreUpdate) Kind() Kind { return KindStoreUpdate }
