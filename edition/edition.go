// Package edition decides which edition of the table is in force: the fence
// that a node's configuration never falls behind.
package edition

// Source says where an edition was heard.
type Source string

// The values of Source.
const (
	Platform Source = "platform"
	Peer     Source = "peer"
)

// Offer is one edition that was read whole and passed the table's check. A
// version number that merely was heard must not be offered: one bad frame with
// a huge version would freeze the configuration for good.
type Offer struct {
	Version uint64
	// Digest names the text; see table.Digest.
	Digest string
	Source Source
}

// Verdict is what a fence decided about an offer.
type Verdict string

// The values of Verdict.
const (
	// Accept puts the offer in force.
	Accept Verdict = "accept"
	// Same is what is in force already.
	Same Verdict = "same"
	// Older is below the version in force and stays out.
	Older Verdict = "older"
	// Conflict has the version in force with another text, and stays out.
	Conflict Verdict = "conflict"
)

// Fence holds the edition in force. It never goes back to a lower version.
type Fence struct {
	current Offer
}

// New returns a fence with no edition in force.
func New() *Fence {
	return &Fence{}
}

// Current returns the edition in force; its version is 0 before the first.
func (f *Fence) Current() Offer {
	return f.current
}

// Offer decides about one edition and puts it in force if it is to be.
func (f *Fence) Offer(o Offer) Verdict {
	switch {
	case o.Version > f.current.Version:
		f.current = o
		return Accept
	case o.Version < f.current.Version:
		return Older
	case o.Digest == f.current.Digest:
		return Same
	default:
		return Conflict
	}
}
