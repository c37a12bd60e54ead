package wire

import "fuchsiapick.example/fuchsiapick/clock"

// Subscription asks the accepting node to send its updates of the platform's store over this
// link.
type Subscription struct {
	_ struct{} `cbor:",toarray"`
	// Revision is that of the sender's copy of the platform's values; 0 if it has none. The
	// receiver sends what has changed since, or its copy.
	Revision uint64
	Domain   string
	// IsJoining is true if the sender knows no other nodes than a few seeds. The receiver may
	// answer with a Referral.
	IsJoining bool
	// IsEnded ends an earlier subscription.
	IsEnded bool
	// Unreachable are nodes to which the sender was referred and that didn't answer.
	Unreachable []string
}

// Referral answers the Subscription of a joining node.
type Referral struct {
	_ struct{} `cbor:",toarray"`
	// Nodes are the nodes to ask instead. If there are none, the sender has accepted the
	// subscription.
	Nodes []string
	// HasCopy is true if the sender has a copy of the platform's values, which follows.
	HasCopy bool
}

// CopyPart is a part of the sender's copy of the platform's values. The parts of a copy are sent
// in order, over one link.
type CopyPart struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	// Items are the values as Pack encodes them.
	Items   []byte
	IsFirst bool
	IsLast  bool
	// IsExact is true if the copy equals what the platform held at Revision.
	IsExact bool
	// Age is how long before Time, on the sender's clock, the platform was at Revision.
	Age, Time clock.Millis
}

// Kind implements Message.
func (*Subscription) Kind() Kind { return KindSubscription }

// Kind implements Message.
func (*Referral) Kind() Kind { return KindReferral }

// Kind implements Message.
func (*CopyPart) Kind() Kind { return KindCopyPart }
