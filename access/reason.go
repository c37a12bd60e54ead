package access

import (
	"net/http"
	"slices"

	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// Reasons that originate in an entry. The reasons of gates are in package wire; a Record
// holds either.
const (
	// ReasonCallerLimit means that the caller exceeds its own limit.
	ReasonCallerLimit = "caller-limit"
	// ReasonAccountLimit means that the client account exceeds its quota.
	ReasonAccountLimit = "account-limit"
	// ReasonQuotaUnknown means that no node could be asked for the client account's quota.
	ReasonQuotaUnknown = "quota-unknown"
	// ReasonServiceLimit means that the service exceeds its limit on this node.
	ReasonServiceLimit = "service-limit"
	// ReasonBusy means that the node already holds the maximum number of requests.
	ReasonBusy = "node-busy"
	// ReasonMemory means that the node already holds as many bytes of bodies as it may.
	ReasonMemory = "node-memory"
	// ReasonCallerFault means that the request itself is malformed.
	ReasonCallerFault = "caller-fault"
	// ReasonCallerGone means that the caller closed the connection.
	ReasonCallerGone = "caller-gone"
	// ReasonNoRoute means that the table has no route for the request.
	ReasonNoRoute = "no-route"
	// ReasonNoAccount means that the request carries no key of a client account.
	ReasonNoAccount = "no-account"
	// ReasonBodyTooLarge means that the request's body exceeds the size limit.
	ReasonBodyTooLarge = "body-too-large"
	// ReasonNoTable means that no table is in force yet.
	ReasonNoTable = "no-table"
	// ReasonNoUpstream means that no upstream of the service could be tried.
	ReasonNoUpstream = "no-upstream"
	// ReasonUnreachable means that this node can't reach the node beside the
	// upstream.
	ReasonUnreachable = "unreachable"
	// ReasonShutdown means that the node was shutting down.
	ReasonShutdown = "shutting-down"
	// ReasonKeyReused means that the idempotency key was used for another
	// request.
	ReasonKeyReused = "key-reused"
	// ReasonUpstreamError means that the upstream responded with a status of 500 or above.
	// RequestFinished sets it for a served request with such a status.
	ReasonUpstreamError = "upstream-error"
	// ReasonSlow means that a successful response took longer than the objective
	// allows.
	ReasonSlow = "slow"
)

// callerFaults are the reasons that don't count against a service's error budget: the service
// could not have served these requests.
var callerFaults = []string{
	ReasonCallerLimit, ReasonAccountLimit, ReasonCallerFault, ReasonCallerGone, ReasonNoRoute, ReasonNoAccount, ReasonBodyTooLarge,
	ReasonKeyReused,
}

// IsCallerFault reports whether the reason is a limit or fault of the caller, so that the
// request doesn't count against the service's error budget.
func IsCallerFault(reason string) bool {
	return slices.Contains(callerFaults, reason)
}

// burnSample returns the sample by which the record counts for its service's objective. It
// returns false if the record doesn't count, since the failure is the caller's fault.
func (r *Record) burnSample(latency clock.Millis) (burn.Sample, bool) {
	s := burn.Sample{Upstream: r.Upstream, Reason: r.Reason}
	switch {
	case r.Outcome != Served:
		s.Failed = true
		return s, !IsCallerFault(r.Reason)
	case r.Status >= http.StatusInternalServerError:
		s.Failed, s.Reason = true, ReasonUpstreamError
	case latency > 0 && r.Took > latency:
		s.Slow, s.Reason = true, ReasonSlow
	}
	return s, true
}
