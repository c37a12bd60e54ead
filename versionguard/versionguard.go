// Package versionguard decides which published version of the table is in force, and never
// goes back to an older one.
//
// Every node reaches the same decision about the same set of table versions, whatever the
// order in which it receives them and however often, so that all nodes end with the same
// table without a consensus protocol.
package versionguard

// Source says where a table version came from.
type Source string

// The values of Source.
const (
	Platform Source = "platform"
	Peer     Source = "peer"
)

// Candidate is a table version that was received in full and passed the table's validation.
//
// Never propose a version number alone, without its table: a single corrupt frame with a
// huge version would then block every table that operators publish later. The only symptom
// would be that edits have no effect.
type Candidate struct {
	Version uint64
	// Digest identifies the table's text; see table.Digest.
	Digest string
	Source Source
}

// Decision is the result of proposing a candidate.
type Decision string

// The values of Decision.
const (
	// Accept means that the candidate is now in force.
	Accept Decision = "accept"
	// Same means that the candidate was already in force.
	Same Decision = "same"
	// Older means that the candidate's version is below the version in force, or 0, and
	// that the candidate is rejected. From the platform, it shows a stale replica, or an
	// operator who published below the version in force and has to publish above it.
	Older Decision = "older"
	// Conflict means that the candidate has the version in force but another text with a
	// lower digest, and is rejected: two operators published the same version.
	Conflict Decision = "conflict"
)

// Supersedes reports whether c takes precedence over other: it has the higher version or,
// with equal versions, the higher digest.
func (c Candidate) Supersedes(other Candidate) bool {
	if c.Version != other.Version {
		return c.Version > other.Version
	}
	return c.Digest > other.Digest
}

// VersionGuard holds the table version in force, which never decreases. It is not safe for
// concurrent use.
type VersionGuard struct {
	current     Candidate
	conflicting Candidate
}

// New returns a guard with no table version in force.
func New() *VersionGuard {
	return &VersionGuard{}
}

// Current returns the table version in force, or the zero Candidate if there is none yet.
func (g *VersionGuard) Current() Candidate {
	return g.current
}

// Conflicting returns the rejected candidate that has the same version as the one in force,
// and false if there is none. While there is one, an operator's edit is not in force on any
// node and its author may not know, so logs and reports must show it.
func (g *VersionGuard) Conflicting() (Candidate, bool) {
	return g.conflicting, g.conflicting.Version != 0
}

// Propose decides about a candidate and puts it in force if it supersedes the current one.
//
// Of two texts with the same version, the one with the higher digest wins. The choice between
// the two edits is arbitrary, but all nodes make the same one. If the first text received won,
// nodes would serve two different tables for as long as that version is in force.
func (g *VersionGuard) Propose(c Candidate) Decision {
	switch {
	case c.Version < g.current.Version || c.Version == 0:
		return Older
	case c.Version > g.current.Version:
		g.current, g.conflicting = c, Candidate{}
		return Accept
	case c.Digest == g.current.Digest:
		return Same
	case c.Digest < g.current.Digest:
		g.recordConflict(c)
		return Conflict
	default:
		g.recordConflict(g.current)
		g.current = c
		return Accept
	}
}

// recordConflict keeps the rejected candidate with the highest digest, so that guards that
// received the same candidates report the same conflict.
func (g *VersionGuard) recordConflict(c Candidate) {
	if c.Digest > g.conflicting.Digest || g.conflicting.Version == 0 {
		g.conflicting = c
	}
}
