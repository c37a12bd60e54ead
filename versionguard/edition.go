// Package edition decides which edition of the table is in force: the version
// fence that a node's configuration never falls behind.
//
// Every node takes the same decision about the same set of editions, in
// whatever order and however often it hears them, so that nodes need no
// agreement to end on the same one.
package versionguard

// Source says where an edition was heard.
type Source string

// The values of Source.
const (
	Platform Source = "platform"
	Peer     Source = "peer"
)

// Candidate is one edition that was read whole and passed the table's check.
//
// A version number that was merely heard must not be offered. One bad frame
// with a huge version would then raise the fence above all that operators
// publish, and the configuration would stand still for good, with no fault to
// see but that edits have no effect.
type Candidate struct {
	Version uint64
	// Digest names the text; see table.Digest.
	Digest string
	Source Source
}

// Decision is what a fence decided about an offer.
type Decision string

// The values of Verdict.
const (
	// Accept puts the offer in force.
	Accept Decision = "accept"
	// Same is what is in force already.
	Same Decision = "same"
	// Older is below the version in force and stays out. From the platform it
	// means that a replica is stale, or that an operator published below the
	// version in force; the way out is to publish above it.
	Older Decision = "older"
	// Conflict has the version in force with another text and stays out: two
	// operators edited at once, and the other text won.
	Conflict Decision = "conflict"
)

// Supersedes reports whether an edition goes before another: by its version, and
// among texts of one version by its digest.
func (o Candidate) Supersedes(other Candidate) bool {
	if o.Version != other.Version {
		return o.Version > other.Version
	}
	return o.Digest > other.Digest
}

// VersionGuard holds the edition in force. Its version never goes back.
type VersionGuard struct {
	current     Candidate
	conflicting Candidate
}

// New returns a fence with no edition in force.
func New() *VersionGuard {
	return &VersionGuard{}
}

// Current returns the edition in force. Its version is 0 before the first.
func (f *VersionGuard) Current() Candidate {
	return f.current
}

// Conflicting returns an edition that lost against the one in force although it has
// the same version. While there is one, an operator's edit is not in force
// anywhere and its author may not know: logs and the report must say so.
func (f *VersionGuard) Conflicting() (Candidate, bool) {
	return f.conflicting, f.conflicting.Version != 0
}

// Propose decides about one edition and puts it in force if it is to be.
//
// Of two texts with one version, the one with the higher digest wins. Which
// operator that favours is chance, but it is the same one at every node. Going
// by who was heard first would split the fleet for as long as the version
// stands, with each half sure of its table.
func (f *VersionGuard) Propose(o Candidate) Decision {
	switch {
	case o.Version < f.current.Version || o.Version == 0:
		return Older
	case o.Version > f.current.Version:
		f.current, f.conflicting = o, Candidate{}
		return Accept
	case o.Digest == f.current.Digest:
		return Same
	case o.Digest < f.current.Digest:
		f.recordConflict(o)
		return Conflict
	default:
		f.recordConflict(f.current)
		f.current = o
		return Accept
	}
}

// recordConflict keeps the highest loser, so that fences that saw the same editions
// name the same rival.
func (f *VersionGuard) recordConflict(o Candidate) {
	if o.Digest > f.conflicting.Digest || f.conflicting.Version == 0 {
		f.conflicting = o
	}
}
