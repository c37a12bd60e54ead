package resend

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// LookupResult is what one node that was asked about a resend's key said.
type LookupResult struct {
	// Answered is false for a node that couldn't be asked or didn't answer.
	Answered bool
	Status   Status
	// Covers is how far back the node's memory reaches.
	Covers clock.Millis
	// Version is that of the table in force at the node.
	Version uint64
}

// Lookup is what an entry settles a resend by.
type Lookup struct {
	// Age is the key's, as its caller said and grown since.
	Age clock.Millis
	// KnownFor is how long the entry has known which nodes may have had the key.
	KnownFor clock.Millis
	// Retention and Margin are as the constants of this package.
	Retention clock.Millis
	Margin    clock.Millis
	// Version is that of the table in force at the entry.
	Version uint64
}

// Action is what the entry does with a resend.
type Action uint8

// The actions on a resend.
const (
	// Run sends it to a gate.
	Run Action = iota + 1
	// Replay gives the caller the answer of the send that ran.
	Replay
	// Refuse ends it as not run: the key was used for another request.
	Refuse
	// Unknown ends it: an earlier send may have run.
	Unknown
)

// Reason says why a resend is not run. Reasons stand in headers and logs.
type Reason string

// The reasons.
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

// Decision is what becomes of a resend.
type Decision struct {
	Action Action
	Reason Reason
	// From is the index of the answer to replay.
	From int
	// RetryAfter is when another resend may learn more; 0 means never.
	RetryAfter clock.Millis
}

// retryDelay is when a resend that met a passing obstacle may be sent again.
const retryDelay = clock.Second

// checkCoverage reports whether the entry knows all nodes that may have had the key.
func (q *Lookup) checkCoverage() (Decision, bool) {
	reach := MaxAge(q.Age, q.Margin)
	switch {
	case reach >= q.Retention:
		return Decision{Action: Unknown, Reason: ReasonOld}, false
	case reach >= q.KnownFor:
		return Decision{Action: Unknown, Reason: ReasonForgotten}, false
	default:
		return Decision{}, true
	}
}

// Resolve decides about a resend over what all nodes said that may have had its
// key. It runs only if each of them vouches that nothing ran.
func Resolve(q Lookup, answers []LookupResult) Decision {
	if d, ok := definite(answers); ok {
		return d
	}
	if slices.ContainsFunc(answers, func(a LookupResult) bool { return !a.Answered }) {
		// Said before all doubts that last: it may have the answer.
		return Decision{Action: Unknown, Reason: ReasonUnreachable, RetryAfter: retryDelay}
	}
	if d, ok := q.checkCoverage(); !ok {
		return d
	}
	for i := range answers {
		if d, ok := q.unconfirmed(&answers[i]); ok {
			return d
		}
	}
	return Decision{Action: Run}
}

// Definite reports whether the answers so far settle a resend, whatever the
// missing ones say.
func Definite(answers []LookupResult) bool {
	_, ok := definite(answers)
	return ok
}

// definite is what a single answer settles, whatever the others say.
func definite(answers []LookupResult) (Decision, bool) {
	for i, a := range answers {
		if !a.Answered {
			continue
		}
		switch a.Status {
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

// unconfirmed says why an answer doesn't vouch for the key.
func (q *Lookup) unconfirmed(a *LookupResult) (Decision, bool) {
	switch {
	case a.Status == Superseded:
		return Decision{Action: Unknown, Reason: ReasonSuperseded, RetryAfter: retryDelay}, true
	case a.Status != Free || MaxAge(q.Age, q.Margin) >= a.Covers:
		return Decision{Action: Unknown, Reason: ReasonForgotten}, true
	case a.Version > q.Version:
		// A newer table may name gates that this entry doesn't know.
		return Decision{Action: Unknown, Reason: ReasonBehind, RetryAfter: retryDelay}, true
	default:
		return Decision{}, false
	}
}
