package resend

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// LookupResult is the result of the lookup of a resend's key at one node.
type LookupResult struct {
	// Answered is false for a node that couldn't be reached or didn't reply.
	Answered bool
	Status   Status
	// Covers is how far back the records of the node reach.
	Covers clock.Millis
	// Version is the version of the table in force at the node.
	Version uint64
}

// Lookup has what an entry knows itself when it resolves a resend.
type Lookup struct {
	// Age is the key's age: the age that the caller stated, plus the time since.
	Age clock.Millis
	// KnownFor is how long the entry has known which nodes may have received the key.
	KnownFor clock.Millis
	// Retention and Margin have the meaning of the constants of this package.
	Retention clock.Millis
	Margin    clock.Millis
	// Version is the version of the table in force at the entry.
	Version uint64
}

// Action is what the entry does with a resend.
type Action uint8

// The actions on a resend.
const (
	// Run sends the resend to a gate.
	Run Action = iota + 1
	// Replay returns the reply of the send that ran to the caller.
	Replay
	// Refuse ends the resend as not run: the key was used for another request.
	Refuse
	// Unknown ends the resend without a result: an earlier send may have run.
	Unknown
)

// Reason says why a resend is not run. Reasons are sent in headers and logged.
type Reason string

// The reasons why a resend is not run.
const (
	ReasonReused      Reason = "key-reused"
	ReasonRunning     Reason = "key-running"
	ReasonSuperseded  Reason = "key-resent"
	ReasonLost        Reason = "answer-not-kept"
	ReasonUnreachable Reason = "key-node-unreachable"
	ReasonForgotten   Reason = "key-older-than-node"
	ReasonOld         Reason = "key-too-old"
	ReasonBehind      Reason = "table-behind"
)

// Decision is the result of Resolve.
type Decision struct {
	Action Action
	Reason Reason
	// From is the index of the LookupResult whose reply Replay returns.
	From int
	// RetryAfter is the time after which another resend may have a different result; 0 if
	// none can have.
	RetryAfter clock.Millis
}

// retryDelay is the RetryAfter of a resend that met a temporary obstacle.
const retryDelay = clock.Second

// checkCoverage reports whether the entry knows all nodes that may have received the key.
// If it doesn't, it returns the decision about the resend.
func (l *Lookup) checkCoverage() (Decision, bool) {
	maxAge := MaxAge(l.Age, l.Margin)
	switch {
	case maxAge >= l.Retention:
		return Decision{Action: Unknown, Reason: ReasonOld}, false
	case maxAge >= l.KnownFor:
		return Decision{Action: Unknown, Reason: ReasonForgotten}, false
	default:
		return Decision{}, true
	}
}

// Resolve returns the decision about a resend, from the results of all nodes that may have
// received its key. The resend runs only if each of them confirms that no earlier send ran.
func Resolve(l Lookup, results []LookupResult) Decision {
	if d, ok := definite(results); ok {
		return d
	}
	if slices.ContainsFunc(results, func(r LookupResult) bool { return !r.Answered }) {
		// Comes before the checks whose decisions are final: a later lookup at this node may
		// find the reply.
		return Decision{Action: Unknown, Reason: ReasonUnreachable, RetryAfter: retryDelay}
	}
	if d, ok := l.checkCoverage(); !ok {
		return d
	}
	for i := range results {
		if d, ok := l.unconfirmed(&results[i]); ok {
			return d
		}
	}
	return Decision{Action: Run}
}

// Definite reports whether the results so far decide about a resend, whatever the missing
// ones are.
func Definite(results []LookupResult) bool {
	_, ok := definite(results)
	return ok
}

// definite returns the decision that follows from a single result, whatever the others are.
func definite(results []LookupResult) (Decision, bool) {
	for i, r := range results {
		if !r.Answered {
			continue
		}
		switch r.Status {
		case Ran:
			return Decision{Action: Replay, From: i}, true
		case Reused:
			return Decision{Action: Refuse, Reason: ReasonReused}, true
		case Lost:
			return Decision{Action: Unknown, Reason: ReasonLost}, true
		case Running:
			return Decision{Action: Unknown, Reason: ReasonRunning, RetryAfter: retryDelay}, true
		default:
		}
	}
	return Decision{}, false
}

// unconfirmed returns the decision about a resend if a node's result doesn't confirm that
// the key hasn't run there, and whether that is so.
func (l *Lookup) unconfirmed(r *LookupResult) (Decision, bool) {
	switch {
	case r.Status == Superseded:
		return Decision{Action: Unknown, Reason: ReasonSuperseded, RetryAfter: retryDelay}, true
	case r.Status != Free || MaxAge(l.Age, l.Margin) >= r.Covers:
		return Decision{Action: Unknown, Reason: ReasonForgotten}, true
	case r.Version > l.Version:
		// A newer table may name nodes that this entry doesn't know.
		return Decision{Action: Unknown, Reason: ReasonBehind, RetryAfter: retryDelay}, true
	default:
		return Decision{}, false
	}
}
